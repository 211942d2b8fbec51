package scale

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

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// cloud is a platform that starts and ends runners as it is ordered to.
type fakeCloud struct {
	mu       sync.Mutex
	spec     state.ServiceSpec
	runners  map[string]*runner
	nextID   int
	desired  Counts
	noSpot   map[string]bool
	requests int
	// lost loses the answers to orders, broken lets no runner boot.
	dropReplies, failBoots bool
	terms                  []uint64
}

type runner struct {
	pool     Pool
	readyAt  time.Time
	draining bool
}

func newFakeCloud(onDemand int) *fakeCloud {
	spec := threeDomainSpec()
	c := &fakeCloud{spec: state.ServiceSpec{Name: "llm", Scale: &spec}, runners: map[string]*runner{}, desired: Counts{}, noSpot: map[string]bool{}}
	for i := range onDemand {
		p := Pool{[]string{"nord", "sud", "depot"}[i%3], OnDemand}
		c.desired[p]++
		c.start(p, time.Now())
	}
	return c
}

func (c *fakeCloud) start(p Pool, readyAt time.Time) {
	c.nextID++
	c.runners[fmt.Sprint("r", c.nextID)] = &runner{pool: p, readyAt: readyAt}
}

// SetDesired implements Platform.
func (c *fakeCloud) SetDesired(_ context.Context, term uint64, _ string, p Pool, desired int, permit func() error) error {
	if err := permit(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.terms = append(c.terms, term)
	if p.Kind == Spot && c.noSpot[p.FailureDomain] && desired > c.count(p) {
		return ErrUnavailable
	}
	c.desired[p] = desired
	for c.count(p) < desired && !c.failBoots {
		c.start(p, time.Now().Add(c.spec.Scale.Boot))
	}
	for name, r := range c.runners {
		if r.pool == p && !r.draining && c.count(p) > desired {
			r.draining = true
			time.AfterFunc(3*time.Second, func() { c.remove(name) })
		}
	}
	if c.dropReplies {
		return errors.New("no answer")
	}
	return nil
}

// count is the number of a place's runners that stay.
func (c *fakeCloud) count(p Pool) int {
	n := 0
	for _, r := range c.runners {
		if r.pool == p && !r.draining {
			n++
		}
	}
	return n
}

func (c *fakeCloud) remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runners, name)
}

// reclaim takes the spot runners of a domain back, with a notice of two seconds.
func (c *fakeCloud) reclaim(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noSpot[domain] = true
	for name, r := range c.runners {
		if r.pool == (Pool{domain, Spot}) {
			r.draining = true
			time.AfterFunc(2*time.Second, func() { c.remove(name) })
		}
	}
}

func (c *fakeCloud) setNoSpot(noSpot bool, domains ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range domains {
		c.noSpot[d] = noSpot
	}
}

// list are the runners that are listed.
func (c *fakeCloud) list(string) []state.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []state.Instance
	for name, r := range c.runners {
		if !r.readyAt.After(time.Now()) {
			out = append(out, state.Instance{ID: state.InstanceID{Name: name}, Service: "llm", FailureDomain: r.pool.FailureDomain, Spot: r.pool.Kind == Spot, Draining: r.draining})
		}
	}
	return out
}

// serving is the number of runners that take work.
func (c *fakeCloud) serving() int {
	n := 0
	for _, i := range c.list("") {
		if !i.Draining {
			n++
		}
	}
	return n
}

// leastServing watches for so long and returns the least number that took work.
func (c *fakeCloud) minServing(span time.Duration) int {
	least := c.serving()
	for deadline := time.Now().Add(span); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		least = min(least, c.serving())
	}
	return least
}

func (c *fakeCloud) countByPool() Counts {
	out := Counts{}
	for _, i := range c.list("") {
		kind := OnDemand
		if i.Spot {
			kind = Spot
		}
		out[Pool{i.FailureDomain, kind}]++
	}
	return out
}

func (c *fakeCloud) requestCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// hold runs a manager on a host until the returned function is called.
func startManager(t *testing.T, c *fakeCloud, p *storetest.Platform, host string) (stop func()) {
	t.Helper()
	lessor, err := lease.New(lease.Options{
		Store: p.Client(host), Clock: clocktest.Bubble{}, Rand: rand.New(rand.NewPCG(1, uint64(len(host)))), Name: "duties",
		Holder: state.HostID{Name: host, Incarnation: "1"}, Machine: host, TTL: 6 * time.Second, Apart: 3 * time.Second, CallTime: time.Second,
		MayBeLost: func() bool { return store.EpochOf(p.Revision()) > 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(Options{
		Platform: c, Lease: lessor, InitialCounts: InitialCounts{p.Client(host)}, Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
		Services: func() []state.ServiceSpec { return []state.ServiceSpec{c.spec} }, Instances: c.list, RequiredShare: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		_ = lessor.Run(ctx, func(ctx context.Context) error {
			m.Hold(ctx)
			return nil
		})
	})
	return func() {
		cancel()
		group.Wait()
	}
}

// inCloud plays a test on 57 on-demand runners and one holder.
func runWithCloud(t *testing.T, body func(is *is.I, c *fakeCloud, p *storetest.Platform, stop func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, p := newFakeCloud(57), storetest.NewPlatform(time.Second)
		var once sync.Once
		stopManager := startManager(t, c, p, "h")
		stop := func() { once.Do(stopManager) }
		defer stop()
		body(is.New(t), c, p, stop)
		stop()
		time.Sleep(10 * time.Second) // what leaves is gone
	})
}

// The fleet turns into spot runners without a moment of fewer runners than it had.
func TestOnDemandRunnersDrainOnlyAfterSpotRunnersServe(t *testing.T) {
	runWithCloud(t, func(is *is.I, c *fakeCloud, _ *storetest.Platform, _ func()) {
		is.True(c.minServing(30*time.Second) >= 57)
		n := c.countByPool()
		is.True(n.total() < 95)
		is.Equal(n[Pool{"nord", OnDemand}]+n[Pool{"sud", OnDemand}]+n[Pool{"depot", OnDemand}], 0)
		before := c.requestCount()
		time.Sleep(time.Minute)
		is.Equal(c.requestCount(), before) // nothing flaps
	})
}

// A domain's spot runners are taken back and none are to be had for a while.
func TestReclaimedSpotRunnersAreRequestedAgain(t *testing.T) {
	runWithCloud(t, func(is *is.I, c *fakeCloud, _ *storetest.Platform, _ func()) {
		time.Sleep(20 * time.Second)
		before := c.requestCount()
		c.reclaim("sud")
		c.setNoSpot(true, "nord", "sud", "depot")
		is.True(c.minServing(9*time.Second) >= 57)
		c.setNoSpot(false, "nord", "sud", "depot")
		time.Sleep(10 * time.Second)
		is.True(c.countByPool()[Pool{"sud", Spot}] >= 28)
		is.True(c.requestCount()-before < 15) // a dry domain is asked each two seconds
	})
}

// None to be had from the start: the runners that there are stay.
func TestUnavailableSpotKeepsOnDemandRunners(t *testing.T) {
	runWithCloud(t, func(is *is.I, c *fakeCloud, _ *storetest.Platform, _ func()) {
		c.setNoSpot(true, "nord", "sud", "depot")
		is.True(c.minServing(30*time.Second) >= 56)
	})
}

// Runners that are ordered and never boot are no reason to send away those that there are.
func TestFailedBootsDrainNoRunner(t *testing.T) {
	runWithCloud(t, func(is *is.I, c *fakeCloud, _ *storetest.Platform, _ func()) {
		c.mu.Lock()
		c.failBoots = true
		c.mu.Unlock()
		is.True(c.minServing(60*time.Second) >= 57)
	})
}

// A holder is lost in the middle; its successor knows what the fleet started with from the
// store, and does not take twice the number for the need.
func TestNextHolderUsesStoredInitialCount(t *testing.T) {
	runWithCloud(t, func(is *is.I, c *fakeCloud, p *storetest.Platform, stop func()) {
		time.Sleep(3 * time.Second) // the first orders are out
		stop()
		stopNext := startManager(t, c, p, "another")
		defer stopNext()
		is.True(c.minServing(40*time.Second) >= 57)
		is.True(c.countByPool().total() < 95)
		is.True(c.terms[len(c.terms)-1] > c.terms[0])
	})
}

// Guards against a need that grows with each holder, because a restored store lost how many runners
// there were at the start: the next holder counts what others have ordered.
func TestInitialCountIsStoredAgainAfterRestore(t *testing.T) {
	runWithCloud(t, func(is *is.I, c *fakeCloud, p *storetest.Platform, stop func()) {
		time.Sleep(20 * time.Second)
		p.RestoreBefore(time.Minute)
		time.Sleep(10 * time.Second)
		stop()
		n, err := InitialCounts{p.Client("test")}.LoadOrStore(context.Background(), c.spec.Name, 999)
		is.NoErr(err)
		is.Equal(n, 57)
	})
}

// Orders whose answers are lost are given again and do no harm.
func TestRequestsWithLostRepliesAreRepeated(t *testing.T) {
	runWithCloud(t, func(is *is.I, c *fakeCloud, _ *storetest.Platform, _ func()) {
		c.mu.Lock()
		c.dropReplies = true
		c.mu.Unlock()
		is.True(c.minServing(20*time.Second) >= 57)
		c.mu.Lock()
		c.dropReplies = false
		c.mu.Unlock()
		time.Sleep(20 * time.Second)
		is.True(c.countByPool().total() < 95)
	})
}

// Two domains' spot runners are taken back within a second and none are to be had: runners on
// demand are ordered at the notice of the second, so that they serve two seconds after its
// runners are gone at the latest (a boot takes four, the notice is of two).
func TestSecondReclaimIsReplacedOnNotice(t *testing.T) {
	runWithCloud(t, func(is *is.I, c *fakeCloud, _ *storetest.Platform, _ func()) {
		time.Sleep(20 * time.Second)
		c.setNoSpot(true, "nord", "sud", "depot")
		c.reclaim("depot")
		time.Sleep(time.Second)
		c.reclaim("sud")
		time.Sleep(4800 * time.Millisecond)
		is.True(c.serving() >= 57)
		before := c.requestCount()
		time.Sleep(10 * time.Second)
		is.True(c.requestCount()-before <= 3*6) // each domain is asked once in two seconds
		c.setNoSpot(false, "nord", "sud", "depot")
		time.Sleep(30 * time.Second)
		n := c.countByPool()
		is.Equal(n[Pool{"nord", OnDemand}]+n[Pool{"sud", OnDemand}]+n[Pool{"depot", OnDemand}], 0)
		is.True(n.total() >= 84)
	})
}

// Roles wait for engines that are about to leave, and not for those that are still to come.
func TestResizingEndsOnceNoRunnerIsAboutToDrain(t *testing.T) {
	is := is.New(t)
	m := &Manager{}
	plan := Counts{{"nord", Spot}: 29, {"sud", Spot}: 29}
	m.updateResizing("llm", plan, Counts{{"nord", OnDemand}: 19, {"sud", OnDemand}: 19})
	is.True(m.Resizing("llm"))
	m.updateResizing("llm", plan, Counts{{"nord", OnDemand}: 19, {"nord", Spot}: 19, {"sud", Spot}: 19})
	is.True(m.Resizing("llm"))
	m.updateResizing("llm", plan, Counts{{"nord", Spot}: 19, {"sud", Spot}: 19})
	is.True(!m.Resizing("llm"))
}

// Before the first caller of a deployment comes nobody is served, and on-demand runners needn't
// wait for those that take their place; once it may have come, they do.
func TestOnDemandRunnersDrainAtOnceBeforeTraffic(t *testing.T) {
	is := is.New(t)
	spec := threeDomainSpec()
	plan := Counts{{"nord", Spot}: 29, {"sud", Spot}: 29, {"depot", Spot}: 29}
	serving := Counts{{"nord", OnDemand}: 19, {"sud", OnDemand}: 19, {"depot", OnDemand}: 19}
	start := time.Unix(1000, 0)
	m := &Manager{o: Options{NoTrafficUntil: start.Add(12 * time.Second)}}
	drainable := func(requested Counts, at time.Duration) int {
		s := &serviceState{required: 57, requested: requested}
		obs := observation{spec: state.ServiceSpec{Scale: &spec}, plan: plan, serving: serving, listed: serving, now: start.Add(at)}
		return m.countDrainable(s, obs, Pool{"nord", OnDemand}, 19)
	}
	is.Equal(drainable(plan, 6*time.Second), 19)
	is.Equal(drainable(Counts{{"nord", Spot}: 29}, 6*time.Second), 0) // the others weren't granted
	is.Equal(drainable(plan, 7*time.Second), 0)                       // they would serve after that
	m.o.NoTrafficUntil = time.Time{}
	is.Equal(drainable(plan, 6*time.Second), 0)
}
