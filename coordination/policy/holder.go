package policy

import "sync/atomic"

// Holder holds the set in force. Its zero value holds none. A decision loads the
// set once, so that it is made by one set from beginning to end; the set that was
// replaced goes on until its last decision ends.
type Holder struct{ set atomic.Pointer[Set] }

// Load returns the set in force; nil, which has no policies, before the first.
func (h *Holder) Load() *Set { return h.set.Load() }

// Store puts another set in force.
func (h *Holder) Store(s *Set) { h.set.Store(s) }
