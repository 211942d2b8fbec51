package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/buffers/buffertest"
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// These tests guard against one request that crashes many engines. A caller repeated such a
// request about once a second, each time with a new ID and through another host. Each engine that
// began to generate for it ended about 80 ms later with all its runs and was back after 3 s: four
// engines crashed 16 times in 40 s, until hardly any request of the service had an engine.
//
// Each copy was answered with a 502. Attempts are bounded for each request ID and at each host, so
// that the next copy was a new request to the host that it reached. The digest of the content is
// the same for all copies, whatever else runs at the engines that crash.

const (
	// crashDelay is the time from the start of the request to the end of its engine, and
	// restartDelay the time until the engine is back.
	crashDelay   = 80 * time.Millisecond
	restartDelay = 3 * time.Second
	// quarantineDelay is the time after the third crash in which all hosts must hold the request.
	quarantineDelay = 3 * time.Second
	// maxLateArrivals bounds the copies that reach an engine after that.
	maxLateArrivals = 3
)

// poison is the body of the request that crashes its runner.
const poison = "poison"

// crashFleet is a set of hosts with common engines. An engine that runs a request with the body
// poison ends.
type crashFleet struct {
	t       *testing.T
	rng     *rand.Rand
	store   *storetest.Platform
	hosts   []*crashHost
	engines []*crashEngine

	mu sync.Mutex
	// crashes are the times at which the request ended an engine, arrivals those at which a copy of
	// it reached one.
	crashes, arrivals []time.Time
	// served and unserved count the other requests.
	served, unserved int
	// firstEvent is the time until an engine that runs the request sends its first event.
	firstEvent time.Duration
	// deadly returns what ends the engine of a request; "" if nothing does. culprits has what each of these did.
	deadly   func(r *Request) string
	culprits map[string]*culprit
	// notice returns the time in which a notice reaches a host, and whether it does.
	notice func(to *crashHost) (time.Duration, bool)
	// acceptAnyRun lets a restarted engine accept requests that were meant for its earlier run.
	acceptAnyRun bool
}

// culprit has the times at which something ended an engine, and those at which a request with it reached one.
type culprit struct{ crashes, arrivals []time.Time }

// crashHost is one host with its own view of the fleet and of the quarantine.
type crashHost struct {
	*Dispatcher
	f     *crashFleet
	name  string
	fleet *placement.Fleet
	*quarantine.Registry
}

// crashEngine is one engine, or a runner of a plain service if it has no role. Its current run
// ends when ended is closed.
type crashEngine struct {
	name string
	role state.Role
	born int64
	up   bool
	// ended is closed when the current run ends.
	ended chan struct{}
}

func (e *crashEngine) instance() state.Instance {
	service := "model"
	if e.role == "" {
		service = "plain"
	}
	return state.Instance{ID: state.InstanceID{Name: e.name, Born: e.born}, Service: service, Addr: e.name + ":1", FailureDomain: "d1", Role: e.role, Slots: engineSlots}
}

func newCrashFleet(t *testing.T, seed uint64, hosts int) *crashFleet {
	t.Helper()
	f := &crashFleet{t: t, firstEvent: time.Hour, deadly: poisoned, culprits: map[string]*culprit{}, notice: func(*crashHost) (time.Duration, bool) { return noticeDelay, true }, rng: rand.New(rand.NewPCG(seed, 1)), store: storetest.NewPlatform(20 * time.Second)}
	for n := range 12 {
		e := &crashEngine{name: fmt.Sprint("p", n), role: state.RolePrefill, born: 1, up: true, ended: make(chan struct{})}
		if n < 4 {
			e.name, e.role = fmt.Sprint("d", n), state.RoleDecode
		}
		f.engines = append(f.engines, e)
	}
	for n := range 3 {
		f.engines = append(f.engines, &crashEngine{name: fmt.Sprint("s", n), born: 1, up: true, ended: make(chan struct{})})
	}
	for n := range hosts {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprint("h", n)))
	}
	f.updateLists()
	return f
}

// poisoned returns poison for the request that crashes its runner.
func poisoned(r *Request) string {
	if string(r.Body) == poison {
		return poison
	}
	return ""
}

// of returns what something did. f.mu must be held.
func (f *crashFleet) of(by string) *culprit {
	if f.culprits[by] == nil {
		f.culprits[by] = &culprit{}
	}
	return f.culprits[by]
}

// allHosts returns the hosts that have been started.
func (f *crashFleet) allHosts() []*crashHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts)
}

func (f *crashFleet) newHost(name string) *crashHost {
	f.t.Helper()
	h := &crashHost{f: f, name: name, fleet: placement.NewFleet(placement.Options{Clock: clocktest.Bubble{}, FailureDomain: "d1"})}
	up := &crashUpstream{h}
	h.startQuarantine()
	crashes, err := crash.New(f.t.Context(), crash.Options{
		Probe:    up.probe,
		Listed:   func(i *state.Instance) bool { return h.fleet.Accepts(i.ID) },
		Replaced: h.fleet.Replaced,
		OnCrash:  func(r crash.Report) { h.ReportCrash(r.Instance.ID, time.Now(), r.Suspects) },
		Clock:    clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	h.Dispatcher, err = New(Options{
		Upstream: up, Placer: h.fleet, Gate: newScriptedGate(f.t).Gate, Budget: unlimitedBudget{}, Observer: noObserver{},
		Outliers: &fakeOutliers{}, Crashes: crashes, Quarantine: h.Registry, Quotas: noQuotas{}, Origins: &fakeOrigins{fleet: h.fleet}, Advice: newAdvice(f.t, clocktest.Bubble{}, func(backpressure.Notice) {}, func(state.InstanceID) {}), Buffers: buffertest.New(f.t), Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler), SplitTokens: 600,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return h
}

// unlimitedBudget allows every retry.
type unlimitedBudget struct{}

func (unlimitedBudget) CountRequest(string) {}

func (unlimitedBudget) Allow(string) bool     { return true }
func (unlimitedBudget) AllowMove(string) bool { return true }

// noticeDelay is the time in which a notice reaches the other hosts.
const noticeDelay = 5 * time.Millisecond

// startQuarantine starts the host's registry of the quarantine. Notices reach all hosts, and a
// mirror follows the entries in the store.
func (h *crashHost) startQuarantine() {
	h.f.t.Helper()
	client := h.f.store.Client(h.name)
	var err error
	h.Registry, err = quarantine.New(quarantine.Options{
		Host: h.name, Table: quarantine.NewTable(clocktest.Bubble{}), Store: client, FollowsStore: func() bool { return true },
		Publish: func(n quarantine.Notice) {
			for _, to := range h.f.allHosts() {
				if delay, arrives := h.f.notice(to); arrives || to == h {
					time.AfterFunc(delay, func() { to.Receive(n) })
				}
			}
		},
		Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		h.f.t.Fatal(err)
	}
	mirror, err := follow.New(follow.Options{
		Delays: propagation.New(propagation.Bounds{}), Store: client, Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler), Kind: quarantine.Kind, OnChange: h.ApplyCopy, RetryGroup: &follow.RetryGroup{},
	})
	if err != nil {
		h.f.t.Fatal(err)
	}
	go h.Run(h.f.t.Context())
	go mirror.Run(h.f.t.Context())
}

// updateLists gives the hosts the current list of engines.
func (f *crashFleet) updateLists() {
	f.mu.Lock()
	var list []state.Instance
	for _, e := range f.engines {
		list = append(list, e.instance())
	}
	f.mu.Unlock()
	for _, h := range f.allHosts() {
		h.fleet.Update(list)
	}
}

func (f *crashFleet) engine(name string) *crashEngine {
	for _, e := range f.engines {
		if e.name == name {
			return e
		}
	}
	f.t.Fatalf("no engine %s", name)
	return nil
}

// endRun ends the current run of an engine because of by, "" for other reasons. It restarts after restartDelay.
func (f *crashFleet) endRun(e *crashEngine, by string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	f.crashes = append(f.crashes, time.Now())
	f.of(by).crashes = append(f.of(by).crashes, time.Now())
	close(e.ended)
	time.AfterFunc(restartDelay, func() {
		f.mu.Lock()
		e.up, e.ended = true, make(chan struct{})
		e.born++
		f.mu.Unlock()
		time.AfterFunc(time.Second, f.updateLists) // the list shows the new run later
	})
}

// crashUpstream connects a host to the engines.
type crashUpstream struct{ h *crashHost }

var _ Upstream = (*crashUpstream)(nil)

func (u *crashUpstream) Send(ctx context.Context, a *Attempt) (Response, error) {
	f, e := u.h.f, u.h.f.engine(a.Instance.ID.Name)
	f.mu.Lock()
	up, ended, born := e.up, e.ended, e.born
	by := f.deadly(a.Request)
	crashing := by != ""
	if up && crashing {
		f.arrivals = append(f.arrivals, time.Now())
		f.of(by).arrivals = append(f.of(by).arrivals, time.Now())
	}
	f.mu.Unlock()
	switch {
	case !up:
		return nil, &SendError{Cause: errors.New("refused")}
	case born != a.Instance.ID.Born && !f.acceptAnyRun:
		return &crashResponse{head: &Head{Status: statusMisdirected, NotRun: true}}, nil
	case a.PrefillOnly:
		return &crashResponse{head: &Head{Status: 200}, ctx: ctx, ended: ended, events: []string{"handle"}, pause: 10 * time.Millisecond}, nil
	case crashing:
		time.AfterFunc(crashDelay, func() { f.endRun(e, by) })
		return &crashResponse{head: &Head{Status: 200, EventStream: e.role != "", Signed: true}, ctx: ctx, ended: ended, events: []string{"id: 1\n\n", "id: 2\n\n"}, pause: f.firstEvent, laterPause: time.Hour}, nil
	case e.role == "":
		return &crashResponse{head: &Head{Status: 200, Signed: true}, ctx: ctx, ended: ended, events: []string{"answer"}, pause: 15 * time.Millisecond}, nil
	}
	return &crashResponse{head: &Head{Status: 200, EventStream: true, Signed: true}, ctx: ctx, ended: ended, events: []string{"id: 1\n\n", "id: 2\n\n"}, pause: 20 * time.Millisecond}, nil
}

func (u *crashUpstream) probe(_ context.Context, i *state.Instance) crash.RunStatus {
	f, e := u.h.f, u.h.f.engine(i.ID.Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.up && e.born == i.ID.Born {
		return crash.Alive
	}
	return crash.Ended
}

func (u *crashUpstream) Alive(ctx context.Context, i *state.Instance) bool {
	return u.probe(ctx, i) == crash.Alive
}

func (u *crashUpstream) Status(ctx context.Context, i *state.Instance) crash.RunStatus {
	return u.probe(ctx, i)
}

func (u *crashUpstream) Move(context.Context, *state.Instance, string, *state.Instance) (string, error) {
	return "", nil
}

func (u *crashUpstream) PrefillHandle(body []byte) (string, error) { return string(body), nil }

func (u *crashUpstream) Discard(*KVSource) error { return nil }

// crashResponse sends one event after each pause, until its engine ends.
type crashResponse struct {
	head   *Head
	ctx    context.Context
	ended  chan struct{}
	events []string
	// pause precedes the first event, and laterPause, if set, each later one.
	pause, laterPause time.Duration
}

func (r *crashResponse) Head() *Head { return r.head }

func (r *crashResponse) Read(p []byte) (int, error) {
	if len(r.events) == 0 {
		return 0, io.EOF
	}
	select {
	case <-r.ended:
		return 0, io.ErrUnexpectedEOF
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-time.After(r.pause):
	}
	n := copy(p, r.events[0])
	r.events = r.events[1:]
	if r.laterPause > 0 {
		r.pause = r.laterPause
	}
	return n, nil
}

func (r *crashResponse) Finish() {}
func (r *crashResponse) Abort()  {}

func (r *crashResponse) LinkLost() bool { return false }

// forwardRequest forwards r with the given ID and body through the host. It reports whether the
// answer was complete.
func (h *crashHost) forwardRequest(id, body string, r *Request) bool {
	r.ID, r.URI, r.Method, r.Host, r.Body = id, "/verdicts/1", "POST", "fleet", []byte(body)
	ctx, cancel := context.WithDeadline(h.f.t.Context(), r.Deadline)
	defer cancel()
	answer, err := h.Forward(ctx, r)
	if err != nil {
		return false
	}
	if answer.Stream == nil {
		return true
	}
	_, err = readAll(answer.Stream)
	return err == nil
}

// harmlessRequest returns a request that crashes nothing, of a kind that depends on n.
func harmlessRequest(n int) *Request {
	switch n % 3 {
	case 0:
		return modelRequest(200, false)
	case 1:
		return modelRequest(2200, false)
	default:
		return request(state.RouteSafe, 2, false)
	}
}

// runTraffic sends harmless requests of all kinds through each host for the given time, and calls
// sendCopy, which sends the crashing request, every 200 to 800 ms.
func (f *crashFleet) runTraffic(duration time.Duration, sendCopy func()) {
	var callers sync.WaitGroup
	end := time.Now().Add(duration)
	for _, h := range f.hosts {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				callers.Go(func() { f.countServed(f.forwardTwice(h, fmt.Sprint(h.name, "-", n), n)) })
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		sendCopy()
		time.Sleep(time.Duration(200+f.rng.IntN(600)) * time.Millisecond)
	}
	callers.Wait()
}

// forwardTwice retries a failed request once, as callers do.
func (f *crashFleet) forwardTwice(h *crashHost, body string, n int) bool {
	if h.forwardRequest(body+"-1", body, harmlessRequest(n)) {
		return true
	}
	time.Sleep(100 * time.Millisecond)
	return h.forwardRequest(body+"-2", body, harmlessRequest(n))
}

func (f *crashFleet) countServed(served bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if served {
		f.served++
		return
	}
	f.unserved++
}

// lateArrivals counts the copies that reached an engine later than quarantineDelay after the
// third crash. A copy with a separate prefill arrives twice.
func (f *crashFleet) lateArrivals() int {
	if len(f.crashes) < 3 {
		return 0
	}
	n := 0
	for _, at := range f.arrivals {
		if at.After(f.crashes[2].Add(quarantineDelay)) {
			n++
		}
	}
	return n
}

// Copies of a request that crashes engines no longer reach them soon after the third crash.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newCrashFleet(t, seed, 7)
				copies := 0
				f.runTraffic(30*time.Second, func() {
					copies++
					h := f.hosts[f.rng.IntN(len(f.hosts))]
					go h.forwardRequest(fmt.Sprint("copy-", copies), poison, modelRequest(2000, false))
				})
				time.Sleep(restartDelay)
				t.Logf("%d copies sent, %d engines crashed, %d late arrivals; other requests: %d served, %d failed", copies, len(f.crashes), f.lateArrivals(), f.served, f.unserved)
				is.True(len(f.crashes) >= 2) // the request does crash engines
				is.True(f.lateArrivals() <= maxLateArrivals)
			})
		})
	}
}

// Crashing requests of any kind end few runners, and the other requests are served.
func TestCrashingRequestEndsFewRunners(t *testing.T) {
	for name, c := range map[string]struct {
		request func() *Request
		// together is how many copies are sent at the same time.
		together   int
		firstEvent time.Duration
		maxCrashes int
	}{
		"a long prompt with separate prefill": {func() *Request { return modelRequest(2000, false) }, 1, time.Hour, 2},
		"a short prompt":                      {func() *Request { return modelRequest(200, false) }, 1, time.Hour, 2},
		"a short prompt that is retried":      {func() *Request { return modelRequest(200, true) }, 1, time.Hour, 2},
		"a stream that has just started":      {func() *Request { return modelRequest(200, true) }, 1, crashDelay / 2, 2},
		"a call that may run once":            {func() *Request { return request(state.RouteUnsafe, 1, false) }, 1, time.Hour, 2},
		"a call that is retried":              {func() *Request { return request(state.RouteSafe, 2, false) }, 1, time.Hour, 2},
		"three copies at the same time":       {func() *Request { return modelRequest(200, false) }, 3, time.Hour, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newCrashFleet(t, 1, 7)
				f.firstEvent = c.firstEvent
				copies := 0
				f.runTraffic(20*time.Second, func() {
					for range c.together {
						copies++
						h := f.hosts[f.rng.IntN(len(f.hosts))]
						go h.forwardRequest(fmt.Sprint("copy-", copies), poison, c.request())
					}
				})
				time.Sleep(restartDelay)
				t.Logf("%d copies sent, %d runners crashed, %d late arrivals; other requests: %d served, %d failed", copies, len(f.crashes), f.lateArrivals(), f.served, f.unserved)
				is.True(len(f.crashes) >= 2)
				is.True(len(f.crashes) <= c.maxCrashes)
				is.True(f.lateArrivals() <= maxLateArrivals)
				is.Equal(f.unserved, 0) // at most one retry each
			})
		})
	}
}

// A restarted engine accepts requests before the list shows its new run. The crash of such a run
// counts as well.
func TestCrashesOfRestartedEngineCountSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCrashFleet(t, 1, 3)
		f.acceptAnyRun = true
		f.engines = slices.DeleteFunc(f.engines, func(e *crashEngine) bool {
			return e.role == state.RoleDecode && e.name != "d0"
		})
		f.updateLists()
		for n := range 20 {
			go f.hosts[n%3].forwardRequest(fmt.Sprint("copy-", n), poison, modelRequest(200, true))
			time.Sleep(restartDelay/2 + 50*time.Millisecond) // the engine is back for every second copy
		}
		t.Logf("%d runs of one engine crashed", len(f.crashes))
		is.Equal(len(f.crashes), 2)
	})
}
