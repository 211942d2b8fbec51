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
	// tick is how often the registry looks after the store's entries, and the pause before a
	// write that failed is tried again: hosts that were out of the store's reach have some
	// seconds to tell it what they know.
	tick = time.Second
	// standInAfter is when a host writes what another should have: that one may be gone.
	standInAfter = 3 * time.Second
	// gather is the pause in which crashes are collected for one notice: a failure domain
	// that is lost is told in one by each host, not in one for each runner.
	gather = 20 * time.Millisecond
	// answeredFor is how long an entry that is written in ignorance of an answer may be on
	// its way: a write and the copy of it.
	answeredFor = 10 * time.Second
	// mostTold bounds the requests that a host tells of one crash, those first that had just
	// begun; a full engine has some hundred from all hosts together.
	mostTold = 128
)

// Notice is what hosts tell each other.
type Notice struct {
	Crashes []Crash
	// Held are requests that are held, for hosts that missed a crash.
	Held []HeldRequest
	// Answered are requests that were suspected or held and have been answered.
	Answered []Digest
}

func (n Notice) empty() bool { return len(n.Crashes)+len(n.Held)+len(n.Answered) == 0 }

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
	// news and changed wake what tells the hosts and what writes to the store.
	news, changed chan struct{}

	mu      sync.Mutex
	pending Notice
	// cleared are suspected requests that were answered here. They are told with the next
	// notice or tick: most of those that ran at a crash are.
	cleared []Digest
	// entries are those of the store as of revision, with what this host has written since,
	// and unreadable the versions of those that were logged.
	entries    map[Digest]stored
	revision   uint64
	unreadable map[string]uint64
	// outdone are requests that were let go since another was at all their crashes and at
	// more. Their entries are to say so; what speaks against them stays.
	outdone map[Digest]answer
	// answered are suspected requests that were answered of late, at any host, or lifted while
	// this host was writing. Their entries are to go, also one that a host writes which hasn't
	// heard of it.
	answered map[Digest]answer
	// removed is when entries were removed of late.
	removed map[Digest]time.Time
}

// answer is what a host knows of the answer to a suspected request.
type answer struct {
	at time.Time
	// own answers were given here: this host removes the entry at once. The few that follow
	// the store do it for another, which may be gone.
	own bool
}

// New validates the options.
func New(o Options) (*Registry, error) {
	if o.Host == "" || o.Table == nil || o.Store == nil || o.FollowsStore == nil || o.Publish == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("quarantine: a field of Options is missing; set all of them")
	}
	return &Registry{o: o, news: make(chan struct{}, 1), changed: make(chan struct{}, 1), entries: map[Digest]stored{}, unreadable: map[string]uint64{}, answered: map[Digest]answer{}, outdone: map[Digest]answer{}, removed: map[Digest]time.Time{}}, nil
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
	r.cleared = append(r.cleared, d)
	r.answered[d] = answer{at: r.o.Clock.Now(), own: true}
	r.mu.Unlock()
	if held || stored {
		r.o.Log.Info("held request answered", "digest", d.String())
		r.rouse()
	}
}

// ReportCrash counts a crash under this host's requests, and tells all hosts. This host counts it at
// once: an answer that comes before it is told clears it, and is told after it.
func (r *Registry) ReportCrash(run state.InstanceID, at time.Time, suspects []Suspect) {
	suspects = slices.Clone(suspects)
	for i := range suspects {
		suspects[i].AnsweredBefore = r.o.Table.AnsweredRecently(suspects[i].Digest)
	}
	slices.SortStableFunc(suspects, func(a, b Suspect) int { return cmp.Compare(oneIf(a.LongRunning), oneIf(b.LongRunning)) })
	c := Crash{Run: run, Host: r.o.Host, At: at, Suspects: suspects[:min(len(suspects), mostTold)]}
	r.mu.Lock()
	r.pending.Crashes = append(r.pending.Crashes, c)
	r.mu.Unlock()
	r.count(c)
	r.rouse()
}

// count counts a crash against the requests that ran there. An answer speaks for all copies
// that were sent before it, also when their crash is told after it; one that was sent later
// begins the suspicion anew.
func (r *Registry) count(c Crash) {
	r.mu.Lock()
	c.Suspects = slices.DeleteFunc(slices.Clone(c.Suspects), func(s Suspect) bool {
		a, known := r.answered[s.Digest]
		if known && s.SentAt.After(a.at) {
			delete(r.answered, s.Digest)
			return false
		}
		return known
	})
	found := r.o.Table.RecordCrash(c, c.Host == r.o.Host)
	for _, d := range found {
		delete(r.outdone, d)
	}
	r.mu.Unlock()
	for _, d := range found {
		r.found(d)
	}
}

// oneIf is 1 for true and 0 for false.
func oneIf(is bool) int {
	if is {
		return 1
	}
	return 0
}

// rouse has news told and the store written.
func (r *Registry) rouse() {
	for _, wake := range []chan struct{}{r.news, r.changed} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Receive takes what a host tells, this one too. It doesn't wait.
func (r *Registry) Receive(n Notice) {
	for _, c := range n.Crashes {
		r.count(c)
	}
	for _, h := range n.Held {
		if r.o.Table.HoldFromPeer(h.Digest, h.Evidence) {
			r.logHeld(h.Digest, "another host")
		}
	}
	for _, d := range n.Answered {
		r.forget(d)
	}
}

// forget takes another host's word that a request was answered.
func (r *Registry) forget(d Digest) {
	r.o.Table.Clear(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.answered[d]; !known {
		r.answered[d] = answer{at: r.o.Clock.Now()}
	}
}

// found tells the others what this host has found, if one of the crashes was its own: a
// host that saw none leaves it to those that did.
func (r *Registry) found(d Digest) {
	r.logHeld(d, "crashes")
	hold := r.o.Table.Held(d)
	if hold == nil || !hold.Local {
		return
	}
	r.mu.Lock()
	r.pending.Held = append(r.pending.Held, HeldRequest{d, hold.Evidence})
	r.mu.Unlock()
	r.rouse()
}

// logHeld writes the line from which a refusal is explained.
func (r *Registry) logHeld(d Digest, by string) {
	if hold := r.o.Table.Held(d); hold != nil {
		r.o.Log.Warn("request held: runners crash under it", "digest", d.String(), "by", by, "crashes", len(hold.Evidence), "evidence", describe(hold.Evidence))
	}
}

func describe(evidence []Evidence) []string {
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
	loops.Go(func() { r.each(ctx, r.news, r.tell) })
	loops.Go(func() {
		r.each(ctx, r.changed, func() {
			r.review()
			r.writeAgain(ctx)
			r.write(ctx)
			r.sweep(ctx)
			r.reconcile()
		})
	})
	loops.Wait()
}

// review lets bystanders go, and holds what they hid. Each host does so by itself; those that
// follow the store note it in the entries.
func (r *Registry) review() {
	r.mu.Lock()
	letGo, found := r.o.Table.Review()
	for _, d := range letGo {
		r.outdone[d] = answer{at: r.o.Clock.Now()}
	}
	for _, d := range found {
		delete(r.outdone, d)
	}
	r.mu.Unlock()
	for _, d := range found {
		r.found(d)
	}
	for _, d := range letGo {
		r.o.Log.Info("held request let go: another was at all its crashes and at more", "digest", d.String())
	}
}

// each calls do a moment after it was woken, and at each tick.
func (r *Registry) each(ctx context.Context, wake <-chan struct{}, do func()) {
	for ctx.Err() == nil {
		r.await(ctx, wake)
		if r.o.Clock.Sleep(ctx, gather) != nil {
			return
		}
		do()
	}
}

// await waits to be woken, or for the next tick.
func (r *Registry) await(ctx context.Context, wake <-chan struct{}) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.o.Clock.Sleep(bounded, tick) // its end is all that counts
	}()
	select {
	case <-wake:
	case <-done:
	}
}

// tell tells all hosts what is new.
func (r *Registry) tell() {
	r.mu.Lock()
	n := r.pending
	n.Answered, r.cleared = r.cleared, nil
	r.pending = Notice{}
	r.mu.Unlock()
	if n.empty() {
		return
	}
	if len(n.Answered) > 0 {
		r.o.Log.Info("suspected requests answered", "requests", len(n.Answered))
	}
	r.o.Publish(n)
}
