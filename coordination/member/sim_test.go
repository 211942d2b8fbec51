package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/member"
	"github.com/thymerack/thymerack/coordination/member/membertest"
	"github.com/thymerack/thymerack/coordination/snapshot"
)

const (
	fuzzHosts    = 5
	longest      = 8 * time.Second // the longest request
	changeTime   = 2 * time.Second // an engine's role change
	drainTimeout = 40 * time.Second
	longOneIn    = 150 // one request in so many is of the longest, the others are short
)

// step is one action of a schedule, on one host, after a pause. A fault that it
// brings lasts for a while.
type step struct {
	After, For time.Duration
	Do         string
	Host       int
}

// engines is the truth: what runs where, and who is being changed.
type engines struct {
	mu       sync.Mutex
	running  map[string]int
	changing map[string]bool
	problem  error
	changes  int
	served   int
}

// begin notes a request that reaches an engine.
func (e *engines) begin(engine string, at *membertest.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served++
	e.running[engine]++
	if e.changing[engine] && e.problem == nil {
		e.problem = fmt.Errorf("%v sent work to %s during its change", at.ID, engine)
	}
}

func (e *engines) end(engine string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[engine]--
}

// change notes that an engine is given its order.
func (e *engines) change(engine string, by *membertest.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changing[engine] = true
	e.changes++
	if n := e.running[engine]; n > 0 && e.problem == nil {
		e.problem = fmt.Errorf("%v changed %s while %d requests ran there", by.ID, engine, n)
	}
}

func (e *engines) settle(engine string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changing[engine] = false
}

// run is one fuzzing run.
type run struct {
	*membertest.Fleet
	truth    engines
	names    []string
	planning map[string]bool
	down     atomic.Bool // a host is cut off from the platform alone
	runs     int
	ctx      context.Context
	routines sync.WaitGroup
}

// runSchedule carries a schedule out and returns what came of it.
func runSchedule(t *testing.T, seed uint64, steps []step, setup func(*member.Manager)) *engines {
	var truth *engines
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		names := []string{"e0", "e1"}
		r := &run{
			Fleet: membertest.New(membertest.Options{
				Seed: seed, Engines: names, Feeds: true, LossShare: 0.1, DoubleShare: 0.1,
				MaxDelay: 400 * time.Millisecond, LostAnswerShare: 0.05, Member: shortBounds,
				Setup: func(h *membertest.Host) { setup(h.Manager) },
			}),
			truth: engines{running: map[string]int{}, changing: map[string]bool{}},
			names: names, planning: map[string]bool{}, ctx: ctx,
		}
		for i := range fuzzHosts - 1 {
			r.start(i)
		}
		time.Sleep(3 * time.Second)
		r.routines.Go(r.keepPlanning)
		for _, s := range steps {
			time.Sleep(s.After)
			r.do(s)
		}
		time.Sleep(10 * time.Second)
		cancel()
		r.Close()
		r.routines.Wait()
		truth = &r.truth
	})
	return truth
}

func shortBounds(o *member.Options) {
	o.LongestDeadline = longest
	o.IsolatedAfter = 3 * time.Second
	o.SponsorFor = 2 * time.Second
	o.LapseAfter = 4 * time.Second
	o.GoneBound = 18 * time.Second
}

// start starts a new run of the i-th host and its callers.
func (r *run) start(i int) {
	r.runs++
	h := r.Start(membertest.Name(i), fmt.Sprintf("%04d", r.runs))
	r.routines.Go(func() {
		random := rand.New(rand.NewPCG(uint64(i), uint64(len(h.ID.Incarnation))))
		for (clocktest.Bubble{}).Sleep(h.Context, time.Duration(random.Int64N(int64(600*time.Millisecond)))) == nil {
			engine := r.names[random.IntN(len(r.names))]
			length := longest
			if random.IntN(longOneIn) > 0 {
				length = time.Duration(random.Int64N(int64(longest / 40)))
			}
			r.routines.Go(func() { r.request(h, engine, length) })
		}
	})
}

// request is the path of a request: look, count in, look at the deadline, send.
// A killed host's connections end with it; a paused host's go on at the engine.
func (r *run) request(h *membertest.Host, engine string, length time.Duration) {
	deadline := time.Now().Add(longest)
	h.Wait()
	if h.Isolated() || h.Context.Err() != nil {
		return
	}
	runner := h.Keeper.View().Runner(engine)
	if runner == nil || !runner.TakesWork() {
		return
	}
	h.Wait()
	ticket := h.Keeper.Enter(runner, snapshot.Work{Requests: 1})
	if ticket == nil {
		return
	}
	defer ticket.Done()
	if !time.Now().Before(deadline) || h.Context.Err() != nil {
		return
	}
	r.truth.begin(engine, h)
	_ = clocktest.Bubble{}.Sleep(h.Context, min(length, time.Until(deadline)))
	r.truth.end(engine)
	h.Wait()
}

// do brings one fault about and lets it pass later.
func (r *run) do(s step) {
	name := membertest.Name(s.Host)
	h := r.Host(name)
	switch s.Do {
	case "platform down":
		r.SetPlatform(true, membertest.Everyone)
		r.later(s.For/4, func() { r.SetPlatform(false, membertest.Everyone) })
	case "host platform down":
		r.cutPlatform(s)
	case "cut":
		r.SetGroup(s.Host+1, name)
		r.later(s.For, func() { r.SetGroup(0, name) })
	case "deaf":
		r.deafen(s)
	case "drain":
		r.planAt(s.Host)
	case "long requests":
		for _, engine := range r.names {
			if h != nil {
				r.routines.Go(func() { r.request(h, engine, longest) })
			}
		}
	case "kill":
		r.kill(h)
	case "kill sponsor":
		if h != nil {
			r.kill(r.Host(h.SponsoredBy().Name))
		}
	case "sponsor leaves":
		if h != nil {
			r.leaveLater(r.Host(h.SponsoredBy().Name))
		}
	case "start":
		if h == nil {
			r.start(s.Host)
		}
	case "replace": // the old run goes on until it notices
		r.start(s.Host)
	case "down and deaf":
		if r.cutPlatform(s) {
			r.deafen(s)
		}
	case "late start", "late and deaf": // the peers reach the platform, the host doesn't
		if r.cutPlatform(s) {
			r.kill(h)
			r.start(s.Host)
		}
		if s.Do == "late and deaf" {
			r.deafen(s)
		}
	case "pause":
		if h != nil {
			h.Pause()
			r.later(s.For, h.Resume)
		}
	case "leave":
		r.leaveLater(h)
	}
}

func (r *run) later(after time.Duration, undo func()) {
	r.routines.Go(func() {
		if (clocktest.Bubble{}).Sleep(r.ctx, after) == nil {
			undo()
		}
	})
}

func (r *run) deafen(s step) {
	r.SetDeaf(true, membertest.Name(s.Host))
	r.later(s.For, func() { r.SetDeaf(false, membertest.Name(s.Host)) })
}

// cutPlatform takes the platform away from one host alone, and reports whether
// no other host was in that state. Two such hosts could hear each other and
// nobody else, which is outside of what GoneFor promises.
func (r *run) cutPlatform(s step) bool {
	if !r.down.CompareAndSwap(false, true) {
		return false
	}
	r.SetPlatform(true, membertest.Name(s.Host))
	r.later(s.For, func() {
		r.SetPlatform(false, membertest.Name(s.Host))
		r.down.Store(false)
	})
	return true
}

func (r *run) leaveLater(h *membertest.Host) {
	if h != nil {
		r.routines.Go(func() { r.leave(h) })
	}
}

func (r *run) kill(h *membertest.Host) {
	if h != nil {
		h.Kill()
	}
}

// keepPlanning lets random hosts change engines.
func (r *run) keepPlanning() {
	random := rand.New(rand.NewPCG(9, 9))
	for (clocktest.Bubble{}).Sleep(r.ctx, 5*time.Second+time.Duration(random.Int64N(int64(10*time.Second)))) == nil {
		r.planAt(random.IntN(fuzzHosts))
	}
}

// planAt lets a host change the engines, if it reaches the platform.
func (r *run) planAt(host int) {
	h := r.Host(membertest.Name(host))
	if h == nil || r.PlatformDown(h.ID.Name) {
		return
	}
	for _, engine := range r.names {
		r.routines.Go(func() { r.plan(h, engine) })
	}
}

// leave is a graceful shutdown: no new requests, the running ones finish, then
// the host leaves; one that can't is killed after a while.
func (r *run) leave(h *membertest.Host) {
	ctx, cancel := context.WithTimeout(h.Context, 30*time.Second)
	defer cancel()
	for h.Leave(ctx) != nil && ctx.Err() == nil {
		_ = clocktest.Bubble{}.Sleep(ctx, time.Second)
	}
	h.Kill()
}
