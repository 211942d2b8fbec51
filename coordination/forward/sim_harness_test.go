package forward

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/buffers/buffertest"
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// simFleet simulates hosts that share runners which send backpressure in their responses.
type simFleet struct {
	t       *testing.T
	hosts   []*simHost
	runners []*simRunner
	// permitAsks counts the permit requests between hosts.
	permitAsks atomic.Int64
	// notices counts the notices that hosts broadcast.
	notices atomic.Int64

	mu sync.Mutex
	// hostList lists the hosts and runnerList the runners; each is replaced as a whole.
	hostList   []state.Peer
	runnerList []state.Instance
	// served and unserved count the callers' requests, and late the served ones that missed
	// their objective.
	served, unserved, late int
	// refused are the refusals that callers received.
	refused []*Refusal
	// misdirected counts requests for an earlier run than the one at the address.
	misdirected int
}

// simHost is a host with its own clock, view of the runners and part of the shared counts.
type simHost struct {
	*Dispatcher
	f      *simFleet
	name   string
	domain string
	clock  *clocktest.Machine
	fleet  *placement.Fleet
	advice *backpressure.Registry
	book   *occupancy.Tracker
	gate   *occupancy.Gate
	// partition is the part of the network that the host is in; hosts in other parts are
	// unreachable. Runners are reachable from all parts. It is changed under the fleet's lock.
	partition int
	down      bool
	// updateMu is held while the runner list is applied.
	updateMu sync.Mutex
}

// simRunner is one runner. Its advice is changed under the fleet's lock.
type simRunner struct {
	name   string
	domain string
	role   state.Role
	born   int64
	// limit is sent while limited is set; backoff is requested in each rejection while
	// rejecting is set.
	limited, leaving, rejecting bool
	limit                       float64
	backoff                     time.Duration

	// limitChanges are the limits that the runner sent, in order.
	limitChanges []limitChange
	arrivals     []arrival
}

// limitChange is the limit that a run sends from a given time on.
type limitChange struct {
	from    time.Time
	born    int64
	limited bool
	limit   float64
}

// arrival is a request that reached a run of a runner from a host.
type arrival struct {
	host string
	born int64
	at   time.Time
	// hostTime is the arrival by the host's clock, which includes suspensions: as much of a
	// backoff has passed for the runner since it requested it from that host.
	hostTime time.Time
	// limitToldAt and leavingToldAt are when the runner first sent that host a limit, and that
	// it leaves. backoffFrom and backoffUntil are the backoff that it had requested from that
	// host before; zero if there is none.
	limitToldAt, leavingToldAt, backoffFrom, backoffUntil time.Time
	rejected                                              bool
}

func (r *simRunner) instance() state.Instance {
	service := "model"
	if r.role == "" {
		service = "plain"
	}
	return state.Instance{ID: state.InstanceID{Name: r.name, Born: r.born}, Service: service, Addr: r.name + ":1", FailureDomain: r.domain, Role: r.role, Slots: engineSlots}
}

// domainCount is the number of failure domains of a simFleet.
const domainCount = 3

// newSimFleet has eight prefill engines, four decode engines and three runners of a plain
// service.
func newSimFleet(t *testing.T, hosts int) *simFleet {
	t.Helper()
	f := &simFleet{t: t}
	for n := range 15 {
		r := &simRunner{name: fmt.Sprint("p", n), role: state.RolePrefill, born: 1, domain: fmt.Sprint("d", n%domainCount)}
		switch {
		case n < 4:
			r.name, r.role = fmt.Sprint("d", n), state.RoleDecode
		case n >= 12:
			r.name, r.role = fmt.Sprint("s", n), ""
		}
		f.runners = append(f.runners, r)
	}
	for n := range hosts {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprint("h", n), fmt.Sprint("d", n%domainCount)))
	}
	f.updateHostList()
	f.updateRunnerList()
	return f
}

func (f *simFleet) newHost(name, domain string) *simHost {
	f.t.Helper()
	clock := &clocktest.Machine{}
	h := &simHost{f: f, name: name, domain: domain, clock: clock}
	h.advice = newAdvice(f.t, clock, h.broadcast, func(state.InstanceID) { h.applyRunnerList() })
	h.fleet = placement.NewFleet(placement.Options{Clock: clock, FailureDomain: domain, Advice: h.advice})
	var err error
	h.book = occupancy.NewTracker(clock, slog.New(slog.DiscardHandler))
	h.gate, err = occupancy.NewGate(occupancy.GateOptions{
		Tracker: h.book, Peers: simPeers{h}, Self: name, Hosts: f.currentHosts, Clock: clock, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	h.Dispatcher, err = New(Options{
		Upstream: &simUpstream{h}, Placer: h.fleet, Gate: h.gate, Budget: unlimitedBudget{}, Observer: noObserver{}, Quotas: noQuotas{}, Origins: &fakeOrigins{fleet: h.fleet}, Advice: h.advice, Buffers: buffertest.New(f.t),
		Outliers: &fakeOutliers{}, Crashes: &fakeCrashes{}, Quarantine: noQuarantine{}, Clock: clock, Log: slog.New(slog.DiscardHandler), SplitTokens: 600,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return h
}

// noQuarantine quarantines no request.
type noQuarantine struct{}

func (noQuarantine) CheckHeld([]quarantine.Digest) error { return nil }
func (noQuarantine) Admit([]quarantine.Digest, *quarantine.Trial) (*quarantine.Trial, error) {
	return nil, nil
}

func (noQuarantine) ReportAnswered(quarantine.Digest) {}
func (noQuarantine) Suspected(quarantine.Digest) bool { return false }

// ObserveAdvice implements backpressure.Observer.
func (noObserver) ObserveAdvice(string, backpressure.Kind) {}

// updateHostList lists the hosts that are up.
func (f *simFleet) updateHostList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostList = nil
	for _, h := range f.hosts {
		if !h.down {
			f.hostList = append(f.hostList, state.Peer{Addr: h.name, FailureDomain: h.domain})
		}
	}
}

// updateRunnerList lists the current runners at all hosts. None is listed as draining, however
// long ago it announced that it leaves.
func (f *simFleet) updateRunnerList() {
	f.mu.Lock()
	var list []state.Instance
	for _, r := range f.runners {
		list = append(list, r.instance())
	}
	f.runnerList = list
	f.mu.Unlock()
	for _, h := range f.hosts {
		h.applyRunnerList()
		h.advice.UpdateListed(func(id state.InstanceID) bool {
			return slices.ContainsFunc(list, func(i state.Instance) bool { return i.ID == id })
		})
	}
}

// applyRunnerList puts the list in force at a host, which treats runners as draining that
// announced that they leave.
func (h *simHost) applyRunnerList() {
	h.updateMu.Lock()
	defer h.updateMu.Unlock()
	h.f.mu.Lock()
	list := slices.Clone(h.f.runnerList)
	h.f.mu.Unlock()
	for i := range list {
		list[i].Draining = h.advice.Leaving(list[i].ID)
	}
	h.fleet.Update(list)
}

// setAdvice changes the advice of the named runners.
func (f *simFleet) setAdvice(change func(r *simRunner), names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runners {
		if slices.Contains(names, r.name) {
			change(r)
		}
	}
}

func (f *simFleet) runner(name string) *simRunner {
	for _, r := range f.runners {
		if r.name == name {
			return r
		}
	}
	f.t.Fatalf("no runner %s", name)
	return nil
}

// simUpstream connects a host to the runners.
type simUpstream struct{ h *simHost }

var _ Upstream = (*simUpstream)(nil)

// runnerDelay is the network delay between a host and a runner, one way.
const runnerDelay = time.Millisecond

func (u *simUpstream) Send(ctx context.Context, a *Attempt) (Response, error) {
	h, f := u.h, u.h.f
	time.Sleep(2 * runnerDelay) // connection setup
	if err := a.Permit(); err != nil {
		return nil, &SendError{Withheld: true, Cause: err}
	}
	sentAt := h.clock.Now()
	time.Sleep(runnerDelay)
	r := f.runner(a.Instance.ID.Name)
	f.mu.Lock()
	advice, misdirected := f.receive(r, h, a)
	f.mu.Unlock()
	time.Sleep(runnerDelay)
	if misdirected {
		return &crashResponse{head: &Head{Status: statusMisdirected, NotRun: true}}, nil
	}
	h.advice.Record(a.Instance, sentAt, advice, true)
	never := make(chan struct{})
	switch {
	case advice.Backoff > 0:
		return &crashResponse{head: &Head{Status: 503, NotRun: true}}, nil
	case a.PrefillOnly:
		return &crashResponse{head: &Head{Status: 200}, ctx: ctx, ended: never, events: []string{"handle"}, pause: 10 * time.Millisecond}, nil
	case r.role == "":
		return &crashResponse{head: &Head{Status: 200, Signed: true}, ctx: ctx, ended: never, events: []string{"answer"}, pause: 15 * time.Millisecond}, nil
	}
	return &crashResponse{head: &Head{Status: 200, EventStream: true, Signed: true}, ctx: ctx, ended: never, events: []string{"id: 1\n\n", "id: 2\n\n"}, pause: 20 * time.Millisecond}, nil
}

// receive records a request at a runner and returns the advice in its response; f.mu is held.
func (f *simFleet) receive(r *simRunner, h *simHost, a *Attempt) (advice backpressure.Advice, misdirected bool) {
	if r.born != a.Instance.ID.Born {
		f.misdirected++
		return advice, true
	}
	now := time.Now()
	arrived := arrival{host: h.name, born: r.born, at: now, hostTime: h.clock.Now()}
	for _, before := range slices.Backward(r.arrivals) {
		if before.host == h.name && before.born == r.born {
			arrived.limitToldAt, arrived.leavingToldAt = before.limitToldAt, before.leavingToldAt
			arrived.backoffFrom, arrived.backoffUntil = before.backoffAfter(r.backoff)
			break
		}
	}
	advice = backpressure.Advice{Limited: r.limited, Limit: r.limit, Leaving: r.leaving}
	switch {
	case !r.limited:
		arrived.limitToldAt = time.Time{}
	case arrived.limitToldAt.IsZero():
		arrived.limitToldAt = now
	}
	if r.leaving && arrived.leavingToldAt.IsZero() {
		arrived.leavingToldAt = now
	}
	if r.rejecting {
		advice.Backoff, arrived.rejected = r.backoff, true
	}
	r.arrivals = append(r.arrivals, arrived)
	return advice, false
}

// backoffAfter is the backoff that holds for a host after an arrival.
func (a arrival) backoffAfter(backoff time.Duration) (from, until time.Time) {
	if !a.rejected || a.hostTime.Add(backoff).Before(a.backoffUntil) {
		return a.backoffFrom, a.backoffUntil
	}
	if a.hostTime.Before(a.backoffUntil) {
		return a.backoffFrom, a.hostTime.Add(backoff)
	}
	return a.hostTime, a.hostTime.Add(backoff)
}

// Alive implements Upstream.
func (u *simUpstream) Alive(context.Context, *state.Instance) bool { return true }

// Status implements Upstream.
func (u *simUpstream) Status(context.Context, *state.Instance) crash.RunStatus { return crash.Alive }

// Move implements Upstream.
func (u *simUpstream) Move(context.Context, *state.Instance, string, *state.Instance) (string, error) {
	return "", errors.New("no run is moved")
}

// PrefillHandle implements Upstream.
func (u *simUpstream) PrefillHandle(body []byte) (string, error) { return string(body), nil }

// Discard implements Upstream.
func (u *simUpstream) Discard(*KVSource) error { return nil }

// handle sends a request through a host and counts its result.
func (h *simHost) handle(r *Request) {
	suspended := h.suspended()
	began := h.clock.Now()
	r.ArrivedAt, r.Deadline = began, began.Add(2*time.Second)
	ctx, cancel := context.WithTimeout(h.f.t.Context(), 2*time.Second)
	defer cancel()
	answer, err := h.Forward(ctx, r)
	if err == nil && answer.Stream != nil {
		_, err = readAll(answer.Stream)
	}
	f := h.f
	f.mu.Lock()
	defer f.mu.Unlock()
	var refusal *Refusal
	switch {
	case h.down || h.suspended() != suspended:
		return // its duration can't be measured
	case errors.As(err, &refusal):
		f.unserved++
		f.refused = append(f.refused, refusal)
	case err != nil || answer.Head.Status >= 300:
		f.unserved++
	default:
		f.served++
		if h.clock.Now().Sub(began) > r.Route.Objective {
			f.late++
		}
	}
}

// suspended is how long the host has been suspended in total.
func (h *simHost) suspended() time.Duration {
	return time.Until(h.clock.Now()).Round(time.Millisecond)
}

// load is the rate of the callers' requests, in requests per second over all hosts. The host of
// each request is drawn by share, which gives the weight of host n; nil weighs all hosts alike.
type load struct {
	longPrompts, shortPrompts, calls float64
	share                            func(n int) float64
}

// runLoad sends the load for the given duration.
func (f *simFleet) runLoad(rng *rand.Rand, l load, duration time.Duration) {
	var weights []float64
	total := 0.0
	for n := range f.hosts {
		w := 1.0
		if l.share != nil {
			w = l.share(n)
		}
		total += w
		weights = append(weights, total)
	}
	perSecond := l.longPrompts + l.shortPrompts + l.calls
	var callers sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		at, _ := slices.BinarySearch(weights, rng.Float64()*total)
		h := f.liveHost(min(at, len(f.hosts)-1))
		if h == nil {
			return
		}
		r := l.draw(rng.Float64() * perSecond)
		callers.Go(func() { h.handle(r) })
	}
	callers.Wait()
	time.Sleep(settleTime)
}

// settleTime lets messages between hosts arrive that no request waits for.
const settleTime = time.Second

// liveHost is host n, or the next one that is up.
func (f *simFleet) liveHost(n int) *simHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.hosts {
		if h := f.hosts[(n+i)%len(f.hosts)]; !h.down {
			return h
		}
	}
	return nil
}

// draw creates a request of the kind at a position in the load, in requests per second.
func (l load) draw(at float64) *Request {
	switch {
	case at < l.longPrompts:
		return modelRequest(2200, true)
	case at < l.longPrompts+l.shortPrompts:
		return modelRequest(200, false)
	default:
		return request(state.RouteSafe, 2, false)
	}
}

const (
	// A runner may receive limitFactor times its limit plus limitSlack requests in each
	// limitWindow.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	limitFactor = 1.5
)

// maxInWindow is the most requests that a runner received in any window of that length between
// from and to, of the arrivals for which counts is true; nil counts all.
func (r *simRunner) maxInWindow(window time.Duration, from, to time.Time, counts func(arrival) bool) int {
	var in []time.Time
	most := 0
	for _, a := range r.arrivals {
		if a.at.Before(from) || a.at.After(to) || (counts != nil && !counts(a)) {
			continue
		}
		in = append(in, a.at)
		for a.at.Sub(in[0]) > window {
			in = in[1:]
		}
		most = max(most, len(in))
	}
	return most
}

// countBetween counts the requests that a runner received from from until before to.
func (r *simRunner) countBetween(from, to time.Time) int {
	n := 0
	for _, a := range r.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// responseDelay is the time in which a response that requests a backoff reaches its host, and
// the host's requests that were sent before then reach the runner.
const responseDelay = 2 * runnerDelay

// duringBackoff counts the requests that reached a runner during a backoff that it had
// requested from their host, later than responseDelay, and those that it rejected.
func (r *simRunner) duringBackoff() (during, rejected int) {
	for _, a := range r.arrivals {
		if a.backoffFrom.IsZero() {
			continue
		}
		if a.hostTime.Sub(a.backoffFrom) > responseDelay && a.hostTime.Before(a.backoffUntil) {
			during++
		}
		if a.rejected {
			rejected++
		}
	}
	return during, rejected
}

// unavoidableRejections counts the requests that runners rejected from hosts that couldn't
// know.
func (f *simFleet) unavoidableRejections() int {
	n := f.misdirected
	for _, r := range f.runners {
		for _, a := range r.arrivals {
			if a.rejected && (a.backoffFrom.IsZero() || a.hostTime.Sub(a.backoffFrom) <= responseDelay) {
				n++
			}
		}
	}
	return n
}

// rejectedBesideTrials counts the requests that a runner rejected from a host while that host's
// trial request after a backoff was in flight. Requests at the first backoff of a host don't
// count, since it couldn't know.
func (r *simRunner) rejectedBesideTrials() int {
	first := map[string]time.Time{}
	n := 0
	for _, a := range r.arrivals {
		if a.backoffFrom.IsZero() {
			continue
		}
		if first[a.host].IsZero() {
			first[a.host] = a.backoffFrom
		}
		if a.rejected && !a.backoffFrom.Equal(first[a.host]) && a.hostTime.Sub(a.backoffFrom) <= responseDelay {
			n++
		}
	}
	return n
}
