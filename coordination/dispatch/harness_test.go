package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/retry"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Options of the dispatchers under test.
const (
	maxAttempts       = 3
	stallTimeout      = time.Second
	recordTimeout     = 500 * time.Millisecond
	splitPromptTokens = 100
	backoff           = 10 * time.Millisecond
)

const (
	modelService = "llm"
	plainService = "app"
)

// world is a dispatcher with fakes for all its dependencies. Its fields may be changed until
// start is called.
type world struct {
	keeper   *snapshot.Keeper
	engines  *engines
	services *services
	router   *router
	admitter admitter
	claimer  dispatch.Claimer
	retries  dispatch.Retries
	meter    meter
	isolated atomic.Bool
	// crashes and quarantine are those of a crashFleet's host; by default nothing crashes.
	crashes    dispatch.CrashReporter
	quarantine dispatch.Quarantine
	d          *dispatch.Dispatcher
}

// noCrashes ignores crash reports and quarantines no request.
type noCrashes struct{}

func (noCrashes) ReportBroken(state.Upstream, quarantine.Suspect) {}

func (noCrashes) Held(quarantine.Digest) *quarantine.Hold { return nil }

func (noCrashes) ReportAnswered(quarantine.Digest) {}

// newWorld returns a world with engines e1, e2, ... of the given roles and the runners s1,
// s2 and s3 of a plain service.
func newWorld(roles ...state.Role) *world {
	w := &world{keeper: snapshot.NewKeeper(), engines: &engines{}, services: &services{}, router: &router{}}
	w.retries, w.claimer, w.crashes, w.quarantine = unlimitedRetries{}, noClaims{}, noCrashes{}, noCrashes{}
	var list []state.Listed
	for i := range roles {
		list = append(list, state.Listed{Name: engineName(i), Kind: state.ListedEngine, State: state.ListedLive, Service: modelService})
	}
	for _, name := range []string{"s1", "s2", "s3"} {
		list = append(list, state.Listed{Name: name, Kind: state.ListedService, State: state.ListedLive, Service: plainService})
	}
	w.keeper.SetListed(list)
	for i, role := range roles {
		w.keeper.SetLoad(state.LoadReport{Engine: engineName(i), TakenAt: time.Unix(1, 0), Shown: state.Target{Role: role}})
	}
	return w
}

func engineName(i int) string { return "e" + strconv.Itoa(i+1) }

// mixed returns n mixed engines.
func mixed(n int) []state.Role { return slices.Repeat([]state.Role{state.RoleMixed}, n) }

// start creates the dispatcher.
func (w *world) start(t *testing.T) *world {
	t.Helper()
	var attempts atomic.Int64
	d, err := dispatch.New(dispatch.Options{
		Keeper: w.keeper, Engines: w.engines, Services: w.services, Router: w.router, Admitter: &w.admitter,
		Retries: w.retries, Claimer: w.claimer, Recorder: discardRecorder{}, Meter: &w.meter, Clock: clocktest.Bubble{}, Crashes: w.crashes, Quarantine: w.quarantine,
		NewID: func() string { return "a" + strconv.FormatInt(attempts.Add(1), 10) }, Host: "h",
		MaxAttempts: maxAttempts, StallTimeout: stallTimeout, SplitPromptTokens: splitPromptTokens, RecordTimeout: recordTimeout,
		Isolated: w.isolated.Load,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.d = d
	return w
}

// checkReleased returns an error if a finished request has left work counted, a stream open,
// a grant unreleased or an attempt without end.
func (w *world) checkReleased() error {
	for _, r := range w.keeper.View().Runners {
		if left := r.InFlight.Load(); left != (snapshot.Work{}) {
			return fmt.Errorf("runner %s still counts %+v in flight", r.Name, left)
		}
	}
	if open := w.engines.open.Load(); open != 0 {
		return fmt.Errorf("%d streams are still open", open)
	}
	if granted, released := w.admitter.granted.Load(), w.admitter.released.Load(); granted != released {
		return fmt.Errorf("%d grants issued and %d released", granted, released)
	}
	if begun, ended := w.router.begun.Load(), w.router.ended.Load(); begun != ended {
		return fmt.Errorf("%d attempts started and %d ended", begun, ended)
	}
	return nil
}

// router chooses, in turn, a runner that serves the part and isn't excluded. It prefers one
// that serves only this part.
type router struct {
	// afterPick, if set, is called after a runner was chosen and before the request is
	// counted there.
	afterPick func(runner string)
	// breakers, if set, are the circuit breakers of the runners.
	breakers *retry.Breakers

	begun, ended atomic.Int64
	mu           sync.Mutex
	outcomes     map[string][]dispatch.AttemptOutcome
	turn         int
}

func (r *router) Pick(v *snapshot.View, q dispatch.Query) (dispatch.Choice, error) {
	all := v.RunnersOf(q.Request.Service)
	r.mu.Lock()
	r.turn++
	turn := r.turn
	r.mu.Unlock()
	var chosen *snapshot.Runner
	for i := range all {
		n := all[(i+turn)%len(all)]
		if !n.TakesWork() || !serves(n.Target.Role, q.Part) || slices.Contains(q.Exclude, n.Name) {
			continue
		}
		if r.breakers != nil && !r.breakers.Ready(n.Name) {
			continue
		}
		if chosen == nil || chosen.Target.Role == state.RoleMixed && n.Target.Role != state.RoleMixed {
			chosen = n
		}
	}
	if chosen != nil {
		if r.afterPick != nil {
			r.afterPick(chosen.Name)
		}
		return dispatch.Choice{Runner: chosen, Why: "it is next"}, nil
	}
	return dispatch.Choice{}, &dispatch.Refusal{Reason: dispatch.ReasonNoUpstream, Message: "no runner; come back", RetryAfter: time.Second}
}

// serves reports whether runners of the role serve the part.
func serves(role state.Role, p dispatch.Part) bool {
	switch role {
	case state.RolePrefill:
		return p == dispatch.Prefill
	case state.RoleDecode:
		return p == dispatch.Decode
	}
	return true
}

func (r *router) Begin(_ dispatch.Query, c dispatch.Choice) (dispatch.AttemptObserver, bool) {
	done := func(bool) {}
	if r.breakers != nil {
		var err error
		if done, err = r.breakers.Begin(c.Runner.Name); err != nil {
			return nil, false
		}
	}
	r.begun.Add(1)
	return &attempt{r: r, runner: c.Runner.Name, done: done}, true
}

// attempt records the outcome of an attempt in its router.
type attempt struct {
	r      *router
	runner string
	done   func(ok bool)
}

func (a *attempt) FirstToken(time.Duration) {}

func (a *attempt) End(o dispatch.AttemptOutcome, _ time.Duration) {
	a.r.ended.Add(1)
	a.done(o != dispatch.AttemptFailed)
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	if a.r.outcomes == nil {
		a.r.outcomes = map[string][]dispatch.AttemptOutcome{}
	}
	a.r.outcomes[a.runner] = append(a.r.outcomes[a.runner], o)
}

// admitter admits every request or, if refuse is set, refuses every one.
type admitter struct {
	refuse            *dispatch.Refusal
	granted, released atomic.Int64
}

func (g *admitter) Admit(context.Context, *dispatch.Request, snapshot.Work) (dispatch.Grant, error) {
	if g.refuse != nil {
		return nil, g.refuse
	}
	g.granted.Add(1)
	return &grant{g: g}, nil
}

// grant counts its release in its admitter.
type grant struct {
	g    *admitter
	once sync.Once
}

func (g *grant) FirstToken() {}
func (g *grant) Done()       { g.once.Do(func() { g.g.released.Add(1) }) }

// unlimitedRetries allows every retry after a constant pause.
type unlimitedRetries struct{}

func (unlimitedRetries) CountRequest(string)       {}
func (unlimitedRetries) Allow(string) bool         { return true }
func (unlimitedRetries) Backoff(int) time.Duration { return backoff }

// noClaims is the claimer of a world without at-most-once calls.
type noClaims struct{ dispatch.Claimer }

// discardRecorder discards decisions.
type discardRecorder struct{}

func (discardRecorder) Record(state.Decision) {}

// meter records counters by name.
type meter struct {
	mu     sync.Mutex
	counts map[dispatch.Counter]int
}

func (m *meter) Count(c dispatch.Counter, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = map[dispatch.Counter]int{}
	}
	m.counts[c] += n
}

func (m *meter) of(c dispatch.Counter) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[c]
}
