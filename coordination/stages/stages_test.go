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
		is.True(n >= 1) // domain keeps an engine that generates
		_ = domain
	}
	is.Equal(len(Plan(list, 4)), 0)
	is.Equal(Plan(list, 3)[0].Role, state.RoleDecode)
}

// given is one order as an engine got it.
type receivedOrder struct {
	at     time.Time
	holder string
	fence  uint64
}

// fakeEngines carry orders out as the platform's do, at once or late, and note them.
type fakeEngines struct {
	// resizing says that the number of engines is about to change.
	resizing        bool
	mu              sync.Mutex
	engines         map[state.InstanceID]*fakeEngine
	rng             *rand.Rand
	lateProbability float64
	orders          []receivedOrder
	problems        []string
	// announced is when a change of each engine was announced last.
	announced map[state.InstanceID]time.Time
	// perEngine is what an engine that generates would have active and waiting if
	// all did.
	loadPerEngine float64
	// ordered is called once, with the first order; nil for nothing.
	onFirstOrder func()
}

type fakeEngine struct {
	instance  state.Instance
	accepted  uint64
	busyUntil time.Time
}

const roleSwitchTime = 3 * time.Second

func newFakeEngines(list []state.Instance, lateProbability float64, seed uint64) *fakeEngines {
	f := &fakeEngines{engines: map[state.InstanceID]*fakeEngine{}, announced: map[state.InstanceID]time.Time{}, rng: rand.New(rand.NewPCG(seed, 7)), lateProbability: lateProbability}
	for _, i := range list {
		f.engines[i.ID] = &fakeEngine{instance: i}
	}
	return f
}

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

// instances are the engines as they are, without what the list lags behind; f.mu is
// held.
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

// runOf is the run that answers for an engine: that of the id, or the one that has
// restarted under its name.
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
		return "", errors.New("no answer")
	}
	return f.apply(i.ID, o), nil
}

// isResizing reports what the test has set.
func (f *fakeEngines) isResizing(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resizing
}

// announce notes which engines are about to change.
func (f *fakeEngines) announce(_ context.Context, changes []RoleChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		f.announced[c.Instance.ID] = time.Now()
	}
}

// orderCount is the number of orders that engines got so far.
func (f *fakeEngines) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

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

const termGap = 3 * time.Second

// judge checks an order against those before it.
func (f *fakeEngines) checkOrder(o Order) {
	now := time.Now()
	for _, r := range f.orders {
		switch {
		case r.holder != o.Holder && r.fence == o.Fence:
			f.problems = append(f.problems, fmt.Sprintf("%s and %s share the fence %d", r.holder, o.Holder, o.Fence))
		case o.Fence < r.fence:
			f.problems = append(f.problems, fmt.Sprintf("fence %d after %d", o.Fence, r.fence))
		case r.holder != o.Holder && now.Sub(r.at) < termGap:
			f.problems = append(f.problems, fmt.Sprintf("%s orders %s after %s", o.Holder, now.Sub(r.at), r.holder))
		}
	}
	f.orders = append(f.orders, receivedOrder{now, o.Holder, o.Fence})
}

// crash takes engines out of the list until back is called.
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

func newManager(t testing.TB, p *storetest.Platform, f *fakeEngines, host string, run int) *Manager {
	return newManagerWithClock(t, clocktest.Bubble{}, p, f, host, run)
}

// newManagerAt has a clock of its own.
func newManagerWithClock(t testing.TB, clock state.Clock, p *storetest.Platform, f *fakeEngines, host string, run int) *Manager {
	lessor, err := lease.New(lease.Options{
		Store: p.Client(host), Clock: clock, Rand: rand.New(rand.NewPCG(uint64(run), uint64(len(host)))),
		Name: "engine-roles", Holder: state.HostID{Name: host, Incarnation: fmt.Sprint(run)}, TTL: 6 * time.Second, Machine: host,
		Apart: termGap, CallTime: time.Second, MayBeLost: func() bool { return store.EpochOf(p.Revision()) > 0 },
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

// Run holds the lease whenever it can and gives orders, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	return m.o.Lease.Run(ctx, func(ctx context.Context) error {
		m.Hold(ctx)
		return nil
	})
}

// runHolder runs a manager until the returned function is called.
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
		is.Equal(len(f.orders), 4) // from 4 to 8 of 12
		is.Equal(len(f.problems), 0)
		is.Equal(f.orders[0].holder, f.orders[3].holder)
	})
}

// A first split waits until the number of engines is as it will be: orders to engines that are
// about to leave would be in vain.
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

// A holder whose machine is suspended in the midst of its orders gives none of the others when it
// is back: another host has the lease by then, though no timer here says that time has passed.
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
		time.Sleep(termGap) // the time in which another holder's orders mustn't meet this one's
		orders := f.orderCount()
		cancel()
		done.Wait()
		is.Equal(orders, 1)
	})
}

// restart lets an engine start again under its name, with the role that it had at first.
func (f *fakeEngines) restart(name string, born int64, role state.Role) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.currentRun(state.InstanceID{Name: name}).instance
	delete(f.engines, before.ID)
	before.ID.Born, before.Role = born, role
	f.engines[before.ID] = &fakeEngine{instance: before}
}

// An engine that restarts under its name has carried out no order: what was ordered of
// the former run counts no more, and the new one is brought to the split.
func TestOrdersOfPreviousRunAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(4, 8), 0, 1)
		stop := startHolder(t, storetest.NewPlatform(time.Second), f, "h")
		time.Sleep(5 * time.Second) // four of eight have just been ordered to read
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

// The list still shows the former run while another answers the report: nothing is
// ordered by the count of orders of a run that isn't listed.
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

// A holder that takes over in the middle of a crash finds the split of the one before
// it, not a first split to be ordered.
func TestCrashDuringTakeoverChangesNoRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(8, 4), 0, 1)
		p := storetest.NewPlatform(time.Second)
		stop := startHolder(t, p, f, "h1")
		time.Sleep(10 * time.Second)
		stop()
		stop = startHolder(t, p, f, "h2")
		time.Sleep(termGap) // it keeps silence for a second more
		back := f.crash("e00", "e01", "e02")
		time.Sleep(3 * time.Second)
		back()
		time.Sleep(time.Minute)
		stop()
		is.Equal(len(f.orders), 0)
	})
}

// A holder knows the load of the engines when its silence ends: it acts on it at once,
// and not before.
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
		time.Sleep(3 * time.Second) // the list stands for 1.2 s before the first look
		stop()
		is.True(len(f.orders) > 0)
		is.True(f.orders[0].at.Sub(startedAt) < termGap+4*time.Second)
		is.Equal(len(f.problems), 0)
	})
}

// All hosts were killed: the holder's machine goes on without a silence, as nobody else
// can have ordered since.
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
		p.SetScript(func(storetest.Call) storetest.Fault { return storetest.Refuse }) // it can't give the lease back
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

// Runners list themselves one after the other when a deployment starts: a first plan of
// some of them would give a split near that of all, which is then left alone.
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

// A service whose engines of one role are lost for good gets others for it, however
// few are left.
func TestLostRoleIsRefilled(t *testing.T) {
	for _, c := range []struct {
		name            string
		prefill, decode int
		lost            []string
		wantPrefill     int
	}{
		{"all that generate, two left", 2, 2, []string{"e02", "e03"}, 1},
		{"all that read, two left", 2, 2, []string{"e00", "e01"}, 1},
		{"all that generate, one left", 1, 1, []string{"e01"}, 0},
		{"all that read, one left", 1, 1, []string{"e00"}, 0},
		{"all that generate, three left", 3, 2, []string{"e03", "e04"}, 1},
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

// TestHoldsNoConflictingRoleOrders kills, restarts and cuts off hosts at random
// while orders are answered late or never.
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
		if fault < len(stops) { // a restart at once
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
	time.Sleep(15 * time.Second) // orders that come late
	return f.problems
}
