package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minTrialDelay is the least age of a hold at its first trial. By then the crashes of requests that were under way
	// when the part was held are reported. trialSpread is the time over which the hosts' first trials are distributed,
	// so that one host begins.
	minTrialDelay = 300 * time.Millisecond
	trialSpread   = 2 * time.Second
	// maxTrial bounds a trial at this host, and peerTrial the time for which a host waits for another's.
	maxTrial  = 15 * time.Second
	peerTrial = 2 * time.Second
	// firstTrialPause is the pause after a trial that crashed its runner, and each further one is longer by
	// trialPauseFactor. Where runners crash for other reasons a trial proves little, and a part that most requests share
	// must come back soon after; a culprit costs few runners.
	firstTrialPause  = 15 * time.Second
	trialPauseFactor = 4
	// trialSettle is the time from the end of a trial until its outcome is known to all hosts.
	trialSettle = time.Second
)

// Trial is a request that runs although parts of its prompt are held, or although it was released without an answer. An
// answer clears it, and a crash holds it again. At most one trial of a digest is in progress.
type Trial struct {
	table   *Table
	digests []Digest
}

// End ends the trial; it may be nil.
func (tr *Trial) End() {
	if tr == nil {
		return
	}
	tr.table.mu.Lock()
	defer tr.table.mu.Unlock()
	for _, d := range tr.digests {
		if tr.table.isTried(d) {
			tr.table.nextTrial[d] = tr.table.clock.Now().Add(trialSettle)
		}
	}
}

// provisional reports whether requests with the held digest may be tried. A part that other requests share may have run
// beside the culprit at each crash, and its hold refuses all of them.
func (h *Hold) provisional(d Digest) bool { return d.Shared() && !h.firm }

// certainRuns is the number of crashed runs that count as much as a trial, if the part was never answered.
const certainRuns = 3

// proofs returns how often a part has been shown to crash runners, which decides when it is tried next. A trial that ran
// beside another held suspect shows nothing. t.mu must be held.
func (t *Table) proofs(d Digest, h *Hold) int {
	n := 0
	for _, e := range h.Evidence {
		if e.Trial && !t.runs[e.run()].explainedByOther(d) {
			n++
		}
	}
	if h.trials() == 0 && !h.answeredBefore && h.runs() >= certainRuns {
		return 1
	}
	return n
}

// trialDelay returns how long after a hold, or after the last trial that crashed its runner, a host may make the next
// trial.
func trialDelay(host string, d Digest, proofs int) time.Duration {
	share := float64(xxhash.Sum64String(host+string(d[:]))) / (1 << 64)
	out := minTrialDelay + time.Duration(share*float64(trialSpread))
	for n, pause := 0, firstTrialPause; n < proofs; n, pause = n+1, pause*trialPauseFactor {
		if n == proofs-1 {
			out += pause
		}
	}
	return out
}

// setProbation begins or ends the probation of a digest. t.mu must be held.
func (t *Table) setProbation(d Digest, on bool) {
	present := *t.probation.Load()
	if present[d] == on {
		return
	}
	next := maps.Clone(present)
	if on {
		next[d] = true
	} else {
		delete(next, d)
		delete(t.nextTrial, d)
	}
	t.probation.Store(&next)
}

// isTried reports whether requests with the digest run one at a time, or not at all.
func (t *Table) isTried(d Digest) bool { return t.Held(d) != nil || (*t.probation.Load())[d] }

// admit decides whether a request with these digests may run. It returns the digests that it is a trial of, or a
// *HeldError. own is the trial that the request was admitted for before, or nil.
func (t *Table) admit(host string, digests []Digest, own *Trial) ([]Digest, *HeldError) {
	holds, probation := *t.held.Load(), *t.probation.Load()
	if len(holds) == 0 && len(probation) == 0 {
		return nil, nil
	}
	var tried []Digest
	for _, d := range digests {
		hold := holds[d]
		if hold == nil && !probation[d] {
			continue
		}
		if hold != nil && !hold.provisional(d) {
			return nil, &HeldError{Digest: d, Crashes: len(hold.Evidence)}
		}
		if own == nil || !slices.Contains(own.digests, d) {
			tried = append(tried, d)
		}
	}
	if len(tried) == 0 {
		return nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, d := range tried {
		next, crashes := t.trialTime(host, d, holds[d])
		if wait := next.Sub(now); wait > 0 {
			return nil, &HeldError{Digest: d, Crashes: crashes, RetryAfter: wait}
		}
	}
	for _, d := range tried {
		t.nextTrial[d] = now.Add(maxTrial)
	}
	return tried, nil
}

// trialTime returns when this host may try a digest that is held, or on probation, and the number of its crashes. t.mu
// must be held.
func (t *Table) trialTime(host string, d Digest, hold *Hold) (at time.Time, crashes int) {
	at = t.nextTrial[d]
	if hold != nil {
		if due := hold.triedAt.Add(trialDelay(host, d, t.proofs(d, hold))); due.After(at) {
			at = due
		}
		return at, len(hold.Evidence)
	}
	if r := t.records[d]; r != nil {
		crashes = len(r.crashes)
	}
	return at, crashes
}

// noteTrial records that a host has begun a trial.
func (t *Table) noteTrial(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until := t.clock.Now().Add(peerTrial); t.isTried(d) && t.nextTrial[d].Before(until) {
		t.nextTrial[d] = until
	}
}

// mergeEvidence adds the crashes of further runs to the evidence of a hold, and which of them were trials.
func mergeEvidence(known, further []Evidence) []Evidence {
	out := slices.Clone(known)
	for _, e := range further {
		i := slices.IndexFunc(out, func(k Evidence) bool { return k.run() == e.run() })
		switch {
		case i >= 0:
			out[i].Trial = out[i].Trial || e.Trial
		case len(out) < maxEvidence:
			out = append(out, e)
		case e.Trial:
			out[maxEvidence-1] = e
		}
	}
	return out
}

// updateHold adds the crashes of further runs to a hold. t.mu must be held.
func (t *Table) updateHold(d Digest, further []Evidence, local bool) {
	hold := t.Held(d)
	next := &Hold{Evidence: mergeEvidence(hold.Evidence, further), Local: hold.Local || local, At: hold.At, triedAt: hold.triedAt, answeredBefore: hold.answeredBefore, firm: hold.firm}
	if next.trials() > hold.trials() {
		next.triedAt = t.clock.Now()
	}
	if next.Local != hold.Local || !slices.Equal(next.Evidence, hold.Evidence) {
		t.replaceHold(d, next)
	}
}

// CheckHeld returns a *HeldError if one of the digests is held.
func (r *Registry) CheckHeld(digests []Digest) error {
	holds := r.o.Table.Holds()
	if len(holds) == 0 {
		return nil
	}
	for _, d := range digests {
		if hold := holds[d]; hold != nil {
			return &HeldError{Digest: d, Crashes: len(hold.Evidence)}
		}
	}
	return nil
}

// Admit reports whether a request with these digests may be sent to a runner, which is asked before each attempt. The
// error is a *HeldError. A trial that is returned must be ended with the request, passed with its further calls, and
// its attempts aren't repeated. own is the trial that the request was admitted for before, or nil.
func (r *Registry) Admit(digests []Digest, own *Trial) (*Trial, error) {
	tried, held := r.o.Table.admit(r.o.Host, digests, own)
	switch {
	case held != nil:
		return nil, held
	case len(tried) == 0:
		return own, nil
	}
	r.o.Publish(Notice{Trials: tried})
	if own != nil {
		tried = append(tried, own.digests...)
	}
	return &Trial{r.o.Table, tried}, nil
}
