package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// holdWeight is the weight of crashes at which a request is held. Two crashes do: each
	// more costs a runner for seconds, and one alone would hold all that ran beside the
	// request that did it. To be held for nothing, a request must be at two runners that
	// crash within its own retries, and unanswered between.
	holdWeight = 4
	// sharedHoldWeight is the weight at which a request is held though others are held for its
	// crashes: nobody is a bystander four times without an answer between.
	sharedHoldWeight = 2 * holdWeight
	// freshWeight is that of a crash soon after the request began to run, which is when one
	// that crashes its runner does so. settledWeight is that of one whose answer had been
	// coming for a while, as streams last for seconds and are hit by what others do, and of
	// one that was answered before.
	freshWeight   = 2
	settledWeight = 1
	// toldWithin is the time in which all hosts tell of a crash: the gathering of work that broke
	// off and of notices, and their way.
	toldWithin = 500 * time.Millisecond
	// moment is the time in which the crashes of a request that is answered elsewhere count
	// as one: runners that are lost together say nothing of what they all run.
	moment = time.Second
	// runSlack is how much later than a run was known to have ended a request may seem to
	// have been sent to it. One that was sent later was at the runner's next run: that takes
	// work under the same name before the list tells the two apart.
	runSlack = 200 * time.Millisecond
	// rememberFor is how long a crash counts: a request that comes less often costs less
	// than the memory of all that ever ran at a crash.
	rememberFor = time.Hour
	// mostSuspects bounds the requests that are remembered, about 300 bytes each: what ran
	// at the last two hundred crashes of full engines.
	mostSuspects = 1 << 14
	// mostHeld bounds the requests that are held: each cost two runners, so that a fleet
	// has other worries before it is reached.
	mostHeld = 1024
	// mostEvidence bounds the crashes that are remembered of one request.
	mostEvidence = 8
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
	proven    proven

	mu      sync.Mutex
	records map[Digest]*record
	runs    map[state.InstanceID]*ended
	// unblamed is set when a request was let go: its crashes count against others again.
	unblamed bool
	// queue and runQueue hold the keys of both in the order of their arrival.
	queue    []queued[Digest]
	runQueue []queued[state.InstanceID]
}

type queued[K any] struct {
	key K
	at  time.Time
}

// NewTable returns an empty table.
func NewTable(clock state.Clock) *Table {
	t := &Table{clock: clock, records: map[Digest]*record{}, runs: map[state.InstanceID]*ended{}}
	t.held.Store(&map[Digest]*Hold{})
	return t
}

// Held returns why a request is held, or nil.
func (t *Table) Held(d Digest) *Hold { return (*t.held.Load())[d] }

// Holds returns all that is held; it is not to be changed.
func (t *Table) Holds() map[Digest]*Hold { return *t.held.Load() }

// AnsweredRecently reports whether a copy of the request was answered not long ago.
func (t *Table) AnsweredRecently(d Digest) bool { return t.proven.has(d) }

// RecordCrash counts a crash; own says that this host saw it. It returns the requests that are held
// by it. One run counts once for a request, however many hosts and copies tell of it.
func (t *Table) RecordCrash(c Crash, own bool) []Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expire(now)
	e := t.endedRun(c.Run, now)
	for _, s := range c.Suspects {
		t.expose(e, c, s, own, now)
	}
	return t.decide(c, e, now)
}

// expose counts a crash for one request; t.mu is held.
func (t *Table) expose(e *ended, c Crash, s Suspect, own bool, now time.Time) {
	// What an answer has cleared isn't counted again because another host tells it late.
	if t.cleared(s.Digest, c.Run) && !s.SentAt.After(e.at.Add(runSlack)) {
		return
	}
	r := t.records[s.Digest]
	if r == nil {
		r = t.newRecord(s.Digest, now)
	}
	r.own = r.own || own
	if i := r.last(c.Run); i >= 0 && !s.SentAt.After(r.crashes[i].at.Add(runSlack)) {
		r.crashes[i].settled = r.crashes[i].settled && s.LongRunning
		r.crashes[i].proven = r.crashes[i].proven || s.AnsweredBefore
		return
	}
	if len(r.crashes) < mostEvidence && !(s.AnsweredBefore && r.sameMoment(now)) {
		seen := Evidence{Runner: c.Run.Name, Born: c.Run.Born, RequestID: s.RequestID, Host: c.Host, At: c.At}
		r.crashes = append(r.crashes, exposure{Evidence: seen, settled: s.LongRunning, proven: s.AnsweredBefore, at: now})
	}
	e.suspects = append(e.suspects, s.Digest)
}

// decide holds the requests against which enough speaks after a crash; t.mu is held.
func (t *Table) decide(c Crash, e *ended, now time.Time) []Digest {
	var found []Digest
	for _, s := range c.Suspects {
		r := t.records[s.Digest]
		switch {
		case t.Held(s.Digest) != nil:
			e.blame(s.Digest)
		case r != nil && t.enough(s.Digest, r):
			if !slices.Contains(found, s.Digest) {
				found = append(found, s.Digest)
			}
		}
	}
	for _, d := range found {
		t.hold(d, t.records[d].evidence(), now)
	}
	return found
}

// enough reports whether enough speaks against a request: the crashes that no other explains,
// twice as many that others do, a further one if it was let go before, or all of them if it was
// at all those of one that is held and at more, which was the bystander then. t.mu is held.
func (t *Table) enough(d Digest, r *record) bool {
	alone, total := t.weigh(d, r)
	if alone >= holdWeight || total >= sharedHoldWeight || (r.released && alone > 0) || (r.letGo > 0 && len(r.crashes) > r.letGo) {
		return true
	}
	if total < holdWeight || alone == 0 {
		return false
	}
	for other := range *t.held.Load() {
		if bystander := t.records[other]; other != d && bystander != nil && r.outdoes(bystander.runs()) {
			return true
		}
	}
	return false
}

// weigh tells how much speaks against a request: alone counts the crashes that no other explains.
// The others are never forgotten: who is held first may have been a bystander. t.mu is held.
func (t *Table) weigh(d Digest, r *record) (alone, total int) {
	for _, x := range r.crashes {
		total += x.weight()
		if !t.runs[x.run()].explained(d) {
			alone += x.weight()
		}
	}
	return alone, total
}

// Review lets the requests go that a held one outdoes, and holds those for whose crashes nobody
// else is held any more. It returns both. Holding is done at once otherwise, as it protects
// runners; letting go waits until all hosts can have told of the crashes.
func (t *Table) Review() (letGo, found []Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for d := range *t.held.Load() {
		bystander := t.records[d]
		if bystander == nil || !t.outdone(d, bystander.runs(), now.Add(-toldWithin)) {
			continue
		}
		t.unhold(d)
		letGo = append(letGo, d)
		bystander.letGo = len(bystander.crashes)
	}
	if !t.unblamed {
		return letGo, nil
	}
	t.unblamed = false
	for d, r := range t.records {
		if t.Held(d) == nil && t.enough(d, r) {
			t.hold(d, r.evidence(), now)
			found = append(found, d)
		}
	}
	return letGo, found
}

// outdone reports whether a request that is held was at all these crashes and at more, with none
// of its own or theirs newer than known; t.mu is held.
func (t *Table) outdone(d Digest, runs []state.InstanceID, known time.Time) bool {
	for other := range *t.held.Load() {
		r := t.records[other]
		if other != d && r != nil && r.outdoes(runs) && r.crashes[len(r.crashes)-1].at.Before(known) {
			return true
		}
	}
	return false
}

// newRecord begins to remember a request; t.mu is held.
func (t *Table) newRecord(d Digest, now time.Time) *record {
	r := &record{at: now}
	t.records[d] = r
	t.queue = append(t.queue, queued[Digest]{d, now})
	t.suspected.Store(int64(len(t.records)))
	return r
}

// endedRun is what is known of a run that crashed; t.mu is held.
func (t *Table) endedRun(id state.InstanceID, now time.Time) *ended {
	e := t.runs[id]
	if e == nil {
		e = &ended{at: now}
		t.runs[id] = e
		t.runQueue = append(t.runQueue, queued[state.InstanceID]{id, now})
	}
	return e
}

// expire drops what is too old or too much; t.mu is held.
func (t *Table) expire(now time.Time) {
	for len(t.queue) > 0 && (now.Sub(t.queue[0].at) > rememberFor || len(t.queue) > mostSuspects) {
		if r := t.records[t.queue[0].key]; r != nil && r.at.Equal(t.queue[0].at) {
			delete(t.records, t.queue[0].key)
		}
		t.queue = t.queue[1:]
	}
	for len(t.runQueue) > 0 && (now.Sub(t.runQueue[0].at) > rememberFor || len(t.runQueue) > mostSuspects) {
		delete(t.runs, t.runQueue[0].key)
		t.runQueue = t.runQueue[1:]
	}
	t.suspected.Store(int64(len(t.records)))
}
