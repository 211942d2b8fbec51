package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
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
	// after is how long the response takes.
	after time.Duration
}

// fakeUpstream answers sendings in order and notes them.
type fakeUpstream struct {
	t        *testing.T
	replies  []reply
	attempts []Attempt
	cuts     int
	// discarded gets the handles that are freed.
	discarded chan string
}

func (u *fakeUpstream) Send(ctx context.Context, a *Attempt) (Response, error) {
	u.attempts = append(u.attempts, *a)
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
	return &fakeResponse{u: u, r: r, head: &Head{Status: r.status, Sealed: !r.unseal, NotRun: r.notRun, Events: r.events}}, nil
}

func (u *fakeUpstream) PrefillHandle(body []byte) (string, error) {
	if len(body) == 0 {
		return "", errors.New("no handle")
	}
	return string(body), nil
}

func (u *fakeUpstream) Discard(source *KVSource) error {
	u.discarded <- source.Handle
	return errors.New("the engine is gone")
}

type fakeResponse struct {
	u    *fakeUpstream
	r    reply
	head *Head
}

func (f *fakeResponse) Head() *Head { return f.head }

func (f *fakeResponse) Read(p []byte) (int, error) {
	if f.r.body == "" {
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
func (f *fakeResponse) Cut()    { f.u.cuts++ }

// countingBudget allows a number of repeats.
type countingBudget struct{ left int }

func (b *countingBudget) Seen(string) {}

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

// scriptedGate gives the verdicts in order and then every place.
type scriptedGate struct {
	verdicts []occupancy.Verdict
	asks     []occupancy.Ask
}

func (g *scriptedGate) Enter(_ context.Context, a occupancy.Ask) (*occupancy.Place, occupancy.Verdict) {
	g.asks = append(g.asks, a)
	if len(g.verdicts) > 0 {
		v := g.verdicts[0]
		g.verdicts = g.verdicts[1:]
		return nil, v
	}
	return nil, occupancy.Given
}

// world is a dispatcher with its fakes and five runners of each kind.
type world struct {
	*Dispatcher
	up    *fakeUpstream
	fleet *placement.Fleet
	gate  *scriptedGate
}

func newWorld(t *testing.T, budget int, replies ...reply) *world {
	t.Helper()
	up := &fakeUpstream{t: t, replies: replies, discarded: make(chan string, 4)}
	fleet := placement.NewFleet(placement.Options{Clock: clocktest.Bubble{}, FailureDomain: "d1"})
	var list []state.Instance
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		list = append(list,
			state.Instance{ID: "s" + id, Service: "plain", Addr: "s" + id + ":1", FailureDomain: "d1"},
			state.Instance{ID: "p" + id, Service: "model", Addr: "p" + id + ":1", FailureDomain: "d1", Role: state.RolePrefill},
			state.Instance{ID: "d" + id, Service: "model", Addr: "d" + id + ":1", FailureDomain: "d1", Role: state.RoleDecode, Slots: engineSlots})
	}
	fleet.Update(list)
	gate := &scriptedGate{}
	d, err := New(Options{
		Upstream: up, Placer: fleet, Gate: gate, Budget: &countingBudget{budget}, Observer: noObserver{}, Clock: clocktest.Bubble{},
		Log: slog.New(slog.DiscardHandler), SplitTokens: 600,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &world{d, up, fleet, gate}
}

func request(kind state.RouteKind, attempts int, resumable bool) *Request {
	now := time.Now()
	return &Request{
		ID: "r1", Service: "plain", ArrivedAt: now, Deadline: now.Add(2 * time.Second),
		Route: &state.Route{Name: "r", Kind: kind, MaxAttempts: attempts, Resumable: resumable, Timeout: 2 * time.Second},
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

func TestHoldsAtMostOnceForwarded(t *testing.T) {
	ok := reply{status: 200, body: "done"}
	for name, c := range map[string]struct {
		replies []reply
		sends   int
		answer  bool
		notRun  bool
	}{
		"answered":                          {[]reply{ok}, 1, true, false},
		"nothing sent, then answered":       {[]reply{{err: errUnsent}, {err: errUnsent}, ok}, 3, true, false},
		"lost after sending":                {[]reply{{err: errSent}}, 1, false, false},
		"nothing sent, then lost":           {[]reply{{err: errUnsent}, {err: errSent}}, 2, false, false},
		"cut in the answer":                 {[]reply{{status: 200, body: "do", readErr: io.ErrUnexpectedEOF}}, 1, false, false},
		"without the runner's signature":    {[]reply{{status: 200, body: "done", unseal: true}}, 1, false, false},
		"refused as not run, one attempt":   {[]reply{{status: 503, notRun: true}}, 1, false, true},
		"the runner's own failure is given": {[]reply{{status: 500, body: "failed"}}, 1, true, false},
		"nobody reached":                    {[]reply{{err: errUnsent}, {err: errUnsent}, {err: errUnsent}, {err: errUnsent}, {err: errUnsent}}, 5, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, c.replies...)
			answer, err := w.Forward(t.Context(), request(state.RouteUnsafe, 1, false))
			is.Equal(len(w.up.attempts), c.sends)
			is.Equal(answer != nil, c.answer)
			if answer == nil {
				var refusal *Refusal
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.NotRun, c.notRun)
			}
		})
	}
}

func TestRepeatableCallIsSentAgain(t *testing.T) {
	ok := reply{status: 200, body: "done"}
	for name, c := range map[string]struct {
		budget  int
		replies []reply
		sends   int
		status  int
	}{
		"after a lost answer":              {plenty, []reply{{err: errSent}, ok}, 2, 200},
		"after the runner's failure":       {plenty, []reply{{status: 500}, ok}, 2, 200},
		"the second failure is given":      {plenty, []reply{{status: 500}, {status: 500}}, 2, 500},
		"never more than its attempts":     {plenty, []reply{{err: errSent}, {err: errSent}}, 2, 0},
		"the failure, after a lost answer": {plenty, []reply{{status: 500}, {err: errSent}}, 2, 500},
		"not without budget":               {0, []reply{{err: errSent}}, 1, 0},
		"failure is given without budget":  {0, []reply{{status: 500}}, 1, 500},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, c.budget, c.replies...)
			answer, err := w.Forward(t.Context(), request(state.RouteSafe, 2, false))
			is.Equal(len(w.up.attempts), c.sends)
			if c.status == 0 {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			is.Equal(answer.Head.Status, c.status)
			seen := map[string]bool{}
			for _, a := range w.up.attempts {
				is.True(!seen[a.Instance.ID]) // another runner each time
				seen[a.Instance.ID] = true
			}
		})
	}
}

func TestPromptIsReadApartAndHandedOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, body: "h1"}, reply{status: 200, events: true, body: "id: 1\ndata: x\n\n"})
	answer, err := w.Forward(t.Context(), modelRequest(9000, true))
	is.NoErr(err)
	got, err := readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(got, "id: 1\ndata: x\n\n")
	is.True(w.up.attempts[0].PrefillOnly)
	is.Equal(w.up.attempts[0].Instance.Role, state.RolePrefill)
	is.Equal(w.up.attempts[1].Instance.Role, state.RoleDecode)
	is.Equal(*w.up.attempts[1].Source, KVSource{Instance: w.up.attempts[0].Instance, Handle: "h1"})
}

func TestShortPromptGoesToAnEngineThatGenerates(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 1\ndata: x\n\n"})
	answer, err := w.Forward(t.Context(), modelRequest(500, false))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.attempts[0].Instance.Role, state.RoleDecode)
	is.True(w.up.attempts[0].Source == nil)
}

func TestFailedPrefillFallsBackToTheGeneratingEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, reply{err: errSent}, reply{status: 503, notRun: true}, reply{status: 200, events: true, body: "id: 1\n\n"})
	answer, err := w.Forward(t.Context(), modelRequest(9000, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.True(w.up.attempts[1].PrefillOnly)
	is.True(w.up.attempts[1].Instance.ID != w.up.attempts[0].Instance.ID)
	is.True(w.up.attempts[2].Source == nil)
}

// Refused readings arrive at engines too: what is sent after one is a repeat.
func TestSendingAfterARefusedPromptIsARepeat(t *testing.T) {
	refused := reply{status: 421, notRun: true}
	for _, c := range []struct {
		name     string
		budget   int
		replies  []reply
		attempts int
		served   bool
	}{
		{"none left", 0, []reply{refused}, 1, false},
		{"one left for the second reading and the run", 1, []reply{refused, promptRead, generated}, 3, true},
		{"one left, refused twice", 1, []reply{refused, refused}, 2, false},
		{"two left, refused twice", 2, []reply{refused, refused, generated}, 3, true},
		{"a second reading counts after a lost one", 0, []reply{{err: errSent}, promptRead, generated}, 2, false},
		{"one that never left doesn't", 0, []reply{{err: errUnsent}, promptRead, generated}, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, c.budget, c.replies...)
			answer, err := w.Forward(t.Context(), modelRequest(9000, true))
			is.Equal(len(w.up.attempts), c.attempts)
			if c.served {
				is.NoErr(err)
				_, err = readAll(answer.Stream)
				is.NoErr(err)
				return
			}
			var refusal *Refusal
			is.True(errors.As(err, &refusal))
			is.True(refusal.NotRun)
			is.True(refusal.RetryAfter > 0)
			is.Equal(refusal.Reason, ReasonBudget)
		})
	}
}

func TestResumableStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty,
		reply{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", readErr: errors.New("reset")},
		reply{status: 200, events: true, body: "id: 3\ndata: c\n\n"})
	r := modelRequest(500, true)
	answer, err := w.Forward(t.Context(), r)
	is.NoErr(err)
	got, err := readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(got, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	is.Equal(w.up.attempts[1].LastEventID, "2")
	is.True(w.up.cuts >= 1) // the earlier run is ended first
}

func TestStreamThatMayRunOnceIsCutNotResumed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\nda", readErr: errors.New("reset")})
	answer, err := w.Forward(t.Context(), modelRequest(500, false))
	is.NoErr(err)
	got, err := readAll(answer.Stream)
	is.True(errors.Is(err, ErrStreamCut))
	is.Equal(got, "id: 1\ndata: a\n\n")
	is.Equal(len(w.up.attempts), 1)
}

func TestResumingStopsAtTheRoutesAttempts(t *testing.T) {
	is := is.New(t)
	cut := reply{status: 200, events: true, body: "id: 1\ndata: a\n\n", readErr: errors.New("reset")}
	w := newWorld(t, plenty, cut, reply{status: 200, events: true, readErr: errors.New("reset")})
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.True(errors.Is(err, ErrStreamCut))
	is.Equal(len(w.up.attempts), 2)
}

func TestDeadlineEndsTheWaitAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{hang: true})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	r := request(state.RouteUnsafe, 1, false)
	r.Deadline = time.Now().Add(20 * time.Millisecond)
	_, err := w.Forward(ctx, r)
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, ReasonDeadline)
	is.Equal(refusal.NotRun, false)
}

func TestRunnerIsToldWhatIsLeft(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{err: errUnsent}, reply{status: 200})
	r := request(state.RouteUnsafe, 1, false)
	r.ArrivedAt = r.ArrivedAt.Add(-time.Second)
	r.Deadline = r.ArrivedAt.Add(1500 * time.Millisecond)
	_, err := w.Forward(t.Context(), r)
	is.NoErr(err)
	for _, a := range w.up.attempts {
		is.True(a.Left > 0 && a.Left <= 500*time.Millisecond)
	}
}

func TestCallerWhoLeftIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{hang: true})
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, leave)
	_, err := w.Forward(ctx, request(state.RouteSafe, 2, false))
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, ReasonCancelled)
	is.Equal(len(w.up.attempts), 1)
}

func TestLeavingInstanceIsNotSentTo(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty)
	w.fleet.Update([]state.Instance{{ID: "s1", Service: "plain", Draining: true}})
	_, err := w.Forward(t.Context(), request(state.RouteSafe, 2, false))
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.True(refusal.NotRun)
	is.True(refusal.RetryAfter > 0)
	is.Equal(len(w.up.attempts), 0)
}

func TestDarkPrefillEngineIsLeftForAnother(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{hang: true}, reply{status: 200, body: "h2"}, reply{status: 200, events: true, body: "id: 1\n\n"})
	r := modelRequest(9000, true)
	r.Route.Objective = 10 * time.Millisecond
	answer, err := w.Forward(t.Context(), r)
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.attempts[2].Source.Handle, "h2")
	for _, runner := range w.fleet.Runners("model") {
		is.Equal(runner.Suspect(time.Now()), runner.Instance.ID == w.up.attempts[0].Instance.ID)
	}
}

var (
	promptRead = reply{status: 200, body: "h1"}
	generated  = reply{status: 200, events: true, body: "id: 1\n\n"}
)

// served forwards a long prompt that is answered.
func (w *world) served(t *testing.T) {
	t.Helper()
	answer, err := w.Forward(t.Context(), modelRequest(9000, true))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readAll(answer.Stream); err != nil {
		t.Fatal(err)
	}
}

func TestPromptIsReadAtTheFirstEngineWithRoom(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, promptRead, generated)
	w.gate.verdicts = []occupancy.Verdict{occupancy.Full, occupancy.Full, occupancy.Given}
	w.served(t)
	is.Equal(len(w.gate.asks), 3)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[2].Engine)
	is.True(!w.up.attempts[0].Deferred)
	home, _ := w.fleet.Prefill("model", "b", nil)
	is.Equal(w.gate.asks[0].Engine, home.Instance.ID)
	is.Equal(w.up.attempts[0].FetchFrom, home.Instance.Addr) // shared parts aren't read again
}

func TestPromptIsDeferredWhenAllAskedEnginesAreFull(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, promptRead, generated)
	for range maxAsked {
		w.gate.verdicts = append(w.gate.verdicts, occupancy.Full)
	}
	w.served(t)
	is.Equal(len(w.gate.asks), maxAsked)
	is.True(w.up.attempts[0].PrefillOnly)
	is.True(w.up.attempts[0].Deferred)
	is.True(!w.up.attempts[1].Deferred) // what was read generates in its turn
}

func TestQuestionTakesAFreeSlotWhereItFindsOne(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, generated)
	w.gate.verdicts = []occupancy.Verdict{occupancy.Full, occupancy.Given}
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[1].Engine)
	is.Equal(w.gate.asks[1].Most, engineSlots)
	is.True(!w.up.attempts[0].Deferred)
}

func TestQuestionGoesBehindTheOthersWhenAllSlotsAreTaken(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, generated)
	for range maxAsked {
		w.gate.verdicts = append(w.gate.verdicts, occupancy.Full)
	}
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.attempts[0].Instance.ID, w.gate.asks[0].Engine)
	is.True(w.up.attempts[0].Deferred)
}

func TestQuestionIsNotHeldBackWhileNoKeeperAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, generated)
	w.gate.verdicts = []occupancy.Verdict{occupancy.Unknown}
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.True(!w.up.attempts[0].Deferred)
}

func TestHostKeepsToItsOwnBoundWhileNoKeeperAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, promptRead, generated, promptRead, generated)
	w.gate.verdicts = []occupancy.Verdict{occupancy.Unknown, occupancy.Unknown}
	w.served(t)
	is.True(!w.up.attempts[0].Deferred)
	route := modelRequest(9000, true).Route
	for l := w.limiter(route); l.Acquire(1, time.Second) != nil; {
	}
	w.served(t)
	is.True(w.up.attempts[2].Deferred)
}

func TestDeferredPromptThatIsNotReadSaysNothingOfItsEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{hang: true})
	r := modelRequest(9000, true)
	w.gate.verdicts = []occupancy.Verdict{occupancy.Full, occupancy.Full, occupancy.Full, occupancy.Full}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	r.Deadline = time.Now().Add(20 * time.Millisecond)
	_, err := w.Forward(ctx, r)
	is.True(err != nil)
	is.True(w.up.attempts[0].Deferred)
	for _, runner := range w.fleet.Runners("model") {
		is.True(!runner.Suspect(time.Now()))
	}
}

// An engine refuses a deferred prompt whose time is over in its queue: it is as sound
// as before, and nothing is left to be read elsewhere.
func TestDeferredPromptThatIsRefusedAtItsEndSaysNothingOfItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, reply{status: 503, notRun: true, after: 1990 * time.Millisecond})
		w.gate.verdicts = []occupancy.Verdict{occupancy.Full, occupancy.Full, occupancy.Full, occupancy.Full}
		r := modelRequest(9000, true)
		ctx, cancel := context.WithDeadline(t.Context(), r.Deadline)
		defer cancel()
		_, err := w.Forward(ctx, r)
		is.True(err != nil)
		is.Equal(len(w.up.attempts), 1)
		for _, runner := range w.fleet.Runners("model") {
			is.True(!runner.Suspect(time.Now()))
			is.Equal(runner.FailureRate(time.Now()), 0.0)
		}
	})
}

func TestCacheThatNobodyTakesIsFreed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, body: "h1"}, reply{status: 503, notRun: true}, reply{status: 503, notRun: true})
	_, err := w.Forward(t.Context(), modelRequest(9000, true))
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.True(refusal.NotRun)
	is.Equal(<-w.up.discarded, "h1")
}
