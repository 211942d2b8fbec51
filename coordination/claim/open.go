package claim

import (
	"sync"

	"github.com/google/uuid"
)

// openClaims are this host's Begins whose outcome isn't recorded yet, by their
// numbers. Its size is bounded: a Begin that finds it full is refused before a
// claim is made, so no outcome ever has to be dropped for lack of memory.
type openClaims struct {
	mu   sync.Mutex
	max  int
	byNo map[uint64]*openClaim
	wake chan struct{}
}

type openClaim struct {
	key uuid.UUID
	// pending is the outcome that the background retry has to record; nil while
	// the call is under way.
	pending *Entry
}

func newOpenClaims(limit int) *openClaims {
	return &openClaims{max: limit, byNo: map[uint64]*openClaim{}, wake: make(chan struct{}, 1)}
}

// add registers a Begin before anything is written; it reports false when full.
func (o *openClaims) add(seq uint64, k uuid.UUID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.byNo) >= o.max {
		return false
	}
	o.byNo[seq] = &openClaim{key: k}
	return true
}

func (o *openClaims) remove(seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byNo, seq)
}

func (o *openClaims) has(seq uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.byNo[seq]
	return ok
}

func (o *openClaims) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byNo)
}

// pend hands an outcome to the background retry.
func (o *openClaims) pend(e Entry) {
	o.mu.Lock()
	if c, ok := o.byNo[e.Seq]; ok {
		c.pending = &e
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// pending returns the outcomes to record.
func (o *openClaims) pending() []Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Entry
	for _, c := range o.byNo {
		if c.pending != nil {
			out = append(out, *c.pending)
		}
	}
	return out
}
