package quarantine

import (
	"maps"
	"time"
)

// Hold holds a request by the word of the store or of another host. It reports whether that
// is new.
func (t *Table) Hold(d Digest, evidence []Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Held(d) != nil {
		return false
	}
	t.hold(d, evidence, t.clock.Now())
	for _, e := range evidence {
		if run := t.runs[e.run()]; run != nil {
			t.explainRun(run)
		}
	}
	return true
}

// hold puts a request on the list; t.mu is held.
func (t *Table) hold(d Digest, evidence []Evidence, now time.Time) {
	r := t.records[d]
	next := maps.Clone(*t.held.Load())
	if len(next) >= mostHeld {
		delete(next, oldest(next))
	}
	next[d] = &Hold{Evidence: evidence, Own: r != nil && r.own, At: now}
	t.held.Store(&next)
}

// oldest is what has been held for longest.
func oldest(held map[Digest]*Hold) Digest {
	var out Digest
	var at time.Time
	for d, h := range held {
		if at.IsZero() || h.At.Before(at) {
			out, at = d, h.At
		}
	}
	return out
}

// Release lets a request run again; any further crash holds it again.
func (t *Table) Release(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unhold(d)
	t.drop(d)
	t.newRecord(d, t.clock.Now()).released = true
}

// Forget clears a request of all that was held against it.
func (t *Table) Forget(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unhold(d)
	t.drop(d)
}

// Answered notes that a copy of the request was answered whole, which no request is that
// crashes its runners. It reports whether anything spoke against it, and whether it was held.
func (t *Table) Answered(d Digest) (suspected, held bool) {
	t.proven.add(d)
	if t.suspected.Load() == 0 && t.Held(d) == nil {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected, held = t.records[d] != nil, t.Held(d) != nil
	t.unhold(d)
	t.drop(d)
	return suspected || held, held
}

// unhold takes a request off the list; t.mu is held.
func (t *Table) unhold(d Digest) {
	if t.Held(d) == nil {
		return
	}
	next := maps.Clone(*t.held.Load())
	delete(next, d)
	t.held.Store(&next)
}

// drop forgets what speaks against a request; t.mu is held.
func (t *Table) drop(d Digest) {
	delete(t.records, d)
	t.suspected.Store(int64(len(t.records)))
}
