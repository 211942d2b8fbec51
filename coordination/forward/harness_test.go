package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// reply is what the fake upstream does with one sending.
type reply struct {
	err     error
	status  int
	notRun  bool
	unseal  bool
	events  bool
	body    string
	readErr error
	// hang waits for the end of the context.
	hang bool
	// stall sends nothing more after the body for so long, or until it is cut.
	stall time.Duration
	// after is how long the response takes.
	after time.Duration
}

// fakeUpstream answers sendings in order and notes them.
type fakeUpstream struct {
	t        *testing.T
	replies  []reply
	attempts []Attempt
	cuts     int
	// noted, if set, is called at each sending, connected before the request leaves.
	noted     func()
	connected func(a *Attempt)
	// discarded gets the handles that are freed.
	discarded chan string
	// asked are the engines that were asked whether they are there; those that are dark
	// don't answer.
	mu    sync.Mutex
	asked []state.InstanceID
	dark  map[state.InstanceID]bool
	// moved are the engines that were asked to stop a run; they answer moveHandle and
	// moveErr.
	moved      []state.InstanceID
	moveHandle string
	moveErr    error
}

func (u *fakeUpstream) Send(ctx context.Context, a *Attempt) (Response, error) {
	if u.connected != nil {
		u.connected(a)
	}
	if err := a.Permit(); err != nil {
		return nil, &SendError{Withheld: true, Cause: err}
	}
	u.attempts = append(u.attempts, *a)
	if u.noted != nil {
		u.noted()
	}
	if len(u.replies) == 0 {
		u.t.Fatalf("sending %d was not expected", len(u.attempts))
	}
	r := u.replies[0]
	u.replies = u.replies[1:]
	if r.hang {
		<-ctx.Done()
		return nil, &SendError{Sent: true, Cause: ctx.Err()}
	}
	if r.err != nil {
		return nil, r.err
	}
	time.Sleep(r.after)
	return &fakeResponse{u: u, r: r, cut: make(chan struct{}), head: &Head{Status: r.status, Sealed: !r.unseal, NotRun: r.notRun, Events: r.events}}, nil
}

func (u *fakeUpstream) PrefillHandle(body []byte) (string, error) {
	if len(body) == 0 {
		return "", errors.New("no handle")
	}
	return string(body), nil
}

func (u *fakeUpstream) setDark(id state.InstanceID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dark == nil {
		u.dark = map[state.InstanceID]bool{}
	}
	u.dark[id] = true
}

func (u *fakeUpstream) isDark(id state.InstanceID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dark[id]
}

// Move implements Upstream.
func (u *fakeUpstream) Move(ctx context.Context, from *state.Instance, _ string, _ *state.Instance) (string, error) {
	u.moved = append(u.moved, from.ID)
	if u.isDark(from.ID) {
		<-ctx.Done()
		return "", &SendError{Sent: true, Cause: ctx.Err()}
	}
	return u.moveHandle, u.moveErr
}

// Alive implements Upstream.
func (u *fakeUpstream) Alive(ctx context.Context, i *state.Instance) bool {
	u.mu.Lock()
	u.asked = append(u.asked, i.ID)
	u.mu.Unlock()
	if u.isDark(i.ID) {
		<-ctx.Done()
		return false
	}
	return true
}

func (u *fakeUpstream) Discard(source *KVSource) error {
	u.discarded <- source.Handle
	return errors.New("the engine is gone")
}

type fakeResponse struct {
	u    *fakeUpstream
	r    reply
	head *Head
	cut  chan struct{}
	once sync.Once
}

func (f *fakeResponse) Head() *Head { return f.head }

func (f *fakeResponse) Read(p []byte) (int, error) {
	if f.r.body == "" {
		if f.r.stall > 0 {
			select {
			case <-f.cut:
				return 0, errSent
			case <-time.After(f.r.stall):
			}
		}
		if f.r.readErr != nil {
			return 0, f.r.readErr
		}
		return 0, io.EOF
	}
	n := copy(p, f.r.body)
	f.r.body = f.r.body[n:]
	return n, nil
}

func (f *fakeResponse) Finish() {}
func (f *fakeResponse) Cut() {
	f.once.Do(func() {
		f.u.cuts++
		close(f.cut)
	})
}

// countingBudget allows a number of repeats.
type countingBudget struct{ left int }

func (b *countingBudget) Seen(string) {}

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
	plenty      = 100
	engineSlots = 16
)

type noObserver struct{}

func (noObserver) Turn(Work, Turn) {}

func (noObserver) Read(string, time.Duration, time.Duration) {}

// scriptedGate refuses places with the forecasts in order, and then asks the host's own
// book. A forecast that is given is used in place of the book's.
type scriptedGate struct {
	*occupancy.Gate
	book    *occupancy.Book
	refusal []backlog.Forecast
	given   *backlog.Forecast
	asks    []occupancy.Ask
	// asked is called with each ask, before the answer.
	asked func(a occupancy.Ask)
}

func newScriptedGate(t *testing.T) *scriptedGate {
	t.Helper()
	book := occupancy.NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
	gate, err := occupancy.NewGate(occupancy.GateOptions{
		Book: book, Peers: noPeers{}, Self: "self", Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
		Hosts: func() []state.Peer { return []state.Peer{{Addr: "self"}} },
	})
	if err != nil {
		t.Fatal(err)
	}
	return &scriptedGate{Gate: gate, book: book}
}

func (g *scriptedGate) Enter(ctx context.Context, a occupancy.Ask) occupancy.Verdict {
	g.asks = append(g.asks, a)
	if g.asked != nil {
		g.asked(a)
	}
	if len(g.refusal) > 0 {
		f := g.refusal[0]
		g.refusal = g.refusal[1:]
		return occupancy.Verdict{Answer: occupancy.Answer{Forecast: f}}
	}
	v := g.Gate.Enter(ctx, a)
	if g.given != nil {
		v.Forecast = *g.given
	}
	return v
}

// noPeers are the peers of a host that is alone.
type noPeers struct{ occupancy.Peers }

// silentRunners notes the runners that are told to be silent.
type silentRunners struct {
	mu  sync.Mutex
	ids []state.InstanceID
}

// Silent implements Outliers.
func (s *silentRunners) Silent(id state.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids = append(s.ids, id)
}

func (noObserver) Held(string)             {}
func (noObserver) Began(string, time.Time) {}

// quarantineOf holds every request after it was asked for one so often; 0 for never.
type quarantineOf struct {
	after, asked int
	answered     []quarantine.Digest
}

func (q *quarantineOf) Held(quarantine.Digest) *quarantine.Hold {
	q.asked++
	if q.after == 0 || q.asked <= q.after {
		return nil
	}
	return &quarantine.Hold{Evidence: make([]quarantine.Evidence, 2)}
}

func (q *quarantineOf) ReportAnswered(d quarantine.Digest) { q.answered = append(q.answered, d) }

// brokenWork notes the work that broke off.
type brokenWork struct {
	mu   sync.Mutex
	work []quarantine.Suspect
}

// Broke implements Crashes.
func (b *brokenWork) Broke(_ *state.Instance, w quarantine.Suspect) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = append(b.work, w)
}

// world is a dispatcher with its fakes and five runners of each kind.
type world struct {
	*Dispatcher
	up    *fakeUpstream
	fleet *placement.Fleet
	gate  *scriptedGate
	// silent are the runners that were told to be.
	silent *silentRunners
	broken *brokenWork
	held   *quarantineOf
	advice *backpressure.Registry
}

func newWorld(t *testing.T, budget int, replies ...reply) *world {
	t.Helper()
	return newWorldAt(t, clocktest.Bubble{}, budget, replies...)
}

// newWorldAt has a clock of its own.
func newWorldAt(t *testing.T, clock state.Clock, budget int, replies ...reply) *world {
	t.Helper()
	up := &fakeUpstream{t: t, replies: replies, discarded: make(chan string, 4)}
	advice := newAdvice(t, clock, func(backpressure.Notice) {}, func() {})
	fleet := placement.NewFleet(placement.Options{Clock: clocktest.Bubble{}, FailureDomain: "d1", Advice: advice})
	var list []state.Instance
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		list = append(list,
			state.Instance{ID: state.InstanceID{Name: "s" + id}, Service: "plain", Addr: "s" + id + ":1", FailureDomain: "d1"},
			state.Instance{ID: state.InstanceID{Name: "p" + id}, Service: "model", Addr: "p" + id + ":1", FailureDomain: "d1", Role: state.RolePrefill},
			state.Instance{ID: state.InstanceID{Name: "d" + id}, Service: "model", Addr: "d" + id + ":1", FailureDomain: "d1", Role: state.RoleDecode, Slots: engineSlots})
	}
	fleet.Update(list)
	gate := newScriptedGate(t)
	silent, broken, held := &silentRunners{}, &brokenWork{}, &quarantineOf{}
	d, err := New(Options{
		Upstream: up, Placer: fleet, Gate: gate, Budget: &countingBudget{budget}, Observer: noObserver{}, Outliers: silent, Crashes: broken, Quarantine: held, Advice: advice, Clock: clock,
		Log: slog.New(slog.DiscardHandler), SplitTokens: 600,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &world{d, up, fleet, gate, silent, broken, held, advice}
}

func newAdvice(t *testing.T, clock state.Clock, tell func(backpressure.Notice), left func()) *backpressure.Registry {
	t.Helper()
	advice, err := backpressure.New(backpressure.Options{Clock: clock, Log: slog.New(slog.DiscardHandler), Observer: noObserver{}, Tell: tell, Left: left})
	if err != nil {
		t.Fatal(err)
	}
	return advice
}

// readingAsks counts the questions for a place to read.
func (w *world) readingAsks() int {
	n := 0
	for _, a := range w.gate.asks {
		if a.Reading != nil {
			n++
		}
	}
	return n
}

// newMixedWorld is newWorld with engines that read and generate.
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

// readAll reads a stream to its end.
func readAll(s *Stream) (string, error) {
	out := ""
	for {
		events, err := s.Next()
		if err == io.EOF {
			s.Close(nil)
			return out, nil
		}
		if err != nil {
			s.Close(err)
			return out, err
		}
		out += string(events)
	}
}
