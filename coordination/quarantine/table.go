package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// holdThreshold is the weight of unexplained crashes at which a request is held. Two crashes
	// reach it: each further one costs a runner for seconds, while one alone would hold all
	// requests that ran beside the culprit. A bystander is only held if two of its runners crash
	// within its own retries and it isn't answered in between.
	holdThreshold = 4
	// explainedHoldThreshold is the weight at which a request is held even if other held requests
	// explain its crashes: no bystander runs at four crashes without an answer in between.
	explainedHoldThreshold = 2 * holdThreshold
	// fullWeight is the weight of a crash soon after the request began to run, which is when a
	// culprit crashes its runner. reducedWeight is the weight of a crash of a long-running request,
	// since streams last for seconds and are hit by the crashes of others, and of a request that
	// was answered before.
	fullWeight    = 2
	reducedWeight = 1
	// reportWindow is the time within which all hosts report a crash: the batching of interrupted
	// attempts and of notices, and the delivery.
	reportWindow = 500 * time.Millisecond
	// burstWindow is the time within which the crashes of a request that is answered elsewhere
	// count as one: runners that are lost together say nothing about the requests that all of them
	// run.
	burstWindow = time.Second
	// runEndSlack is how much later than the recorded end of a run a request may appear to have
	// been sent to it. A request that was sent later was at the next run of the runner, which takes
	// work under the same name before the list of runners distinguishes the two.
	runEndSlack = 200 * time.Millisecond
	// recordTTL is how long a crash counts. A request that crashes runners less often costs less
	// than remembering every request that ever ran at a crash.
	recordTTL = time.Hour
	// maxRecords bounds the suspected requests that are remembered, at about 300 bytes each, and
	// the runs that crashed. It fits the requests of the last two hundred crashes of full engines.
	maxRecords = 1 << 14
	// maxHeld bounds the held requests. Each of them cost two runners, so a fleet has larger
	// problems before it reaches the bound.
	maxHeld = 1024
	// maxEvidence bounds the crashes that are remembered of one request.
	maxEvidence = 8
)

// Hold says why a request is held.
type Hold struct {
	Evidence []Evidence
	// Local says that this host saw one of the crashes itself.
	Local bool
	// At is when this host began to hold the request.
	At time.Time
	// triedAt is when this host learnt of the last trial that crashed its runner; At before there is one.
	triedAt time.Time
	// answeredBefore says that this host knows of an answer before the crashes.
	answeredBefore bool
	// firm says that it was held before, so that it isn't tried.
	firm bool
}

// runs returns the number of runs that crashed.
func (h *Hold) runs() int {
	seen := map[state.InstanceID]bool{}
	for _, e := range h.Evidence {
		seen[e.run()] = true
	}
	return len(seen)
}

// trials returns the number of trials that crashed their runners.
func (h *Hold) trials() int {
	n := 0
	for _, e := range h.Evidence {
		if e.Trial {
			n++
		}
	}
	return n
}

// Table counts the crashes at which requests ran, and decides which requests are held, at one host.
// It is safe for concurrent use.
type Table struct {
	clock state.Clock
	// held is replaced as a whole, so that each request is checked without a lock.
	held atomic.Pointer[map[Digest]*Hold]
	// suspected is len(records), for reads without a lock.
	suspected atomic.Int64
	// probation has the digests that were released without an answer, or would be held if nothing explained their
	// crashes: one request at a time runs until one is answered. It is replaced as a whole.
	probation atomic.Pointer[map[Digest]bool]
	answered  answeredSet

	mu      sync.Mutex
	records map[Digest]*record
	runs    map[state.InstanceID]*crashedRun
	// nextTrial has the times from which on held parts, and those on probation, may be tried again.
	nextTrial map[Digest]time.Time
	// reviewPending is set when a hold is removed and its crashes count against other requests
	// again.
	reviewPending bool
	// recordQueue and runQueue have the keys of records and runs in the order of their creation.
	recordQueue []queued[Digest]
	runQueue    []queued[state.InstanceID]
}

// queued is a key and the time at which it was added.
type queued[K any] struct {
	key K
	at  time.Time
}

// NewTable returns an empty table.
func NewTable(clock state.Clock) *Table {
	t := &Table{clock: clock, records: map[Digest]*record{}, runs: map[state.InstanceID]*crashedRun{}, nextTrial: map[Digest]time.Time{}}
	t.held.Store(&map[Digest]*Hold{})
	t.probation.Store(&map[Digest]bool{})
	return t
}

// Held returns the hold of a request, or nil if it isn't held.
func (t *Table) Held(d Digest) *Hold { return (*t.held.Load())[d] }

// Holds returns all holds. The map must not be changed.
func (t *Table) Holds() map[Digest]*Hold { return *t.held.Load() }

// AnsweredRecently reports whether a copy of the request was answered recently.
func (t *Table) AnsweredRecently(d Digest) bool { return t.answered.has(d) }

// RecordCrash counts a crash against its suspects; local says that this host saw the crash itself.
// It returns the requests that are held because of it. A run counts once for a request, however
// many hosts and copies report it.
func (t *Table) RecordCrash(c Crash, local bool) []Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expire(now)
	crashed := t.crashedRun(c.Run, now)
	for _, s := range c.Suspects {
		t.recordSuspect(crashed, c, s, local, now)
	}
	return t.holdSuspects(c, crashed, now)
}

// recordSuspect counts a crash against one suspect. t.mu must be held.
func (t *Table) recordSuspect(crashed *crashedRun, c Crash, s Suspect, local bool, now time.Time) {
	// A crash that an answer has cleared doesn't count again when another host reports it late.
	if t.isCleared(s.Digest, c.Run) && !s.SentAt.After(crashed.createdAt.Add(runEndSlack)) {
		return
	}
	r := t.records[s.Digest]
	if r == nil {
		r = t.addRecord(s.Digest, now)
	}
	// An answer at this host counts as one at the reporting host.
	s.AnsweredBefore = s.AnsweredBefore || (s.Digest.Shared() && t.answered.has(s.Digest))
	r.local = r.local || local
	hold := t.Held(s.Digest)
	trial := hold != nil && s.SentAt.After(hold.At.Add(minTrialDelay))
	if i := r.lastCrashOf(c.Run); i >= 0 && !s.SentAt.After(r.crashes[i].at.Add(runEndSlack)) {
		r.crashes[i].longRunning = r.crashes[i].longRunning && s.LongRunning
		r.crashes[i].answeredBefore = r.crashes[i].answeredBefore || s.AnsweredBefore
		r.crashes[i].Trial = r.crashes[i].Trial || trial
		return
	}
	if trial && len(r.crashes) == maxEvidence {
		r.crashes = r.crashes[:maxEvidence-1] // the crashes of trials say when the next one is due
	}
	if len(r.crashes) < maxEvidence && (trial || !s.AnsweredBefore || !r.inCurrentBurst(now)) {
		evidence := Evidence{Runner: c.Run.Name, Born: c.Run.Born, RequestID: s.RequestID, Host: c.Host, At: c.At, Trial: trial}
		r.crashes = append(r.crashes, recordedCrash{Evidence: evidence, longRunning: s.LongRunning, answeredBefore: s.AnsweredBefore, at: now})
	}
	crashed.suspects = append(crashed.suspects, s.Digest)
}

// holdSuspects holds those suspects of a crash that mustHold selects, and returns them. t.mu must
// be held.
func (t *Table) holdSuspects(c Crash, crashed *crashedRun, now time.Time) []Digest {
	var held []Digest
	for _, s := range c.Suspects {
		r := t.records[s.Digest]
		switch {
		case t.Held(s.Digest) != nil:
			crashed.addHeldSuspect(s.Digest)
			if r != nil {
				t.updateHold(s.Digest, r.evidence(), r.local)
			}
		case r != nil && t.mustHold(s.Digest, r):
			if !slices.Contains(held, s.Digest) {
				held = append(held, s.Digest)
			}
		case r != nil && t.isSuspicious(s.Digest, r):
			t.setProbation(s.Digest, true)
		}
	}
	for _, d := range held {
		t.addHold(d, t.records[d].evidence(), now)
	}
	return held
}

// mustHold reports whether a request is to be held, which is the case if
//   - its unexplained crashes reach holdThreshold,
//   - all its crashes reach explainedHoldThreshold,
//   - it is on trial and has an unexplained crash,
//   - it was released as a bystander and has a further crash, or
//   - all its crashes reach holdThreshold, one of them is unexplained, and they strictly cover
//     those of a held request, which was the bystander then.
//
// t.mu must be held.
func (t *Table) mustHold(d Digest, r *record) bool {
	unexplained, total := t.weighCrashes(d, r)
	if unexplained >= holdThreshold || total >= explainedHoldThreshold || (r.released && unexplained > 0) || (r.crashesAtRelease > 0 && len(r.crashes) > r.crashesAtRelease) {
		return true
	}
	if total < holdThreshold || unexplained == 0 {
		return false
	}
	for other := range *t.held.Load() {
		if bystander := t.records[other]; other != d && bystander != nil && r.strictlyCovers(bystander.runs()) {
			return true
		}
	}
	return false
}

// isSuspicious reports whether the crashes of a request would hold it if no held request explained them. t.mu must be
// held.
func (t *Table) isSuspicious(d Digest, r *record) bool {
	_, total := t.weighCrashes(d, r)
	return total >= holdThreshold
}

// weighCrashes returns the weight of the crashes that no other held request explains, and of all
// crashes. The explained ones are kept, since the request that is held first may be a bystander.
// t.mu must be held.
func (t *Table) weighCrashes(d Digest, r *record) (unexplained, total int) {
	for _, c := range r.crashes {
		total += c.weight()
		if !t.runs[c.run()].explainedByOther(d) {
			unexplained += c.weight()
		}
	}
	return unexplained, total
}

// Review releases the held requests whose crashes another held request strictly covers, and holds
// the requests whose crashes no held request explains any more. It returns both. Requests are
// otherwise held at once, which protects runners; bystanders are released only when all hosts can
// have reported the crashes.
func (t *Table) Review() (released, held []Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for d := range *t.held.Load() {
		bystander := t.records[d]
		if bystander == nil || !t.coveredByHeld(d, bystander.runs(), now.Add(-reportWindow)) {
			continue
		}
		t.removeHold(d)
		released = append(released, d)
		bystander.crashesAtRelease = len(bystander.crashes)
		t.setProbation(d, true)
	}
	if !t.reviewPending {
		return released, nil
	}
	t.reviewPending = false
	for d, r := range t.records {
		if t.Held(d) == nil && t.mustHold(d, r) {
			t.addHold(d, r.evidence(), now)
			held = append(held, d)
		}
	}
	return released, held
}

// coveredByHeld reports whether a held request other than d ran at all these crashes and at others,
// with its last crash recorded before the given time. t.mu must be held.
func (t *Table) coveredByHeld(d Digest, runs []state.InstanceID, before time.Time) bool {
	for other := range *t.held.Load() {
		r := t.records[other]
		if other != d && r != nil && r.strictlyCovers(runs) && r.crashes[len(r.crashes)-1].at.Before(before) {
			return true
		}
	}
	return false
}

// addRecord creates the record of a request. t.mu must be held.
func (t *Table) addRecord(d Digest, now time.Time) *record {
	r := &record{createdAt: now}
	t.records[d] = r
	t.recordQueue = append(t.recordQueue, queued[Digest]{d, now})
	t.suspected.Store(int64(len(t.records)))
	return r
}

// crashedRun returns the state of a run that crashed, and creates it for a new one. t.mu must be
// held.
func (t *Table) crashedRun(id state.InstanceID, now time.Time) *crashedRun {
	run := t.runs[id]
	if run == nil {
		run = &crashedRun{createdAt: now}
		t.runs[id] = run
		t.runQueue = append(t.runQueue, queued[state.InstanceID]{id, now})
	}
	return run
}

// expire deletes the oldest records and runs that exceed recordTTL or maxRecords. t.mu must be
// held.
func (t *Table) expire(now time.Time) {
	for len(t.recordQueue) > 0 && (now.Sub(t.recordQueue[0].at) > recordTTL || len(t.recordQueue) > maxRecords) {
		if r := t.records[t.recordQueue[0].key]; r != nil && r.createdAt.Equal(t.recordQueue[0].at) {
			t.deleteRecord(t.recordQueue[0].key)
		}
		t.recordQueue = t.recordQueue[1:]
	}
	for len(t.runQueue) > 0 && (now.Sub(t.runQueue[0].at) > recordTTL || len(t.runQueue) > maxRecords) {
		delete(t.runs, t.runQueue[0].key)
		t.runQueue = t.runQueue[1:]
	}
	t.suspected.Store(int64(len(t.records)))
}
