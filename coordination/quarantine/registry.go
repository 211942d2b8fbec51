package quarantine

import (
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
	// reviewInterval is how often the registry reviews its holds and the store's entries. It is
	// also the pause before a failed write is retried: hosts that could not reach the store have a
	// few seconds to write what they know.
	reviewInterval = time.Second
	// takeoverDelay is how old a hold is when a host that follows the store writes its entry in
	// place of a host that saw a crash, which may be gone.
	takeoverDelay = 3 * time.Second
	// batchDelay is how long crashes are collected for one notice: if a failure domain is lost,
	// each host sends one notice instead of one per runner.
	batchDelay = 20 * time.Millisecond
	// clearanceTTL is how long an entry whose writer didn't know of an answer may be in flight: the
	// write, and the copy of it to this host.
	clearanceTTL = 10 * time.Second
	// maxSuspectsPerNotice bounds the requests and parts that a host reports for one crash; those that had
	// just begun come first. A full engine runs about a hundred requests, counted over all hosts.
	maxSuspectsPerNotice = 256
)

// Notice is a message from a host to all hosts.
type Notice struct {
	Crashes []Crash
	// Held are held requests, for hosts that missed a crash.
	Held []HeldRequest
	// Answered are requests that were suspected or held and have been answered.
	Answered []Digest
	// Trials are held parts of which a trial has begun.
	Trials []Digest
}

func (n Notice) isEmpty() bool {
	return len(n.Crashes)+len(n.Held)+len(n.Answered)+len(n.Trials) == 0
}

// HeldRequest is a held request and the crashes counted against it.
type HeldRequest struct {
	Digest   Digest
	Evidence []Evidence
}

// Options configure a Registry. All fields are required.
type Options struct {
	// Host is this host's name, as it appears in crashes and evidence.
	Host  string
	Table *Table
	Store store.Store
	// FollowsStore reports whether this host is one of those that follow the store. They maintain
	// the entries.
	FollowsStore func() bool
	// Publish sends a notice to all hosts, including this one, whose Receive it reaches. It doesn't
	// block.
	Publish func(Notice)
	Clock   state.Clock
	Log     *slog.Logger
}

// Registry exchanges crashes and holds with the other hosts, and keeps the holds in the store. It
// is safe for concurrent use.
type Registry struct {
	o Options
	// wakePublish wakes the loop that publishes notices, and wakeReview the loop that reviews the
	// holds and writes to the store.
	wakePublish, wakeReview chan struct{}

	mu            sync.Mutex
	pendingNotice Notice
	// pendingAnswered are suspected requests that were answered here. They are published with the
	// next notice or at the next reviewInterval, without a notice of their own: most requests that
	// ran at a crash are answered.
	pendingAnswered []Digest
	// entries are those of the store as of revision, and what this host has written since.
	// unreadable has the versions of the undecodable objects that were logged, by name.
	entries    map[Digest]storedEntry
	revision   uint64
	unreadable map[string]uint64
	// bystanders are requests that were released because another held request ran at all their
	// crashes and at others. Their entries are to be marked so; the crashes counted against them
	// are kept.
	bystanders map[Digest]clearance
	// answered are suspected requests that were answered recently, at any host, or released while
	// this host was writing their entry. Their entries are to be removed, also one that is written
	// later by a host that doesn't know of the answer yet.
	answered map[Digest]clearance
	// removed has the times at which entries were removed recently.
	removed map[Digest]time.Time
	// writing are the requests whose new entry this host is writing to the store.
	writing map[Digest]bool
}

// clearance records that a request was answered or released, and when.
type clearance struct {
	at time.Time
	// local clearances come from this host, which removes the entry at once. The hosts that follow
	// the store do so for another host, which may be gone.
	local bool
}

// New returns a Registry, or an error if an option is missing.
func New(o Options) (*Registry, error) {
	if o.Host == "" || o.Table == nil || o.Store == nil || o.FollowsStore == nil || o.Publish == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("quarantine: a field of Options is missing; set all of them")
	}
	return &Registry{o: o, wakePublish: make(chan struct{}, 1), wakeReview: make(chan struct{}, 1), entries: map[Digest]storedEntry{}, unreadable: map[string]uint64{}, answered: map[Digest]clearance{}, bystanders: map[Digest]clearance{}, removed: map[Digest]time.Time{}, writing: map[Digest]bool{}}, nil
}

// Held returns the hold of a request, or nil if it isn't held.
func (r *Registry) Held(d Digest) *Hold { return r.o.Table.Held(d) }

// Suspected reports whether crashes are counted against a request, or whether it is held.
func (r *Registry) Suspected(d Digest) bool { return r.o.Table.Suspected(d) }

// Size returns the number of held requests.
func (r *Registry) Size() int { return len(r.o.Table.Holds()) }

// ReportAnswered notes that a copy of the request was answered completely. If the request was
// suspected or held, that is published to all hosts.
func (r *Registry) ReportAnswered(d Digest) {
	suspected, held := r.o.Table.ReportAnswered(d)
	if !suspected {
		return
	}
	r.mu.Lock()
	_, stored := r.entries[d]
	// Each host answers requests with the common parts itself. A host that doesn't, and holds one, is told when it
	// reports that.
	if !d.Shared() || held || stored {
		r.pendingAnswered = append(r.pendingAnswered, d)
	}
	r.answered[d] = clearance{at: r.o.Clock.Now(), local: true}
	r.mu.Unlock()
	if held || stored {
		r.o.Log.Info("held request answered", "digest", d.String())
		r.wakeLoops()
	}
}

// ReportCrash counts a crash of a run against the requests that this host had there, and publishes
// it. This host counts the crash before the notice is sent: an answer in between clears it, and is
// published with or after it.
func (r *Registry) ReportCrash(run state.InstanceID, at time.Time, suspects []Suspect) {
	suspects = withParts(suspects)
	for i := range suspects {
		suspects[i].AnsweredBefore = r.o.Table.AnsweredRecently(suspects[i].Digest)
	}
	c := Crash{Run: run, Host: r.o.Host, At: at, Suspects: suspects[:min(len(suspects), maxSuspectsPerNotice)]}
	r.mu.Lock()
	r.pendingNotice.Crashes = append(r.pendingNotice.Crashes, c)
	r.mu.Unlock()
	r.countCrash(c)
	r.wakeLoops()
}

// countCrash counts a crash against its suspects. An answer clears all copies that were sent before
// it, also if their crash is reported later. A copy that was sent after the answer counts again.
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

// wakeLoops triggers the loops that publish notices and that review the holds.
func (r *Registry) wakeLoops() {
	for _, wake := range []chan struct{}{r.wakePublish, r.wakeReview} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Receive applies a notice of any host, including this one. It doesn't block.
func (r *Registry) Receive(n Notice) {
	for _, c := range n.Crashes {
		r.countCrash(c)
	}
	for _, h := range n.Held {
		if r.o.Table.HoldFromPeer(h.Digest, h.Evidence) {
			r.logHold(h.Digest, "another host")
		}
		r.mu.Lock()
		r.contradict(h.Digest, h.Evidence)
		r.mu.Unlock()
	}
	for _, d := range n.Trials {
		r.o.Table.noteTrial(d)
	}
	for _, d := range n.Answered {
		r.receiveAnswered(d)
	}
}

// contradict tells the other hosts that a part which one of them holds was answered after one of its crashes, and has its
// entry removed. r.mu must be held.
func (r *Registry) contradict(d Digest, evidence []Evidence) bool {
	if !r.o.Table.Contradicts(d, evidence) {
		return false
	}
	r.answered[d] = clearance{at: r.o.Clock.Now(), local: true}
	if !slices.Contains(r.pendingAnswered, d) {
		r.pendingAnswered = append(r.pendingAnswered, d)
	}
	r.wakeLoops()
	return true
}

// receiveAnswered clears a request that a host reports as answered.
func (r *Registry) receiveAnswered(d Digest) {
	r.o.Table.Clear(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, cleared := r.answered[d]; !cleared {
		r.answered[d] = clearance{at: r.o.Clock.Now()}
	}
}

// reportHold logs a new hold. It also publishes the hold if this host saw one of the crashes
// itself; a host that saw none leaves that to those that did.
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

// logHold logs why a request is held. Refusals of the request are explained by this line.
func (r *Registry) logHold(d Digest, source string) {
	if hold := r.o.Table.Held(d); hold != nil {
		r.o.Log.Warn("request held: it crashes runners", "digest", d.String(), "by", source, "crashes", len(hold.Evidence), "evidence", describeEvidence(hold.Evidence))
	}
}

// describeEvidence formats crashes for the log.
func describeEvidence(evidence []Evidence) []string {
	out := make([]string, 0, len(evidence))
	for _, e := range evidence {
		out = append(out, e.run().String()+" under "+e.RequestID+" of "+e.Host+" at "+e.At.UTC().Format(time.RFC3339Nano))
	}
	return out
}

// Run publishes notices, reviews the holds and maintains the store's entries until ctx ends.
// Notices have a loop of their own, as the store may hang.
func (r *Registry) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { r.loop(ctx, r.wakePublish, r.publishPending) })
	loops.Go(func() {
		r.loop(ctx, r.wakeReview, func() {
			r.reviewHolds()
			r.rewriteEntries(ctx)
			r.writeHolds(ctx)
			r.expireEntries(ctx)
			r.reconcile()
		})
	})
	loops.Wait()
}

// reviewHolds releases bystanders, and holds the requests whose crashes they explained. Each host
// does so by itself; the hosts that follow the store also mark the entries.
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
		r.o.Log.Info("held request released: another held request ran at all its crashes and at others", "digest", d.String())
	}
}

// loop calls do after each wake-up or reviewInterval, delayed by batchDelay, until ctx ends.
func (r *Registry) loop(ctx context.Context, wake <-chan struct{}, do func()) {
	for ctx.Err() == nil {
		r.waitForWake(ctx, wake)
		if r.o.Clock.Sleep(ctx, batchDelay) != nil {
			return
		}
		do()
	}
}

// waitForWake returns when wake is signaled, when reviewInterval has passed or when ctx ends.
func (r *Registry) waitForWake(ctx context.Context, wake <-chan struct{}) {
	sleepCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.o.Clock.Sleep(sleepCtx, reviewInterval) // an interrupted sleep ends the wait as well
	}()
	select {
	case <-wake:
	case <-done:
	}
}

// publishPending publishes the crashes, holds and answers that were not published yet.
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
