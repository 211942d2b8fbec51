package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// holdThreshold is the weight of crashes at which a request is held. Two crashes do: each
	// more costs a runner for seconds, and one alone would hold all that ran beside the
	// request that did it. To be held for nothing, a request must be at two runners that
	// crash within its own retries, and unanswered between.
	holdThreshold = 4
	// explainedHoldThreshold is the weight at which a request is held though others are held for its
	// crashes: nobody is a bystander four times without an answer between.
	explainedHoldThreshold = 2 * holdThreshold
	// fullWeight is that of a crash soon after the request began to run, which is when one
	// that crashes its runner does so. settledWeight is that of one whose answer had been
	// coming for a while, as streams last for seconds and are hit by what others do, and of
	// one that was answered before.
	fullWeight    = 2
	reducedWeight = 1
	// reportWindow is the time in which all hosts tell of a crash: the gathering of work that broke
	// off and of notices, and their way.
	reportWindow = 500 * time.Millisecond
	// burstWindow is the time in which the crashes of a request that is answered elsewhere count
	// as one: runners that are lost together say nothing of what they all run.
	burstWindow = time.Second
	// runEndSlack is how much later than a run was known to have ended a request may seem to
	// have been sent to it. One that was sent later was at the runner's next run: that takes
	// work under the same name before the list tells the two apart.
	runEndSlack = 200 * time.Millisecond
	// recordTTL is how long a crash counts: a request that comes less often costs less
	// than the memory of all that ever ran at a crash.
	recordTTL = time.Hour
	// maxRecords bounds the requests that are remembered, about 300 bytes each: what ran
	// at the last two hundred crashes of full engines.
	maxRecords = 1 << 14
	// maxHeld bounds the requests that are held: each cost two runners, so that a fleet
	// has other worries before it is reached.
	maxHeld = 1024
	// maxEvidence bounds the crashes that are remembered of one request.
	maxEvidence = 8
)

// Hold is why a request is held.
type Hold struct {
	Evidence []Evidence
	// Local says that this host saw one of the crashes itself.
	Local bool
	// At is when this host began to hold it.
	At time.Time
}

// Table counts, at one host, the crashes at which requests ran, and tells which are held. It
// is safe for concurrent use.
type Table struct {
	clock state.Clock
	// held is replaced whole, so that a request's path reads it without a lock.
	held atomic.Pointer[map[Digest]*Hold]
	// suspected is the size of records, read without a lock.
	suspected atomic.Int64
	answered  answeredSet

	mu      sync.Mutex
	records map[Digest]*record
	runs    map[state.InstanceID]*crashedRun
	// reviewPending is set when a request was let go: its crashes count against others again.
	reviewPending bool
	// recordQueue and runQueue hold the keys of both in the order of their arrival.
	recordQueue []queued[Digest]
	runQueue    []queued[state.InstanceID]
}

type queued[K any] struct {
	key K
	at  time.Time
}

// NewTable returns an empty table.
func NewTable(clock state.Clock) *Table {
	t := &Table{clock: clock, records: map[Digest]*record{}, runs: map[state.InstanceID]*crashedRun{}}
	t.held.Store(&map[Digest]*Hold{})
	return t
}

// Held returns why a request is held, or nil.
func (t *Table) Held(d Digest) *Hold { return (*t.held.Load())[d] }

// Holds returns all that is held; it is not to be changed.
func (t *Table) Holds() map[Digest]*Hold { return *t.held.Load() }

// AnsweredRecently reports whether a copy of the request was answered not long ago.
func (t *Table) AnsweredRecently(d Digest) bool { return t.answered.has(d) }

// RecordCrash counts a crash; own says that this host saw it. It returns the requests that are held
// by it. One run counts once for a request, however many hosts and copies tell of it.
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

// recordSuspect counts a crash for one request; t.mu is held.
func (t *Table) recordSuspect(crashed *crashedRun, c Crash, s Suspect, local bool, now time.Time) {
	// What an answer has cleared isn't counted again because another host tells it late.
	if t.isCleared(s.Digest, c.Run) && !s.SentAt.After(crashed.createdAt.Add(runEndSlack)) {
		return
	}
	r := t.records[s.Digest]
	if r == nil {
		r = t.addRecord(s.Digest, now)
	}
	r.local = r.local || local
	if i := r.lastCrashOf(c.Run); i >= 0 && !s.SentAt.After(r.crashes[i].at.Add(runEndSlack)) {
		r.crashes[i].longRunning = r.crashes[i].longRunning && s.LongRunning
		r.crashes[i].answeredBefore = r.crashes[i].answeredBefore || s.AnsweredBefore
		return
	}
	if len(r.crashes) < maxEvidence && !(s.AnsweredBefore && r.inCurrentBurst(now)) {
		evidence := Evidence{Runner: c.Run.Name, Born: c.Run.Born, RequestID: s.RequestID, Host: c.Host, At: c.At}
		r.crashes = append(r.crashes, recordedCrash{Evidence: evidence, longRunning: s.LongRunning, answeredBefore: s.AnsweredBefore, at: now})
	}
	crashed.suspects = append(crashed.suspects, s.Digest)
}

// holdSuspects holds the requests against which enough speaks after a crash; t.mu is held.
func (t *Table) holdSuspects(c Crash, crashed *crashedRun, now time.Time) []Digest {
	var held []Digest
	for _, s := range c.Suspects {
		r := t.records[s.Digest]
		switch {
		case t.Held(s.Digest) != nil:
			crashed.addHeldSuspect(s.Digest)
		case r != nil && t.mustHold(s.Digest, r):
			if !slices.Contains(held, s.Digest) {
				held = append(held, s.Digest)
			}
		}
	}
	for _, d := range held {
		t.addHold(d, t.records[d].evidence(), now)
	}
	return held
}

// mustHold reports whether mustHold speaks against a request: the crashes that no other explains,
// twice as many that others do, a further one if it was let go before, or all of them if it was
// at all those of one that is held and at more, which was the bystander then. t.mu is held.
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

// weighCrashes tells how much speaks against a request: alone counts the crashes that no other explains.
// The others are never forgotten: who is held first may have been a bystander. t.mu is held.
func (t *Table) weighCrashes(d Digest, r *record) (unexplained, total int) {
	for _, c := range r.crashes {
		total += c.weight()
		if !t.runs[c.run()].explainedByOther(d) {
			unexplained += c.weight()
		}
	}
	return unexplained, total
}

// Review lets the requests go that a held one outdoes, and holds those for whose crashes nobody
// else is held any more. It returns both. Holding is done at once otherwise, as it protects
// runners; letting go waits until all hosts can have told of the crashes.
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

// coveredByHeld reports whether a request that is held was at all these crashes and at more, with none
// of its own or theirs newer than known; t.mu is held.
func (t *Table) coveredByHeld(d Digest, runs []state.InstanceID, before time.Time) bool {
	for other := range *t.held.Load() {
		r := t.records[other]
		if other != d && r != nil && r.strictlyCovers(runs) && r.crashes[len(r.crashes)-1].at.Before(before) {
			return true
		}
	}
	return false
}

// addRecord begins to remember a request; t.mu is held.
func (t *Table) addRecord(d Digest, now time.Time) *record {
	r := &record{createdAt: now}
	t.records[d] = r
	t.recordQueue = append(t.recordQueue, queued[Digest]{d, now})
	t.suspected.Store(int64(len(t.records)))
	return r
}

// crashedRun is what is known of a run that crashed; t.mu is held.
func (t *Table) crashedRun(id state.InstanceID, now time.Time) *crashedRun {
	run := t.runs[id]
	if run == nil {
		run = &crashedRun{createdAt: now}
		t.runs[id] = run
		t.runQueue = append(t.runQueue, queued[state.InstanceID]{id, now})
	}
	return run
}

// expire drops what is too old or too much; t.mu is held.
func (t *Table) expire(now time.Time) {
	for len(t.recordQueue) > 0 && (now.Sub(t.recordQueue[0].at) > recordTTL || len(t.recordQueue) > maxRecords) {
		if r := t.records[t.recordQueue[0].key]; r != nil && r.createdAt.Equal(t.recordQueue[0].at) {
			delete(t.records, t.recordQueue[0].key)
		}
		t.recordQueue = t.recordQueue[1:]
	}
	for len(t.runQueue) > 0 && (now.Sub(t.runQueue[0].at) > recordTTL || len(t.runQueue) > maxRecords) {
		delete(t.runs, t.runQueue[0].key)
		t.runQueue = t.runQueue[1:]
	}
	t.suspected.Store(int64(len(t.records)))
}
