package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/buffers/buffertest"
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/origin"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/quota"
	"github.com/thymerack/thymerack/state"
)

// reply is how the fake upstream responds to one attempt.
type reply struct {
	err      error
	status   int
	notRun   bool
	unsigned bool
	events   bool
	body     string
	readErr  error
	// endsRead has the last read of the body return its bytes together with readErr.
	endsRead bool
	// hang blocks until the context ends.
	hang bool
	// stall is a pause between the body and its end; aborting the response ends it. rest is the part of
	// the body that follows it.
	stall time.Duration
	rest  string
	// delay is the time until the head of the response.
	delay time.Duration
	// linkLost says that the link over which the response arrives is lost.
	linkLost bool
}

// fakeUpstream responds to attempts with its replies in order, and records the attempts.
type fakeUpstream struct {
	t *testing.T
	// mu guards the fields that attempts change, which may overlap.
	mu       sync.Mutex
	replies  []reply
	attempts []Attempt
	// aborts counts the responses that were aborted; abortedAt has the times.
	aborts    int
	abortedAt []time.Time
	// onConnect and onSend, if set, are called at each attempt before and after Permit.
	onSend    func()
	onConnect func(a *Attempt)
	// discarded receives the handles of KV caches that are freed.
	discarded chan string
	// probed are the engines that were probed; those in unresponsive don't answer probes.
	probed       []state.InstanceID
	unresponsive map[state.InstanceID]bool
	// ended are the engines that are known to have ended.
	ended []state.InstanceID
	// ending is how many probes can't tell yet.
	ending int
	// moveRequests are the engines that were asked to move a run; they answer moveHandle and
	// moveErr.
	moveRequests []state.InstanceID
	moveHandle   string
	moveErr      error
}

func (u *fakeUpstream) Send(ctx context.Context, a *Attempt) (Response, error) {
	if u.onConnect != nil {
		u.onConnect(a)
	}
	if err := a.Permit(); err != nil {
		return nil, &SendError{Withheld: true, Cause: err}
	}
	r := u.next(a)
	if r.hang {
		<-ctx.Done()
		return nil, &SendError{Sent: true, Cause: ctx.Err()}
	}
	if r.err != nil {
		return nil, r.err
	}
	select {
	case <-ctx.Done():
		return nil, &SendError{Sent: true, Cause: ctx.Err()}
	case <-time.After(r.delay):
	}
	return &fakeResponse{u: u, r: r, aborted: make(chan struct{}), head: &Head{Status: r.status, Signed: !r.unsigned, NotRun: r.notRun, EventStream: r.events}}, nil
}

func (u *fakeUpstream) setOnSend(onSend func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onSend = onSend
}

// next records an attempt and returns its reply.
func (u *fakeUpstream) next(a *Attempt) reply {
	u.mu.Lock()
	u.attempts = append(u.attempts, *a)
	onSend := u.onSend
	u.mu.Unlock()
	if onSend != nil {
		onSend()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.replies) == 0 {
		u.t.Fatalf("unexpected attempt %d", len(u.attempts))
	}
	r := u.replies[0]
	u.replies = u.replies[1:]
	return r
}

func (u *fakeUpstream) PrefillHandle(body []byte) (string, error) {
	if len(body) == 0 {
		return "", errors.New("no handle")
	}
	return string(body), nil
}

func (u *fakeUpstream) setUnresponsive(id state.InstanceID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unresponsive == nil {
		u.unresponsive = map[state.InstanceID]bool{}
	}
	u.unresponsive[id] = true
}

// silence has an engine answer no probes for a time.
func (u *fakeUpstream) silence(id state.InstanceID, d time.Duration) {
	u.setUnresponsive(id)
	time.AfterFunc(d, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.unresponsive, id)
	})
}

func (u *fakeUpstream) isUnresponsive(id state.InstanceID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.unresponsive[id]
}

// Move implements Upstream.
func (u *fakeUpstream) Move(ctx context.Context, from *state.Instance, _ string, _ *state.Instance) (string, error) {
	u.mu.Lock()
	u.moveRequests = append(u.moveRequests, from.ID)
	handle, err := u.moveHandle, u.moveErr
	u.mu.Unlock()
	if u.isUnresponsive(from.ID) {
		<-ctx.Done()
		return "", &SendError{Sent: true, Cause: ctx.Err()}
	}
	return handle, err
}

// setMove sets the answer to requests to move a run.
func (u *fakeUpstream) setMove(handle string, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.moveHandle, u.moveErr = handle, err
}

// Alive implements Upstream.
func (u *fakeUpstream) Alive(ctx context.Context, i *state.Instance) bool {
	u.mu.Lock()
	u.probed = append(u.probed, i.ID)
	u.mu.Unlock()
	if u.isUnresponsive(i.ID) {
		<-ctx.Done()
		return false
	}
	return true
}

// Status implements Upstream.
func (u *fakeUpstream) Status(_ context.Context, i *state.Instance) crash.RunStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ending > 0 {
		u.ending--
		return crash.Silent
	}
	if slices.Contains(u.ended, i.ID) {
		return crash.Ended
	}
	return crash.Alive
}

func (u *fakeUpstream) Discard(source *KVSource) error {
	u.discarded <- source.Handle
	return errors.New("the engine is gone")
}

type fakeResponse struct {
	u       *fakeUpstream
	r       reply
	head    *Head
	aborted chan struct{}
	once    sync.Once
}

func (f *fakeResponse) Head() *Head { return f.head }

func (f *fakeResponse) Read(p []byte) (int, error) {
	if f.r.body == "" {
		if f.r.stall > 0 {
			select {
			case <-f.aborted:
				return 0, errSent
			case <-time.After(f.r.stall):
			}
		}
		if f.r.rest != "" {
			f.r.body, f.r.rest, f.r.stall = f.r.rest, "", 0
			return f.Read(p)
		}
		if f.r.readErr != nil {
			return 0, f.r.readErr
		}
		return 0, io.EOF
	}
	n := copy(p, f.r.body)
	f.r.body = f.r.body[n:]
	if f.r.endsRead && f.r.body == "" {
		return n, f.r.readErr
	}
	return n, nil
}

func (f *fakeResponse) Finish()        {}
func (f *fakeResponse) LinkLost() bool { return f.r.linkLost }

func (f *fakeResponse) Abort() {
	f.once.Do(func() {
		f.u.mu.Lock()
		defer f.u.mu.Unlock()
		f.u.aborts++
		f.u.abortedAt = append(f.u.abortedAt, time.Now())
		close(f.aborted)
	})
}

// fakeOrigins knows the streams that it was told of. The version of others is unknown if the listed runners have several.
type fakeOrigins struct {
	fleet *placement.Fleet
	began map[string]origin.Record
}

// Begin implements Origins.
func (o *fakeOrigins) Begin(r origin.Record) *origin.Writing {
	if o.began == nil {
		o.began = map[string]origin.Record{}
	}
	o.began[r.ID] = r
	return nil
}

// Version implements Origins.
func (o *fakeOrigins) Version(_ context.Context, q origin.Query) (string, error) {
	if r, found := o.began[q.ID]; found {
		return r.Version, nil
	}
	versions := slices.Collect(maps.Keys(o.fleet.Versions()))
	switch len(versions) {
	case 0:
		return "", nil
	case 1:
		return versions[0].Version, nil
	default:
		return "", &origin.UnknownError{Query: q}
	}
}

// AwaitNoted implements Origins.
func (o *fakeOrigins) AwaitNoted(context.Context, string) bool { return false }

// noQuotas admits every request.
type noQuotas struct{}

func (noQuotas) Acquire(context.Context, *state.Customer, uint64, float64) (*quota.Grant, error) {
	return nil, nil
}

// countingBudget allows the given number of retries.
type countingBudget struct{ left int }

func (b *countingBudget) CountRequest(string) {}

func (b *countingBudget) AllowMove(service string) bool { return b.Allow(service) }

func (b *countingBudget) Allow(string) bool {
	b.left--
	return b.left >= 0
}

var (
	errUnsent = &SendError{Cause: errors.New("refused")}
	errSent   = &SendError{Sent: true, Cause: errors.New("reset")}
)

const (
	// plenty is a number of retries that no test uses up.
	plenty      = 100
	engineSlots = 16
)

type noObserver struct{}

func (noObserver) PrefillOrdered(*Request, contention.Outcome) {}

func (noObserver) Admitted(Phase, ReservationKind) {}

func (noObserver) PrefillPlaced(string, CrossDomainReason, bool) {}

func (noObserver) PrefillDone(string, time.Duration, time.Duration) {}

// scriptedGate refuses admission with the forecasts in refusal, in order, and then asks the
// host's own book. If given is set it replaces the book's forecast.
type scriptedGate struct {
	*occupancy.Gate
	book    *occupancy.Tracker
	refusal []backlog.Forecast
	given   *backlog.Forecast
	asks    []occupancy.Request
	// onEnter is called with each ask before it is answered.
	onEnter func(a occupancy.Request)
}

func newScriptedGate(t *testing.T) *scriptedGate {
	t.Helper()
	book := occupancy.NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
	gate, err := occupancy.NewGate(occupancy.GateOptions{
		Tracker: book, Peers: noPeers{}, Self: "self", Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
		Hosts: func() []state.Peer { return []state.Peer{{Addr: "self"}} },
	})
	if err != nil {
		t.Fatal(err)
	}
	return &scriptedGate{Gate: gate, book: book}
}

func (g *scriptedGate) Enter(ctx context.Context, a occupancy.Request) occupancy.Result {
	g.asks = append(g.asks, a)
	if g.onEnter != nil {
		g.onEnter(a)
	}
	if len(g.refusal) > 0 {
		f := g.refusal[0]
		g.refusal = g.refusal[1:]
		return occupancy.Result{Response: occupancy.Response{Forecast: f}}
	}
	v := g.Gate.Enter(ctx, a)
	if g.given != nil {
		v.Forecast = *g.given
	}
	return v
}

// noPeers are the peers of a single host.
type noPeers struct{ occupancy.Peers }

// fakeOutliers records the runners that were reported as silent.
type fakeOutliers struct {
	mu     sync.Mutex
	silent []state.InstanceID
}

// ReportSilent implements Outliers.
func (s *fakeOutliers) ReportSilent(id state.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = append(s.silent, id)
}

func (noObserver) BodyEnded(string, BodyEnd)            {}
func (noObserver) RequestHeld(string)                   {}
func (noObserver) LongAnswer(string, LongAnswerOutcome) {}
func (noObserver) StreamEnded(string, StreamEnd)        {}
func (noObserver) SilentRun(string, SilentRunOutcome)   {}
func (noObserver) SentToUnconfirmed(string)             {}
func (noObserver) RequestStarted(string, time.Time)     {}

// fakeQuarantine holds every request after holdAfter lookups; it holds none if holdAfter is 0.
type fakeQuarantine struct {
	holdAfter, lookups int
	suspected          bool
	mu                 sync.Mutex
	answered           []quarantine.Digest
}

// Suspected implements Quarantine.
func (q *fakeQuarantine) Suspected(quarantine.Digest) bool { return q.suspected }

func (q *fakeQuarantine) Admit(digests []quarantine.Digest, _ *quarantine.Trial) (*quarantine.Trial, error) {
	q.lookups++
	if q.holdAfter == 0 || q.lookups <= q.holdAfter {
		return nil, nil
	}
	return nil, &quarantine.HeldError{Digest: digests[0], Crashes: 2}
}

// digestsOf returns the digests of a request and of the shared parts of its prompt.
func digestsOf(r *Request) []quarantine.Digest {
	return append([]quarantine.Digest{quarantine.DigestOf(r.content())}, r.sharedParts()...)
}

func (q *fakeQuarantine) CheckHeld(digests []quarantine.Digest) error {
	_, err := q.Admit(digests, nil)
	return err
}

func (q *fakeQuarantine) ReportAnswered(d quarantine.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered = append(q.answered, d)
}

// fakeCrashes records the requests that broke off.
type fakeCrashes struct {
	mu       sync.Mutex
	suspects []quarantine.Suspect
}

// ReportBroken implements Crashes.
func (b *fakeCrashes) ReportBroken(_ *state.Instance, w quarantine.Suspect) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects = append(b.suspects, w)
}

// world is a dispatcher with fake dependencies, five runners of a plain service, five prefill
// engines and five decode engines.
type world struct {
	*Dispatcher
	up         *fakeUpstream
	fleet      *placement.Fleet
	gate       *scriptedGate
	outliers   *fakeOutliers
	crashes    *fakeCrashes
	quarantine *fakeQuarantine
	origins    *fakeOrigins
	advice     *backpressure.Registry
	links      *fakeLinks
}

// fakeLinks are links that are lost until a time.
type fakeLinks struct {
	lostUntil map[state.InstanceID]time.Time
}

func (l *fakeLinks) lose(id state.InstanceID, d time.Duration) { l.lostUntil[id] = time.Now().Add(d) }

// NextAttempt implements placement.Links.
func (l *fakeLinks) NextAttempt(id state.InstanceID) time.Time { return l.lostUntil[id] }

func newWorld(t *testing.T, budget int, replies ...reply) *world {
	t.Helper()
	return newWorldAt(t, clocktest.Bubble{}, budget, replies...)
}

// newWorldAt is newWorld with the given clock.
func newWorldAt(t *testing.T, clock state.Clock, budget int, replies ...reply) *world {
	t.Helper()
	up := &fakeUpstream{t: t, replies: replies, discarded: make(chan string, 4)}
	advice := newAdvice(t, clock, func(backpressure.Notice) {}, func(state.InstanceID) {})
	links := &fakeLinks{map[state.InstanceID]time.Time{}}
	fleet := placement.NewFleet(placement.Options{Clock: clocktest.Bubble{}, FailureDomain: "d1", Advice: advice, Links: links})
	var list []state.Instance
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		list = append(list,
			state.Instance{ID: state.InstanceID{Name: "s" + id}, Service: "plain", Addr: "s" + id + ":1", FailureDomain: "d1"},
			state.Instance{ID: state.InstanceID{Name: "p" + id}, Service: "model", Addr: "p" + id + ":1", FailureDomain: "d1", Role: state.RolePrefill},
			state.Instance{ID: state.InstanceID{Name: "d" + id}, Service: "model", Addr: "d" + id + ":1", FailureDomain: "d1", Role: state.RoleDecode, Slots: engineSlots})
	}
	fleet.Update(list)
	gate := newScriptedGate(t)
	outliers, crashes, holds, origins := &fakeOutliers{}, &fakeCrashes{}, &fakeQuarantine{}, &fakeOrigins{fleet: fleet}
	d, err := New(Options{
		Upstream: up, Placer: fleet, Gate: gate, Budget: &countingBudget{budget}, Observer: noObserver{}, Outliers: outliers, Crashes: crashes, Quarantine: holds, Quotas: noQuotas{}, Origins: origins, Advice: advice, Buffers: buffertest.New(t), Clock: clock,
		Log: slog.New(slog.DiscardHandler), SplitTokens: 600,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &world{d, up, fleet, gate, outliers, crashes, holds, origins, advice, links}
}

func newAdvice(t *testing.T, clock state.Clock, tell func(backpressure.Notice), left func(state.InstanceID)) *backpressure.Registry {
	t.Helper()
	advice, err := backpressure.New(backpressure.Options{Clock: clock, Log: slog.New(slog.DiscardHandler), Observer: noObserver{}, Broadcast: tell, OnLeaving: left})
	if err != nil {
		t.Fatal(err)
	}
	return advice
}

// prefillAsks counts the asks for admission of a prefill.
func (w *world) prefillAsks() int {
	n := 0
	for _, a := range w.gate.asks {
		if a.Prefill != nil {
			n++
		}
	}
	return n
}

// newMixedWorld is newWorld with five mixed engines instead, which prefill and decode.
func newMixedWorld(t *testing.T, budget int, replies ...reply) *world {
	t.Helper()
	w := newWorld(t, budget, replies...)
	var list []state.Instance
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		list = append(list, state.Instance{ID: state.InstanceID{Name: "m" + id}, Service: "model", Addr: "m" + id + ":1", FailureDomain: "d1", Role: state.RoleMixed, Slots: engineSlots})
	}
	w.fleet.Update(list)
	return w
}

func request(kind state.RouteKind, attempts int, resumable bool) *Request {
	now := time.Now()
	return &Request{
		ID: "r1", Service: "plain", ArrivedAt: now, Deadline: now.Add(2 * time.Second),
		Route: &state.Route{Name: "r", Kind: kind, MaxAttempts: attempts, Resumable: resumable, Timeout: 2 * time.Second, Objective: 500 * time.Millisecond},
	}
}

func modelRequest(tokens int, resumable bool) *Request {
	r := request(state.RouteStream, 2, resumable)
	r.Service = "model"
	r.Generation = &Generation{Model: "m", PromptTokens: tokens, Parts: []PromptPart{{"a", 100}, {"b", 300}, {"c", tokens - 400}}}
	return r
}

// readAll reads a stream to its end and closes it.
func readAll(s *Stream) (string, error) {
	var out strings.Builder
	for {
		events, err := s.Next()
		if err == io.EOF {
			s.Close(nil)
			return out.String(), nil
		}
		if err != nil {
			s.Close(err)
			return out.String(), err
		}
		out.Write(events)
	}
}
