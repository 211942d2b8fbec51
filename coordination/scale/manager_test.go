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
type cloud struct {
	mu      sync.Mutex
	spec    state.ServiceSpec
	runners map[string]*runner
	next    int
	desired Numbers
	dry     map[string]bool
	orders  int
	// lost loses the answers to orders, broken lets no runner boot.
	lost, broken bool
	terms        []uint64
}

type runner struct {
	place    Place
	serves   time.Time
	draining bool
}

func newCloud(onDemand int) *cloud {
	spec := threeDomains()
	c := &cloud{spec: state.ServiceSpec{Name: "llm", Scale: &spec}, runners: map[string]*runner{}, desired: Numbers{}, dry: map[string]bool{}}
	for i := range onDemand {
		p := Place{[]string{"nord", "sud", "depot"}[i%3], OnDemand}
		c.desired[p]++
		c.start(p, time.Now())
	}
	return c
}

func (c *cloud) start(p Place, serves time.Time) {
	c.next++
	c.runners[fmt.Sprint("r", c.next)] = &runner{place: p, serves: serves}
}

// Order implements Platform.
func (c *cloud) Order(_ context.Context, term uint64, _ string, p Place, desired int, permit func() error) error {
	if err := permit(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders++
	c.terms = append(c.terms, term)
	if p.Kind == Spot && c.dry[p.FailureDomain] && desired > c.count(p) {
		return ErrUnavailable
	}
	c.desired[p] = desired
	for c.count(p) < desired && !c.broken {
		c.start(p, time.Now().Add(c.spec.Scale.Boot))
	}
	for name, r := range c.runners {
		if r.place == p && !r.draining && c.count(p) > desired {
			r.draining = true
			time.AfterFunc(3*time.Second, func() { c.end(name) })
		}
	}
	if c.lost {
		return errors.New("no answer")
	}
	return nil
}

// count is the number of a place's runners that stay.
func (c *cloud) count(p Place) int {
	n := 0
	for _, r := range c.runners {
		if r.place == p && !r.draining {
			n++
		}
	}
	return n
}

func (c *cloud) end(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runners, name)
}

// reclaim takes the spot runners of a domain back, with a notice of two seconds.
func (c *cloud) reclaim(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dry[domain] = true
	for name, r := range c.runners {
		if r.place == (Place{domain, Spot}) {
			r.draining = true
			time.AfterFunc(2*time.Second, func() { c.end(name) })
		}
	}
}

func (c *cloud) setDry(dry bool, domains ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range domains {
		c.dry[d] = dry
	}
}

// list are the runners that are listed.
func (c *cloud) list(string) []state.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []state.Instance
	for name, r := range c.runners {
		if !r.serves.After(time.Now()) {
			out = append(out, state.Instance{ID: state.InstanceID{Name: name}, Service: "llm", FailureDomain: r.place.FailureDomain, Spot: r.place.Kind == Spot, Draining: r.draining})
		}
	}
	return out
}

// serving is the number of runners that take work.
func (c *cloud) serving() int {
	n := 0
	for _, i := range c.list("") {
		if !i.Draining {
			n++
		}
	}
	return n
}

// leastServing watches for so long and returns the least number that took work.
func (c *cloud) leastServing(span time.Duration) int {
	least := c.serving()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		least = min(least, c.serving())
	}
	return least
}

func (c *cloud) places() Numbers {
	out := Numbers{}
	for _, i := range c.list("") {
		kind := OnDemand
		if i.Spot {
			kind = Spot
		}
		out[Place{i.FailureDomain, kind}]++
	}
	return out
}

func (c *cloud) ordersSoFar() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.orders
}

// hold runs a manager on a host until the returned function is called.
func hold(t *testing.T, c *cloud, p *storetest.Platform, host string) (stop func()) {
	t.Helper()
	lessor, err := lease.New(lease.Options{
		Store: p.Client(host), Clock: clocktest.Bubble{}, Rand: rand.New(rand.NewPCG(1, uint64(len(host)))), Name: "duties",
		Holder: state.HostID{Name: host, Incarnation: "1"}, Machine: host, TTL: 6 * time.Second, CallGap: 3 * time.Second, MaxCallTime: time.Second,
		MayBeLost: func() bool { return store.EpochOf(p.Revision()) > 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(Options{
		Platform: c, Lease: lessor, Needs: Needs{p.Client(host)}, Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
		Services: func() []state.ServiceSpec { return []state.ServiceSpec{c.spec} }, Instances: c.list, NeedShare: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() {
		_ = lessor.Run(ctx, func(ctx context.Context) error {
			m.Hold(ctx)
			return nil
		})
	})
	return func() {
		cancel()
		ended.Wait()
	}
}

// inCloud plays a test on 57 on-demand runners and one holder.
func inCloud(t *testing.T, play func(is *is.I, c *cloud, p *storetest.Platform, stop func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, p := newCloud(57), storetest.NewPlatform(time.Second)
		var once sync.Once
		end := hold(t, c, p, "h")
		stop := func() { once.Do(end) }
		defer stop()
		play(is.New(t), c, p, stop)
		stop()
		time.Sleep(10 * time.Second) // what leaves is gone
	})
}

// The fleet turns into spot runners without a moment of fewer runners than it had.
func TestOnDemandRunnersStayUntilOthersServe(t *testing.T) {
	inCloud(t, func(is *is.I, c *cloud, _ *storetest.Platform, _ func()) {
		is.True(c.leastServing(30*time.Second) >= 57)
		n := c.places()
		is.True(n.total() < 95)
		is.Equal(n[Place{"nord", OnDemand}]+n[Place{"sud", OnDemand}]+n[Place{"depot", OnDemand}], 0)
		before := c.ordersSoFar()
		time.Sleep(time.Minute)
		is.Equal(c.ordersSoFar(), before) // nothing flaps
	})
}

// A domain's spot runners are taken back and none are to be had for a while.
func TestReclaimedDomainIsReplacedWhenItCanBe(t *testing.T) {
	inCloud(t, func(is *is.I, c *cloud, _ *storetest.Platform, _ func()) {
		time.Sleep(20 * time.Second)
		before := c.ordersSoFar()
		c.reclaim("sud")
		c.setDry(true, "nord", "sud", "depot")
		is.True(c.leastServing(9*time.Second) >= 57)
		c.setDry(false, "nord", "sud", "depot")
		time.Sleep(10 * time.Second)
		is.True(c.places()[Place{"sud", Spot}] >= 28)
		is.True(c.ordersSoFar()-before < 15) // a dry domain is asked each two seconds
	})
}

// None to be had from the start: the runners that there are stay.
func TestNoSpotRunnersChangeNothing(t *testing.T) {
	inCloud(t, func(is *is.I, c *cloud, _ *storetest.Platform, _ func()) {
		c.setDry(true, "nord", "sud", "depot")
		is.True(c.leastServing(30*time.Second) >= 56)
	})
}

// Runners that are ordered and never boot are no reason to send away those that there are.
func TestBootsThatFailSendNobodyAway(t *testing.T) {
	inCloud(t, func(is *is.I, c *cloud, _ *storetest.Platform, _ func()) {
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
		is.True(c.leastServing(60*time.Second) >= 57)
	})
}

// A holder is lost in the middle; its successor knows what the fleet started with from the
// store, and does not take twice the number for the need.
func TestSuccessorKeepsTheNeed(t *testing.T) {
	inCloud(t, func(is *is.I, c *cloud, p *storetest.Platform, stop func()) {
		time.Sleep(3 * time.Second) // the first orders are out
		stop()
		next := hold(t, c, p, "another")
		defer next()
		is.True(c.leastServing(40*time.Second) >= 57)
		is.True(c.places().total() < 95)
		is.True(c.terms[len(c.terms)-1] > c.terms[0])
	})
}

// Guards against a need that grows with each holder, because a restored store lost how many runners
// there were at the start: the next holder counts what others have ordered.
func TestNeedThatARestoredStoreLostIsKeptAgain(t *testing.T) {
	inCloud(t, func(is *is.I, c *cloud, p *storetest.Platform, stop func()) {
		time.Sleep(20 * time.Second)
		p.RestoreBefore(time.Minute)
		time.Sleep(10 * time.Second)
		stop()
		n, err := Needs{p.Client("test")}.First(context.Background(), c.spec.Name, 999)
		is.NoErr(err)
		is.Equal(n, 57)
	})
}

// Orders whose answers are lost are given again and do no harm.
func TestLostAnswersAreOrderedAgain(t *testing.T) {
	inCloud(t, func(is *is.I, c *cloud, _ *storetest.Platform, _ func()) {
		c.mu.Lock()
		c.lost = true
		c.mu.Unlock()
		is.True(c.leastServing(20*time.Second) >= 57)
		c.mu.Lock()
		c.lost = false
		c.mu.Unlock()
		time.Sleep(20 * time.Second)
		is.True(c.places().total() < 95)
	})
}

// Two domains' spot runners are taken back within a second and none are to be had: runners on
// demand are ordered at the notice of the second, so that they serve two seconds after its
// runners are gone at the latest (a boot takes four, the notice is of two).
func TestSecondReclaimIsReplacedAtItsNotice(t *testing.T) {
	inCloud(t, func(is *is.I, c *cloud, _ *storetest.Platform, _ func()) {
		time.Sleep(20 * time.Second)
		c.setDry(true, "nord", "sud", "depot")
		c.reclaim("depot")
		time.Sleep(time.Second)
		c.reclaim("sud")
		time.Sleep(4800 * time.Millisecond)
		is.True(c.serving() >= 57)
		before := c.ordersSoFar()
		time.Sleep(10 * time.Second)
		is.True(c.ordersSoFar()-before <= 3*6) // each domain is asked once in two seconds
		c.setDry(false, "nord", "sud", "depot")
		time.Sleep(30 * time.Second)
		n := c.places()
		is.Equal(n[Place{"nord", OnDemand}]+n[Place{"sud", OnDemand}]+n[Place{"depot", OnDemand}], 0)
		is.True(n.total() >= 84)
	})
}

// Roles wait for engines that are about to leave, and not for those that are still to come.
func TestResizingEndsOnceNobodyIsAboutToLeave(t *testing.T) {
	is := is.New(t)
	m := &Manager{}
	plan := Numbers{{"nord", Spot}: 29, {"sud", Spot}: 29}
	m.noteResizing("llm", plan, Numbers{{"nord", OnDemand}: 19, {"sud", OnDemand}: 19})
	is.True(m.Resizing("llm"))
	m.noteResizing("llm", plan, Numbers{{"nord", OnDemand}: 19, {"nord", Spot}: 19, {"sud", Spot}: 19})
	is.True(m.Resizing("llm"))
	m.noteResizing("llm", plan, Numbers{{"nord", Spot}: 19, {"sud", Spot}: 19})
	is.True(!m.Resizing("llm"))
}

// Before the first caller of a deployment comes nobody is served, and on-demand runners needn't
// wait for those that take their place; once it may have come, they do.
func TestOnDemandRunnersLeaveAtOnceBeforeTheFirstCaller(t *testing.T) {
	is := is.New(t)
	spec := threeDomains()
	plan := Numbers{{"nord", Spot}: 29, {"sud", Spot}: 29, {"depot", Spot}: 29}
	serving := Numbers{{"nord", OnDemand}: 19, {"sud", OnDemand}: 19, {"depot", OnDemand}: 19}
	start := time.Unix(1000, 0)
	m := &Manager{o: Options{QuietUntil: start.Add(12 * time.Second)}}
	leaving := func(ordered Numbers, at time.Duration) int {
		s := &service{need: 57, ordered: ordered}
		l := look{spec: state.ServiceSpec{Scale: &spec}, plan: plan, serving: serving, listed: serving, now: start.Add(at)}
		return m.mayLeave(s, l, Place{"nord", OnDemand}, 19)
	}
	is.Equal(leaving(plan, 6*time.Second), 19)
	is.Equal(leaving(Numbers{{"nord", Spot}: 29}, 6*time.Second), 0) // the others weren't granted
	is.Equal(leaving(plan, 7*time.Second), 0)                        // they would serve after that
	m.o.QuietUntil = time.Time{}
	is.Equal(leaving(plan, 6*time.Second), 0)
}
