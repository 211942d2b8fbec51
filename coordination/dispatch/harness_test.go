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

// Limits of the dispatchers under test.
const (
	maxAttempts   = 3
	stallTimeout  = time.Second
	recordTimeout = 500 * time.Millisecond
	apartTokens   = 100
	backoff       = 10 * time.Millisecond
)

const (
	modelService = "llm"
	plainService = "app"
)

// world is one dispatcher with fakes around it. Its fields may be changed until
// start is called.
type world struct {
	keeper   *snapshot.Keeper
	engines  *engines
	services *services
	router   *router
	grants   grants
	claimer  dispatch.Claimer
	retries  dispatch.Retries
	meter    meter
	isolated atomic.Bool
	// crashes and held are those of a crashFleet's host; by default nothing crashes.
	crashes dispatch.Crashes
	held    dispatch.Quarantine
	d       *dispatch.Dispatcher
}

// nothingCrashes holds nothing.
type nothingCrashes struct{}

func (nothingCrashes) Broke(state.Upstream, quarantine.Suspect) {}

func (nothingCrashes) Held(quarantine.Digest) *quarantine.Hold { return nil }

func (nothingCrashes) Answered(quarantine.Digest) {}

// newWorld makes engines e1, e2, ... with the given roles and service runners
// s1, s2, s3.
func newWorld(roles ...state.Role) *world {
	w := &world{keeper: snapshot.NewKeeper(), engines: &engines{}, services: &services{}, router: &router{}}
	w.retries, w.claimer, w.crashes, w.held = freeRetries{}, noClaims{}, nothingCrashes{}, nothingCrashes{}
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

func (w *world) start(t *testing.T) *world {
	t.Helper()
	var attempts atomic.Int64
	d, err := dispatch.New(dispatch.Options{
		Keeper: w.keeper, Engines: w.engines, Services: w.services, Router: w.router, Admitter: &w.grants,
		Retries: w.retries, Claimer: w.claimer, Recorder: silent{}, Meter: &w.meter, Clock: clocktest.Bubble{}, Crashes: w.crashes, Quarantine: w.held,
		NewID: func() string { return "a" + strconv.FormatInt(attempts.Add(1), 10) }, Host: "h",
		MaxAttempts: maxAttempts, StallTimeout: stallTimeout, PrefillApartTokens: apartTokens, RecordTimeout: recordTimeout,
		Isolated: w.isolated.Load,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.d = d
	return w
}

// leftovers names what a finished request must not leave behind.
func (w *world) leftovers() error {
	for _, r := range w.keeper.View().Runners {
		if left := r.InFlight.Load(); left != (snapshot.Work{}) {
			return fmt.Errorf("%s still counts %+v in flight", r.Name, left)
		}
	}
	if open := w.engines.open.Load(); open != 0 {
		return fmt.Errorf("%d streams are still open", open)
	}
	if given, back := w.grants.given.Load(), w.grants.back.Load(); given != back {
		return fmt.Errorf("%d grants given and %d given back", given, back)
	}
	if begun, ended := w.router.begun.Load(), w.router.ended.Load(); begun != ended {
		return fmt.Errorf("%d attempts begun and %d ended", begun, ended)
	}
	return nil
}

// router picks a runner that serves the part and isn't excluded, in turn; one of
// the part's own role goes first.
type router struct {
	// afterPick is called between the choice and the count.
	afterPick func(runner string)
	// breakers are optional.
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

func serves(role state.Role, p dispatch.Part) bool {
	switch role {
	case state.RolePrefill:
		return p == dispatch.Prefill
	case state.RoleDecode:
		return p == dispatch.Decode
	}
	return true
}

func (r *router) Begin(_ dispatch.Query, c dispatch.Choice) (dispatch.Attempt, bool) {
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

// grants admits everything, or refuses it all.
type grants struct {
	refuse      *dispatch.Refusal
	given, back atomic.Int64
}

func (g *grants) Admit(context.Context, *dispatch.Request, snapshot.Work) (dispatch.Grant, error) {
	if g.refuse != nil {
		return nil, g.refuse
	}
	g.given.Add(1)
	return &grant{g: g}, nil
}

type grant struct {
	g    *grants
	once sync.Once
}

func (g *grant) FirstToken() {}
func (g *grant) Done()       { g.once.Do(func() { g.g.back.Add(1) }) }

// freeRetries allows every retry.
type freeRetries struct{}

func (freeRetries) Seen(string)               {}
func (freeRetries) Allow(string) bool         { return true }
func (freeRetries) Backoff(int) time.Duration { return backoff }

// noClaims is the claimer of a world that makes no calls under a key.
type noClaims struct{ dispatch.Claimer }

type silent struct{}

func (silent) Record(state.Decision) {}

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
