package quarantine

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// reviewInterval is how often the registry looks after the store's entries, and the pause before a
	// write that failed is tried again: hosts that were out of the store's reach have some
	// seconds to tell it what they know.
	reviewInterval = time.Second
	// takeoverDelay is when a host writes what another should have: that one may be gone.
	takeoverDelay = 3 * time.Second
	// batchDelay is the pause in which crashes are collected for one notice: a failure domain
	// that is lost is told in one by each host, not in one for each runner.
	batchDelay = 20 * time.Millisecond
	// clearanceTTL is how long an entry that is written in ignorance of an answer may be on
	// its way: a write and the copy of it.
	clearanceTTL = 10 * time.Second
	// maxSuspectsPerNotice bounds the requests that a host tells of one crash, those first that had just
	// begun; a full engine has some hundred from all hosts together.
	maxSuspectsPerNotice = 128
)

// Notice is what hosts tell each other.
type Notice struct {
	Crashes []Crash
	// Held are requests that are held, for hosts that missed a crash.
	Held []HeldRequest
	// Answered are requests that were suspected or held and have been answered.
	Answered []Digest
}

func (n Notice) isEmpty() bool { return len(n.Crashes)+len(n.Held)+len(n.Answered) == 0 }

// HeldRequest is a request that is held.
type HeldRequest struct {
	Digest   Digest
	Evidence []Evidence
}

// Options configure a Registry. All fields are required.
type Options struct {
	// Host is this host's name in what it tells.
	Host  string
	Table *Table
	Store store.Store
	// FollowsStore reports whether this host is one of those that follow the store.
	FollowsStore func() bool
	// Publish tells all hosts, this one too, by Take. It doesn't wait.
	Publish func(Notice)
	Clock   state.Clock
	Log     *slog.Logger
}

// Registry counts crashes with the other hosts and keeps at the store what is held. It is safe
// for concurrent use.
type Registry struct {
	o Options
	// noticePending and reviewPending wake what tells the hosts and what writes to the store.
	noticePending, reviewPending chan struct{}

	mu            sync.Mutex
	pendingNotice Notice
	// pendingAnswered are suspected requests that were answered here. They are told with the next
	// notice or tick: most of those that ran at a crash are.
	pendingAnswered []Digest
	// entries are those of the store as of revision, with what this host has written since,
	// and unreadable the versions of those that were logged.
	entries    map[Digest]storedEntry
	revision   uint64
	unreadable map[string]uint64
	// bystanders are requests that were let go since another was at all their crashes and at
	// more. Their entries are to say so; what speaks against them stays.
	bystanders map[Digest]clearance
	// answered are suspected requests that were answered of late, at any host, or lifted while
	// this host was writing. Their entries are to go, also one that a host writes which hasn't
	// heard of it.
	answered map[Digest]clearance
	// removed is when entries were removed of late.
	removed map[Digest]time.Time
}

// clearance is what a host knows of the clearance to a suspected request.
type clearance struct {
	at time.Time
	// local answers were given here: this host removes the entry at once. The few that follow
	// the store do it for another, which may be gone.
	local bool
}

// New validates the options.
func New(o Options) (*Registry, error) {
	if o.Host == "" || o.Table == nil || o.Store == nil || o.FollowsStore == nil || o.Publish == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("quarantine: a field of Options is missing; set all of them")
	}
	return &Registry{o: o, noticePending: make(chan struct{}, 1), reviewPending: make(chan struct{}, 1), entries: map[Digest]storedEntry{}, unreadable: map[string]uint64{}, answered: map[Digest]clearance{}, bystanders: map[Digest]clearance{}, removed: map[Digest]time.Time{}}, nil
}

// Held returns why a request is held, or nil.
func (r *Registry) Held(d Digest) *Hold { return r.o.Table.Held(d) }

// Size is the number of requests that are held.
func (r *Registry) Size() int { return len(r.o.Table.Holds()) }

// ReportAnswered notes that a copy of the request was answered whole.
func (r *Registry) ReportAnswered(d Digest) {
	suspected, held := r.o.Table.ReportAnswered(d)
	if !suspected {
		return
	}
	r.mu.Lock()
	_, stored := r.entries[d]
	r.pendingAnswered = append(r.pendingAnswered, d)
	r.answered[d] = clearance{at: r.o.Clock.Now(), local: true}
	r.mu.Unlock()
	if held || stored {
		r.o.Log.Info("held request answered", "digest", d.String())
		r.wakeLoops()
	}
}

// ReportCrash counts a crash under this host's requests, and tells all hosts. This host counts it at
// once: an answer that comes before it is told clears it, and is told after it.
func (r *Registry) ReportCrash(run state.InstanceID, at time.Time, suspects []Suspect) {
	suspects = slices.Clone(suspects)
	for i := range suspects {
		suspects[i].AnsweredBefore = r.o.Table.AnsweredRecently(suspects[i].Digest)
	}
	slices.SortStableFunc(suspects, func(a, b Suspect) int { return cmp.Compare(boolToInt(a.LongRunning), boolToInt(b.LongRunning)) })
	c := Crash{Run: run, Host: r.o.Host, At: at, Suspects: suspects[:min(len(suspects), maxSuspectsPerNotice)]}
	r.mu.Lock()
	r.pendingNotice.Crashes = append(r.pendingNotice.Crashes, c)
	r.mu.Unlock()
	r.countCrash(c)
	r.wakeLoops()
}

// countCrash counts a crash against the requests that ran there. An answer speaks for all copies
// that were sent before it, also when their crash is told after it; one that was sent later
// begins the suspicion anew.
func (r *Registry) countCrash(c Crash) {
	r.mu.Lock()
	c.Suspects = slices.DeleteFunc(slices.Clone(c.Suspects), func(s Suspect) bool {
		a, cleared := r.answered[s.Digest]
		if cleared && s.SentAt.After(a.at) {
			delete(r.answered, s.Digest)
			return false
		}
		return cleared
	})
	held := r.o.Table.RecordCrash(c, c.Host == r.o.Host)
	for _, d := range held {
		delete(r.bystanders, d)
	}
	r.mu.Unlock()
	for _, d := range held {
		r.reportHold(d)
	}
}

// boolToInt is 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// wakeLoops has news told and the store written.
func (r *Registry) wakeLoops() {
	for _, wake := range []chan struct{}{r.noticePending, r.reviewPending} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Receive takes what a host tells, this one too. It doesn't wait.
func (r *Registry) Receive(n Notice) {
	for _, c := range n.Crashes {
		r.countCrash(c)
	}
	for _, h := range n.Held {
		if r.o.Table.HoldFromPeer(h.Digest, h.Evidence) {
			r.logHold(h.Digest, "another host")
		}
	}
	for _, d := range n.Answered {
		r.receiveAnswered(d)
	}
}

// receiveAnswered takes another host's word that a request was answered.
func (r *Registry) receiveAnswered(d Digest) {
	r.o.Table.Clear(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, cleared := r.answered[d]; !cleared {
		r.answered[d] = clearance{at: r.o.Clock.Now()}
	}
}

// reportHold tells the others what this host has reportHold, if one of the crashes was its own: a
// host that saw none leaves it to those that did.
func (r *Registry) reportHold(d Digest) {
	r.logHold(d, "crashes")
	hold := r.o.Table.Held(d)
	if hold == nil || !hold.Local {
		return
	}
	r.mu.Lock()
	r.pendingNotice.Held = append(r.pendingNotice.Held, HeldRequest{d, hold.Evidence})
	r.mu.Unlock()
	r.wakeLoops()
}

// logHold writes the line from which a refusal is explained.
func (r *Registry) logHold(d Digest, source string) {
	if hold := r.o.Table.Held(d); hold != nil {
		r.o.Log.Warn("request held: runners crash under it", "digest", d.String(), "by", source, "crashes", len(hold.Evidence), "evidence", describeEvidence(hold.Evidence))
	}
}

func describeEvidence(evidence []Evidence) []string {
	out := make([]string, 0, len(evidence))
	for _, e := range evidence {
		out = append(out, e.run().String()+" under "+e.RequestID+" of "+e.Host+" at "+e.At.UTC().Format(time.RFC3339Nano))
	}
	return out
}

// Run tells the other hosts and looks after the store's entries until ctx ends. One doesn't
// wait for the other: the store may hang.
func (r *Registry) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { r.loop(ctx, r.noticePending, r.publishPending) })
	loops.Go(func() {
		r.loop(ctx, r.reviewPending, func() {
			r.reviewHolds()
			r.rewriteEntries(ctx)
			r.writeHolds(ctx)
			r.expireEntries(ctx)
			r.reconcile()
		})
	})
	loops.Wait()
}

// reviewHolds lets bystanders go, and holds what they hid. Each host does so by itself; those that
// follow the store note it in the entries.
func (r *Registry) reviewHolds() {
	r.mu.Lock()
	released, held := r.o.Table.Review()
	for _, d := range released {
		r.bystanders[d] = clearance{at: r.o.Clock.Now()}
	}
	for _, d := range held {
		delete(r.bystanders, d)
	}
	r.mu.Unlock()
	for _, d := range held {
		r.reportHold(d)
	}
	for _, d := range released {
		r.o.Log.Info("held request let go: another was at all its crashes and at more", "digest", d.String())
	}
}

// loop calls do a moment after it was woken, and at loop tick.
func (r *Registry) loop(ctx context.Context, wake <-chan struct{}, do func()) {
	for ctx.Err() == nil {
		r.waitForWake(ctx, wake)
		if r.o.Clock.Sleep(ctx, batchDelay) != nil {
			return
		}
		do()
	}
}

// waitForWake waits to be woken, or for the next tick.
func (r *Registry) waitForWake(ctx context.Context, wake <-chan struct{}) {
	sleepCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.o.Clock.Sleep(sleepCtx, reviewInterval) // its end is all that counts
	}()
	select {
	case <-wake:
	case <-done:
	}
}

// publishPending tells all hosts what is new.
func (r *Registry) publishPending() {
	r.mu.Lock()
	n := r.pendingNotice
	n.Answered, r.pendingAnswered = r.pendingAnswered, nil
	r.pendingNotice = Notice{}
	r.mu.Unlock()
	if n.isEmpty() {
		return
	}
	if len(n.Answered) > 0 {
		r.o.Log.Info("suspected requests answered", "requests", len(n.Answered))
	}
	r.o.Publish(n)
}
