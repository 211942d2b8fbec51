package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// HeldError says that a request is held and was not sent to any runner.
type HeldError struct {
	Digest Digest
	// Crashes is the number of runners that are known to have crashed while they ran the request.
	Crashes int
	// RetryAfter is when it is tried next; 0 if it isn't.
	RetryAfter time.Duration
}

// Error implements error.
func (e *HeldError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("%d runners crashed while they ran this request, or others with a part of its prompt, which is being tried; send it again later (digest %s)", e.Crashes, e.Digest)
	}
	if e.Digest.Shared() {
		return fmt.Sprintf("%d runners crashed while they ran requests with a part of this prompt: don't send it again with that part; an operator can release the part by its digest %s", e.Crashes, e.Digest)
	}
	return fmt.Sprintf("%d runners crashed while they ran the same request: don't send it again unchanged; an operator can release it by its digest %s", e.Crashes, e.Digest)
}

// Hold holds a request because the store has an entry for it. It reports whether the hold is new.
func (t *Table) Hold(d Digest, evidence []Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holdIfNew(d, evidence)
}

// HoldFromPeer holds a request because another host holds it, unless this host has cleared all
// crashes of the evidence: a host that was suspended may report crashes that an answer or a release
// has cleared since. It reports whether the hold is new.
func (t *Table) HoldFromPeer(d Digest, evidence []Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.contradicts(d, evidence) {
		return false
	}
	notCleared := func(e Evidence) bool { return !t.isCleared(d, e.run()) }
	if !slices.ContainsFunc(evidence, notCleared) {
		return false
	}
	return t.holdIfNew(d, evidence)
}

// Contradicts reports whether a shared part was answered after one of these crashes, which never happens to a part that
// crashes its runners.
func (t *Table) Contradicts(d Digest, evidence []Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contradicts(d, evidence)
}

// contradicts is Contradicts with t.mu held.
func (t *Table) contradicts(d Digest, evidence []Evidence) bool {
	return d.Shared() && slices.ContainsFunc(evidence, func(e Evidence) bool {
		run := t.runs[e.run()]
		return run != nil && slices.Contains(run.answered, d)
	})
}

// noteAnswered records that a shared part was answered after the crashes counted against it. t.mu must be held.
func (t *Table) noteAnswered(d Digest) {
	r := t.records[d]
	if r == nil || !d.Shared() {
		return
	}
	for _, c := range r.crashes {
		if run := t.runs[c.run()]; run != nil && !slices.Contains(run.answered, d) {
			run.answered = append(run.answered, d)
		}
	}
}

// holdIfNew holds a request that isn't held yet, and reports whether it did. t.mu must be held.
func (t *Table) holdIfNew(d Digest, evidence []Evidence) bool {
	if t.Held(d) != nil {
		t.updateHold(d, evidence, false)
		return false
	}
	t.addHold(d, evidence, t.clock.Now())
	return true
}

// isCleared reports whether the crash of a run was counted against a request and has been cleared
// since, by an answer or a release. t.mu must be held.
func (t *Table) isCleared(d Digest, run state.InstanceID) bool {
	crashed := t.runs[run]
	if crashed == nil || !slices.Contains(crashed.suspects, d) {
		return false
	}
	r := t.records[d]
	return r == nil || r.lastCrashOf(run) < 0
}

// addHold adds a hold, and evicts the oldest one if there are maxHeld. The crashes of the evidence
// count as explained by the request from then on. t.mu must be held.
func (t *Table) addHold(d Digest, evidence []Evidence, now time.Time) {
	r := t.records[d]
	next := maps.Clone(*t.held.Load())
	if len(next) >= maxHeld {
		evicted := oldestHold(next)
		delete(next, evicted)
		t.removeHeldSuspect(evicted)
	}
	next[d] = &Hold{Evidence: evidence, Local: r != nil && r.local, At: now, triedAt: now, answeredBefore: r != nil && slices.ContainsFunc(r.crashes, func(c recordedCrash) bool { return c.answeredBefore }), firm: r != nil && (r.released || r.crashesAtRelease > 0)}
	t.held.Store(&next)
	t.setProbation(d, false)
	for _, e := range evidence {
		if run := t.runs[e.run()]; run != nil {
			run.addHeldSuspect(d)
		}
	}
}

// replaceHold replaces the hold of a request. t.mu must be held.
func (t *Table) replaceHold(d Digest, h *Hold) {
	next := maps.Clone(*t.held.Load())
	next[d] = h
	t.held.Store(&next)
}

// oldestHold returns the request that has been held for longest.
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

// ReleaseOnTrial releases a request and deletes the crashes counted against it. The next crash that
// no other held request explains holds it again.
func (t *Table) ReleaseOnTrial(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeHold(d)
	t.deleteRecord(d)
	t.addRecord(d, t.clock.Now()).released = true
	t.setProbation(d, true)
}

// ReleaseBystander releases a request that another host found to be a bystander. The crashes
// counted against it are kept, and any further crash holds it again.
func (t *Table) ReleaseBystander(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeHold(d)
	t.setProbation(d, true)
	r := t.records[d]
	if r == nil {
		t.addRecord(d, t.clock.Now()).released = true
		return
	}
	r.crashesAtRelease = len(r.crashes)
}

// Clear releases a request that was answered, or that an operator released, and deletes all that is recorded of it.
func (t *Table) Clear(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteAnswered(d)
	t.removeHold(d)
	t.deleteRecord(d)
}

// Suspected reports whether crashes are counted against a request, or whether it is held.
func (t *Table) Suspected(d Digest) bool {
	if t.suspected.Load() == 0 && t.Held(d) == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[d] != nil || t.Held(d) != nil
}

// ReportAnswered notes that a copy of the request was answered completely, which never happens to a
// request that crashes its runners. It clears the request, and reports whether it had been
// suspected or held, and whether it had been held.
func (t *Table) ReportAnswered(d Digest) (suspected, held bool) {
	t.answered.add(d)
	if t.suspected.Load() == 0 && t.Held(d) == nil {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected, held = t.records[d] != nil, t.Held(d) != nil
	t.noteAnswered(d)
	t.removeHold(d)
	t.deleteRecord(d)
	return suspected || held, held
}

// removeHold removes a hold, if there is one. t.mu must be held.
func (t *Table) removeHold(d Digest) {
	if t.Held(d) == nil {
		return
	}
	next := maps.Clone(*t.held.Load())
	delete(next, d)
	delete(t.nextTrial, d)
	t.held.Store(&next)
	t.removeHeldSuspect(d)
}

// removeHeldSuspect removes a request that is no longer held from the crashes that it explained, so
// that they count against other requests again. t.mu must be held.
func (t *Table) removeHeldSuspect(d Digest) {
	for _, run := range t.runs {
		if i := slices.Index(run.heldSuspects, d); i >= 0 {
			run.heldSuspects = slices.Delete(run.heldSuspects, i, i+1)
			t.reviewPending = true
		}
	}
}

// deleteRecord deletes the crashes counted against a request. t.mu must be held.
func (t *Table) deleteRecord(d Digest) {
	delete(t.records, d)
	t.setProbation(d, false)
	t.suspected.Store(int64(len(t.records)))
}
