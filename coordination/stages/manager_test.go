package stages

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// newInstances returns engines with 10 slots in three failure domains, the prefill engines
// first.
func newInstances(prefill, decode int) []state.Instance {
	var out []state.Instance
	for i := range prefill + decode {
		role := state.RolePrefill
		if i >= prefill {
			role = state.RoleDecode
		}
		out = append(out, state.Instance{ID: state.InstanceID{Name: fmt.Sprintf("e%02d", i)}, FailureDomain: fmt.Sprint("d", i%3), Role: role, Slots: 10})
	}
	return out
}

func TestPrefillTarget(t *testing.T) {
	for _, c := range []struct {
		n     int
		share float64
		want  int
	}{{12, 0.68, 8}, {57, 0.68, 39}, {12, 0.99, 10}, {12, 0.01, 2}, {4, 0.9, 2}, {3, 0.9, 1}, {2, 0.5, 1}} {
		is := is.New(t)
		is.Equal(PrefillTarget(c.n, c.share), c.want)
	}
}

func TestPlanKeepsDecodeEngineInEachFailureDomain(t *testing.T) {
	is := is.New(t)
	list := newInstances(4, 8)
	changes := Plan(list, 9)
	is.Equal(len(changes), 5)
	remaining := map[string]int{}
	for _, e := range list {
		if e.Role == state.RoleDecode {
			remaining[e.FailureDomain]++
		}
	}
	for _, c := range changes {
		is.Equal(c.Role, state.RolePrefill)
		remaining[c.Instance.FailureDomain]--
	}
	for domain, n := range remaining {
		is.True(n >= 1) // the domain keeps a decode engine
		_ = domain
	}
	is.Equal(len(Plan(list, 4)), 0)
	is.Equal(Plan(list, 3)[0].Role, state.RoleDecode)
}

// receivedOrder is an order that an engine has received.
type receivedOrder struct {
	at     time.Time
	holder string
	fence  uint64
}

// fakeEngines are engines that carry out orders at once or late, as those of the platform do.
// They record the orders and all violations of the protocol in problems.
type fakeEngines struct {
	// resizing is the result of Options.Resizing.
	resizing bool
	mu       sync.Mutex
	engines  map[state.InstanceID]*fakeEngine
	rng      *rand.Rand
	// lateProbability is the probability that an order gets no answer and is carried out 2 to 11
	// seconds late.
	lateProbability float64
	orders          []receivedOrder
	problems        []string
	// announced is the time of the last announcement of a change for each engine.
	announced map[state.InstanceID]time.Time
	// loadPerEngine is the number of active and waiting requests that each engine would have if
	// all did decode; 0 for a fixed number at each engine.
	loadPerEngine float64
	// onFirstOrder is called on the first order only; it may be nil.
	onFirstOrder func()
}

type fakeEngine struct {
	instance  state.Instance
	accepted  uint64
	busyUntil time.Time
}

// roleSwitchTime is how long an engine takes to change its role. The list shows the previous
// role in this time.
const roleSwitchTime = 3 * time.Second

func newFakeEngines(list []state.Instance, lateProbability float64, seed uint64) *fakeEngines {
	f := &fakeEngines{engines: map[state.InstanceID]*fakeEngine{}, announced: map[state.InstanceID]time.Time{}, rng: rand.New(rand.NewPCG(seed, 7)), lateProbability: lateProbability}
	for _, i := range list {
		f.engines[i.ID] = &fakeEngine{instance: i}
	}
	return f
}

// list is the Options.Instances of the tests.
func (f *fakeEngines) list(string) []state.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []state.Instance
	for _, e := range f.engines {
		if time.Now().After(e.busyUntil) {
			out = append(out, e.instance)
		} else {
			before := e.instance
			before.Role = otherRole(before.Role)
			out = append(out, before)
		}
	}
	return out
}

// currentInstances returns the engines with the roles that they have accepted, which the list
// may not show yet. f.mu must be held.
func (f *fakeEngines) currentInstances() []state.Instance {
	var out []state.Instance
	for _, e := range f.engines {
		out = append(out, e.instance)
	}
	return out
}

func otherRole(r state.Role) state.Role {
	if r == state.RolePrefill {
		return state.RoleDecode
	}
	return state.RolePrefill
}

func (f *fakeEngines) Report(_ context.Context, i *state.Instance) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.currentRun(i.ID)
	r := Report{Born: e.instance.ID.Born, Role: e.instance.Role, Busy: time.Now().Before(e.busyUntil), AcceptedOrders: e.accepted, Active: 5}
	if f.loadPerEngine > 0 && r.Role == state.RoleDecode {
		decode := len(f.engines) - countPrefill(f.currentInstances())
		r.Active = int(f.loadPerEngine * float64(len(f.engines)) / float64(decode))
	}
	return r, nil
}

// currentRun returns the run that answers calls for id: the run itself, or the one that was
// started later under the same name.
func (f *fakeEngines) currentRun(id state.InstanceID) *fakeEngine {
	if e := f.engines[id]; e != nil {
		return e
	}
	for other, e := range f.engines {
		if other.Name == id.Name {
			return e
		}
	}
	return nil
}

func (f *fakeEngines) Order(_ context.Context, i *state.Instance, o Order, permit func() error) (Result, error) {
	if err := permit(); err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkOrder(o)
	if f.onFirstOrder != nil {
		f.onFirstOrder()
		f.onFirstOrder = nil
	}
	if since := time.Since(f.announced[i.ID]); since < AnnounceLead || since > 5*time.Second {
		f.problems = append(f.problems, fmt.Sprintf("%s was ordered %s after its announcement", i.ID, since))
	}
	if f.rng.Float64() < f.lateProbability {
		delay := time.Duration(2+f.rng.IntN(10)) * time.Second
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.apply(i.ID, o)
		})
		return "", errors.New("the engine did not answer")
	}
	return f.apply(i.ID, o), nil
}

// isResizing is the Options.Resizing of the tests.
func (f *fakeEngines) isResizing(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resizing
}

// announce is the Options.Announce of the tests. It records the time of the announcement.
func (f *fakeEngines) announce(_ context.Context, changes []RoleChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		f.announced[c.Instance.ID] = time.Now()
	}
}

// orderCount returns the number of orders received so far.
func (f *fakeEngines) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// apply carries out an order as an engine does and returns its answer.
func (f *fakeEngines) apply(id state.InstanceID, o Order) Result {
	e := f.currentRun(id)
	switch {
	case o.ExpectedAcceptedOrders != e.accepted || time.Now().Before(e.busyUntil):
		return ResultConflict
	case o.Role == e.instance.Role:
		return ResultAccepted
	}
	e.accepted++
	e.instance.Role = o.Role
	e.busyUntil = time.Now().Add(roleSwitchTime)
	return ResultAccepted
}

// termGap is the minimum time between orders of two holders, as set in lease.Options.Apart.
const termGap = 3 * time.Second

// checkOrder records an order, and a problem if it conflicts with an earlier one.
func (f *fakeEngines) checkOrder(o Order) {
	now := time.Now()
	for _, r := range f.orders {
		switch {
		case r.holder != o.Holder && r.fence == o.Fence:
			f.problems = append(f.problems, fmt.Sprintf("holders %s and %s both use fence %d", r.holder, o.Holder, o.Fence))
		case o.Fence < r.fence:
			f.problems = append(f.problems, fmt.Sprintf("order with fence %d after one with fence %d", o.Fence, r.fence))
		case r.holder != o.Holder && now.Sub(r.at) < termGap:
			f.problems = append(f.problems, fmt.Sprintf("order of %s only %s after one of %s", o.Holder, now.Sub(r.at), r.holder))
		}
	}
	f.orders = append(f.orders, receivedOrder{now, o.Holder, o.Fence})
}

// crash removes engines from the list until the returned function is called.
func (f *fakeEngines) crash(ids ...string) (back func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var crashed []*fakeEngine
	for _, id := range ids {
		crashed = append(crashed, f.engines[state.InstanceID{Name: id}])
		delete(f.engines, state.InstanceID{Name: id})
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, e := range crashed {
			f.engines[e.instance.ID] = e
		}
	}
}

// newManager returns the manager of a run of the daemon on a host; run tells the runs apart.
func newManager(t testing.TB, p *storetest.Platform, f *fakeEngines, host string, run int) *Manager {
	return newManagerWithClock(t, clocktest.Bubble{}, p, f, host, run)
}

// newManagerWithClock is newManager with the given clock for the lease and the manager.
func newManagerWithClock(t testing.TB, clock state.Clock, p *storetest.Platform, f *fakeEngines, host string, run int) *Manager {
	lessor, err := lease.New(lease.Options{
		Store: p.Client(host), Clock: clock, Rand: rand.New(rand.NewPCG(uint64(run), uint64(len(host)))),
		Name: "engine-roles", Holder: state.HostID{Name: host, Incarnation: fmt.Sprint(run)}, TTL: 6 * time.Second, Machine: host,
		CallGap: termGap, MaxCallTime: time.Second, MayBeLost: func() bool { return store.EpochOf(p.Revision()) > 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(Options{
		Engines: f, Lease: lessor, Shares: PrefillShares{p.Client(host)}, Clock: clock, Log: slog.New(slog.DiscardHandler), Host: host,
		Services: func() []string { return []string{"llm"} }, Instances: f.list, Announce: f.announce, InitialPrefillShare: 0.68, Resizing: f.isResizing,
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Run acquires the lease whenever it is free and orders role changes while it is held, until
// ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	return m.o.Lease.Run(ctx, func(ctx context.Context) error {
		m.Hold(ctx)
		return nil
	})
}

// startHolder runs a manager until the returned function is called.
func startHolder(t *testing.T, p *storetest.Platform, f *fakeEngines, host string) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	m := newManager(t, p, f, host, 1)
	done.Go(func() { _ = m.Run(ctx) })
	return func() {
		cancel()
		done.Wait()
	}
}

// Guards against several hosts that order the same split, and against further orders once it
// is reached.
func TestSplitIsOrderedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(4, 8), 0, 1)
		p := storetest.NewPlatform(time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		for i := range 3 {
			done.Go(func() { _ = newManager(t, p, f, fmt.Sprint("h", i), 1).Run(ctx) })
		}
		time.Sleep(time.Minute)
		cancel()
		done.Wait()
		is.Equal(len(f.orders), 4) // 4 to 8 of 12 engines do prefill
		is.Equal(len(f.problems), 0)
		is.Equal(f.orders[0].holder, f.orders[3].holder)
	})
}

// The first split must wait while the number of engines is about to change: orders to engines
// that are about to leave are wasted.
func TestInitialSplitWaitsForResize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(4, 8), 0, 1)
		f.resizing = true
		stop := startHolder(t, storetest.NewPlatform(time.Second), f, "h")
		defer stop()
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		is.Equal(len(f.orders), 0)
		f.resizing = false
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.Equal(len(f.orders), 4)
	})
}

// A holder whose machine is suspended between two orders must not send the rest when it
// resumes: another host holds the lease by then, although no timer on this machine has seen
// the time pass.
func TestSuspendedHolderSendsNoFurtherOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(2, 10), 0, 1)
		p := storetest.NewPlatform(time.Second)
		machine := &clocktest.Machine{}
		f.onFirstOrder = func() {
			machine.Suspend(time.Minute)
			other := p.Client("other")
			o, err := other.Get(t.Context(), store.KindLease, "engine-roles")
			is.NoErr(err)
			_, err = other.Put(t.Context(), o.Kind, o.Name, o.Version, []byte("another host's"))
			is.NoErr(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		m := newManagerWithClock(t, machine, p, f, "h", 1)
		done.Go(func() { _ = m.Run(ctx) })
		for f.orderCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(termGap) // another holder sends no order earlier than this
		orders := f.orderCount()
		cancel()
		done.Wait()
		is.Equal(orders, 1)
	})
}

// restart replaces an engine by a new run under the same name with the given role.
func (f *fakeEngines) restart(name string, born int64, role state.Role) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.currentRun(state.InstanceID{Name: name}).instance
	delete(f.engines, before.ID)
	before.ID.Born, before.Role = born, role
	f.engines[before.ID] = &fakeEngine{instance: before}
}

// Guards against counting the orders of a previous run of an engine as carried out by the run
// that replaced it: the new run must be ordered to change as well.
func TestOrdersOfPreviousRunAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(4, 8), 0, 1)
		stop := startHolder(t, storetest.NewPlatform(time.Second), f, "h")
		time.Sleep(5 * time.Second) // four of eight decode engines were ordered to change
		var ordered []string
		f.mu.Lock()
		is.Equal(len(f.orders), 4)
		for id, e := range f.engines {
			if e.accepted > 0 {
				ordered = append(ordered, id.Name)
			}
		}
		f.mu.Unlock()
		for i, name := range ordered {
			f.restart(name, int64(i+1), state.RoleDecode)
		}
		time.Sleep(time.Minute)
		stop()
		is.Equal(f.prefillCount(), 8)
		is.Equal(len(f.problems), 0)
	})
}

// The list shows a run of each engine while a later one answers the reports. No order may be
// sent, since the reported number of accepted orders isn't that of the listed run.
func TestEngineRestartedSinceListingIsNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(4, 8), 0, 1)
		listed := f.list("llm")
		for i := range listed {
			listed[i].ID.Born = 1
		}
		for i, e := range listed {
			f.restart(e.ID.Name, int64(i+2), e.Role)
		}
		m := newManager(t, storetest.NewPlatform(time.Second), f, "h", 1)
		m.o.Instances = func(string) []state.Instance { return listed }
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		is.NoErr(m.Run(ctx))
		is.Equal(len(f.orders), 0)
	})
}

// Guards against role changes because of engines that crash and return within two seconds.
func TestShortCrashChangesNoRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(8, 4), 0, 1)
		stop := startHolder(t, storetest.NewPlatform(time.Second), f, "h")
		time.Sleep(10 * time.Second)
		back := f.crash("e00", "e01", "e02")
		time.Sleep(2 * time.Second)
		back()
		time.Sleep(time.Minute)
		stop()
		is.Equal(len(f.orders), 0)
	})
}

// A holder that takes over while engines are down must not take the remaining engines for a
// service that was never split, and reorder it at once.
func TestCrashDuringTakeoverChangesNoRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(8, 4), 0, 1)
		p := storetest.NewPlatform(time.Second)
		stop := startHolder(t, p, f, "h1")
		time.Sleep(10 * time.Second)
		stop()
		stop = startHolder(t, p, f, "h2")
		time.Sleep(termGap) // its silent period lasts a second longer
		back := f.crash("e00", "e01", "e02")
		time.Sleep(3 * time.Second)
		back()
		time.Sleep(time.Minute)
		stop()
		is.Equal(len(f.orders), 0)
	})
}

// A new holder must sample the load during its silent period, so that it can send orders as
// soon as the period ends, and none before.
func TestLoadIsSampledDuringSilentPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(8, 4), 0, 1)
		p := storetest.NewPlatform(time.Second)
		stop := startHolder(t, p, f, "h1")
		time.Sleep(10 * time.Second)
		stop()
		f.setLoad(8)
		startedAt := time.Now()
		stop = startHolder(t, p, f, "h2")
		time.Sleep(termGap + time.Second)
		is.Equal(f.orderCount(), 0)
		time.Sleep(3 * time.Second) // the list must be unchanged for 1.2 s before the first sample
		stop()
		is.True(len(f.orders) > 0)
		is.True(f.orders[0].at.Sub(startedAt) < termGap+4*time.Second)
		is.Equal(len(f.problems), 0)
	})
}

// After all hosts were killed, the next run on the machine of the holder has no silent period,
// since no other host can have sent an order since.
func TestNextRunOnSameMachineHasNoSilentPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(8, 4), 0, 1)
		p := storetest.NewPlatform(time.Second)
		ctx, kill := context.WithCancel(t.Context())
		var done sync.WaitGroup
		firstRun := newManager(t, p, f, "h1", 1)
		done.Go(func() { _ = firstRun.Run(ctx) })
		time.Sleep(10 * time.Second)
		p.SetScript(func(storetest.Call) storetest.Fault { return storetest.Refuse }) // the lease can't be released
		kill()
		done.Wait()
		p.SetScript(nil)
		f.setLoad(8)
		startedAt := time.Now()
		secondRun := newManager(t, p, f, "h1", 2)
		ctx, stop := context.WithCancel(t.Context())
		done.Go(func() { _ = secondRun.Run(ctx) })
		time.Sleep(6 * time.Second)
		stop()
		done.Wait()
		is.True(len(f.orders) > 0)
		is.True(f.orders[0].at.Sub(startedAt) < 5*time.Second)
		is.Equal(len(f.problems), 0)
	})
}

// Engines are listed one after the other when a deployment starts. A first plan for some of
// them would lead to a split within the tolerance of that for all, which would then be kept.
func TestInitialSplitCountsAllEngines(t *testing.T) {
	for _, listedFirst := range []int{1, 2, 5, 8, 11} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFakeEngines(newInstances(4, 8), 0, 1)
			var listedLater []string
			for i := listedFirst; i < 12; i++ {
				listedLater = append(listedLater, fmt.Sprintf("e%02d", i))
			}
			back := f.crash(listedLater...) // not listed yet
			stop := startHolder(t, storetest.NewPlatform(time.Second), f, "h")
			time.Sleep(time.Second)
			back()
			time.Sleep(20 * time.Second)
			stop()
			is.Equal(f.prefillCount(), 8)
			is.Equal(len(f.orders), 4)
		})
	}
}

// If all engines of a role are lost for good, others must take the role, however few are left.
func TestLostRoleIsRefilled(t *testing.T) {
	for _, c := range []struct {
		name            string
		prefill, decode int
		lost            []string
		wantPrefill     int
	}{
		{"all decode engines, two engines left", 2, 2, []string{"e02", "e03"}, 1},
		{"all prefill engines, two engines left", 2, 2, []string{"e00", "e01"}, 1},
		{"all decode engines, one engine left", 1, 1, []string{"e01"}, 0},
		{"all prefill engines, one engine left", 1, 1, []string{"e00"}, 0},
		{"all decode engines, three engines left", 3, 2, []string{"e03", "e04"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeEngines(newInstances(c.prefill, c.decode), 0, 1)
				stop := startHolder(t, storetest.NewPlatform(time.Second), f, "h")
				time.Sleep(10 * time.Second)
				f.crash(c.lost...)
				time.Sleep(20 * time.Second)
				stop()
				is.Equal(f.prefillCount(), c.wantPrefill)
				is.Equal(len(f.problems), 0)
			})
		})
	}
}

// TestHoldsNoConflictingRoleOrders restarts hosts and cuts them off from the store at random
// while orders are carried out late or not answered.
func TestHoldsNoConflictingRoleOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lateProbability := rapid.SampledFrom([]float64{0, 0.4, 0.9}).Draw(rt, "late")
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 4, 12).Draw(rt, "troubles")
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = simulateHolders(t, seed, lateProbability, faults) })
		if len(problems) > 0 {
			rt.Fatal(problems[0])
		}
	})
}

// simulateHolders runs three hosts with the given faults and returns the problems that the
// engines recorded. A fault below 3 restarts that host; one from 3 to 5 cuts host fault-3 off
// from the store or connects it again.
func simulateHolders(t *testing.T, seed uint64, lateProbability float64, faults []int) []string {
	f := newFakeEngines(newInstances(4, 8), lateProbability, seed)
	p := storetest.NewPlatform(time.Second)
	isCutOff := map[string]bool{}
	var mu sync.Mutex
	p.SetScript(func(c storetest.Call) storetest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if isCutOff[c.Caller] {
			return storetest.Refuse
		}
		return storetest.None
	})
	var done sync.WaitGroup
	stops := make([]context.CancelFunc, 3)
	start := func(i, run int) {
		ctx, cancel := context.WithCancel(t.Context())
		stops[i] = cancel
		done.Go(func() { _ = newManager(t, p, f, fmt.Sprint("h", i), run).Run(ctx) })
	}
	for i := range stops {
		start(i, 1)
	}
	for n, fault := range faults {
		time.Sleep(time.Duration(500+700*n) * time.Millisecond)
		i := fault % len(stops)
		if fault < len(stops) { // restart the host without a pause
			stops[i]()
			start(i, n+2)
			continue
		}
		mu.Lock()
		isCutOff[fmt.Sprint("h", i)] = !isCutOff[fmt.Sprint("h", i)]
		mu.Unlock()
	}
	time.Sleep(30 * time.Second)
	for _, stop := range stops {
		stop()
	}
	done.Wait()
	time.Sleep(15 * time.Second) // longer than an order can be late
	return f.problems
}
