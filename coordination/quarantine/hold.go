package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// HeldError says that a request is kept from all runners.
type HeldError struct {
	Digest Digest
	// Crashes is how many runners are known to have crashed under it.
	Crashes int
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("%d runners crashed while they ran the same request: don't send it again unchanged; an operator can release it by its digest %s", e.Crashes, e.Digest)
}

// Hold holds a request by the word of the store. It reports whether that is new.
func (t *Table) Hold(d Digest, evidence []Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holdIfNew(d, evidence)
}

// HoldFromPeer holds a request by the word of another host, if that knows of a crash that this one
// doesn't: a host that stood still may tell what an answer or a release has cleared since. It
// reports whether that is new.
func (t *Table) HoldFromPeer(d Digest, evidence []Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	notCleared := func(e Evidence) bool { return !t.isCleared(d, e.run()) }
	if !slices.ContainsFunc(evidence, notCleared) {
		return false
	}
	return t.holdIfNew(d, evidence)
}

// holdIfNew holds a request that isn't held; t.mu is held.
func (t *Table) holdIfNew(d Digest, evidence []Evidence) bool {
	if t.Held(d) != nil {
		return false
	}
	t.addHold(d, evidence, t.clock.Now())
	return true
}

// isCleared reports whether the crash of a run was counted against a request and has been
// isCleared since, by an answer or a release; t.mu is held.
func (t *Table) isCleared(d Digest, run state.InstanceID) bool {
	crashed := t.runs[run]
	if crashed == nil || !slices.Contains(crashed.suspects, d) {
		return false
	}
	r := t.records[d]
	return r == nil || r.lastCrashOf(run) < 0
}

// addHold puts a request on the list; t.mu is held.
func (t *Table) addHold(d Digest, evidence []Evidence, now time.Time) {
	r := t.records[d]
	next := maps.Clone(*t.held.Load())
	if len(next) >= maxHeld {
		evicted := oldestHold(next)
		delete(next, evicted)
		t.removeHeldSuspect(evicted)
	}
	next[d] = &Hold{Evidence: evidence, Local: r != nil && r.local, At: now}
	t.held.Store(&next)
	for _, e := range evidence {
		if run := t.runs[e.run()]; run != nil {
			run.addHeldSuspect(d)
		}
	}
}

// oldestHold is what has been held for longest.
func oldestHold(held map[Digest]*Hold) Digest {
	var out Digest
	var at time.Time
	for d, h := range held {
		if at.IsZero() || h.At.Before(at) {
			out, at = d, h.At
		}
	}
	return out
}

// ReleaseOnTrial lets a request run again; any further crash holds it again.
func (t *Table) ReleaseOnTrial(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeHold(d)
	t.deleteRecord(d)
	t.addRecord(d, t.clock.Now()).released = true
}

// ReleaseBystander lets a request run again by another host's word that one outdoes it; any further crash
// holds it again.
func (t *Table) ReleaseBystander(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeHold(d)
	r := t.records[d]
	if r == nil {
		t.addRecord(d, t.clock.Now()).released = true
		return
	}
	r.crashesAtRelease = len(r.crashes)
}

// Clear clears a request of all that was held against it.
func (t *Table) Clear(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeHold(d)
	t.deleteRecord(d)
}

// ReportAnswered notes that a copy of the request was answered whole, which no request is that
// crashes its runners. It reports whether anything spoke against it, and whether it was held.
func (t *Table) ReportAnswered(d Digest) (suspected, held bool) {
	t.answered.add(d)
	if t.suspected.Load() == 0 && t.Held(d) == nil {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected, held = t.records[d] != nil, t.Held(d) != nil
	t.removeHold(d)
	t.deleteRecord(d)
	return suspected || held, held
}

// removeHold takes a request off the list; t.mu is held.
func (t *Table) removeHold(d Digest) {
	if t.Held(d) == nil {
		return
	}
	next := maps.Clone(*t.held.Load())
	delete(next, d)
	t.held.Store(&next)
	t.removeHeldSuspect(d)
}

// removeHeldSuspect has the crashes of a request that is held no more count against others again; t.mu is
// held.
func (t *Table) removeHeldSuspect(d Digest) {
	for _, run := range t.runs {
		if i := slices.Index(run.heldSuspects, d); i >= 0 {
			run.heldSuspects = slices.Delete(run.heldSuspects, i, i+1)
			t.reviewPending = true
		}
	}
}

// deleteRecord forgets what speaks against a request; t.mu is held.
func (t *Table) deleteRecord(d Digest) {
	delete(t.records, d)
	t.suspected.Store(int64(len(t.records)))
}
