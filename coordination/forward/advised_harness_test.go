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
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// advisedFleet is hosts that share runners which ask something in their answers.
type advisedFleet struct {
	t       *testing.T
	hosts   []*advisedHost
	runners []*advisedRunner
	// asks counts the asks for permits between hosts.
	asks atomic.Int64
	// notices counts the notices that hosts told all others.
	notices atomic.Int64

	mu sync.Mutex
	// peers lists the hosts and listed the runners; they are replaced whole.
	peers  []state.Peer
	listed []state.Instance
	// served and unserved count the callers' requests, late those served after their objective.
	served, unserved, late int
	// refused are the refusals that callers got.
	refused []*Refusal
	// misdirected counts requests for an earlier run than the one at the address.
	misdirected int
}

type advisedHost struct {
	*Dispatcher
	f      *advisedFleet
	name   string
	domain string
	clock  *clocktest.Machine
	fleet  *placement.Fleet
	advice *backpressure.Registry
	book   *occupancy.Tracker
	gate   *occupancy.Gate
	// island is the part of the network that the host reaches; hosts of other parts aren't.
	// Runners are reached from all. It is changed under the fleet's lock.
	island int
	gone   bool
	// updating is held while the list is put in force.
	updating sync.Mutex
}

// advisedRunner is one runner. What it asks is changed under the fleet's lock.
type advisedRunner struct {
	name   string
	domain string
	role   state.Role
	born   int64
	// limit is named while limited is set; rest is asked of each that is turned away while
	// resting is set.
	limited, leaving, resting bool
	limit                     float64
	rest                      time.Duration

	// asked is what was asked, as it changed.
	asked    []asking
	arrivals []arrival
}

// asking is what a run asks from a moment on.
type asking struct {
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
	// passed is the time by the host's clock, which counts suspensions: so much has passed for
	// the runner, too, since it asked that host for rest.
	passed time.Time
	// toldLimit and toldLeaving are when the runner first told that host that it names a limit,
	// and that it leaves. restedAt and restUntil are the rest that it had asked that host for
	// before; zero if there is none.
	toldLimit, toldLeaving, restedAt, restUntil time.Time
	turnedAway                                  bool
}

func (r *advisedRunner) instance() state.Instance {
	service := "model"
	if r.role == "" {
		service = "plain"
	}
	return state.Instance{ID: state.InstanceID{Name: r.name, Born: r.born}, Service: service, Addr: r.name + ":1", FailureDomain: r.domain, Role: r.role, Slots: engineSlots}
}

// domains are the failure domains of an advisedFleet.
const domains = 3

// newAdvisedFleet has eight engines that read, four that generate and three runners of a
// plain service.
func newAdvisedFleet(t *testing.T, hosts int) *advisedFleet {
	t.Helper()
	f := &advisedFleet{t: t}
	for n := range 15 {
		r := &advisedRunner{name: fmt.Sprint("p", n), role: state.RolePrefill, born: 1, domain: fmt.Sprint("d", n%domains)}
		switch {
		case n < 4:
			r.name, r.role = fmt.Sprint("d", n), state.RoleDecode
		case n >= 12:
			r.name, r.role = fmt.Sprint("s", n), ""
		}
		f.runners = append(f.runners, r)
	}
	for n := range hosts {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprint("h", n), fmt.Sprint("d", n%domains)))
	}
	f.listHosts()
	f.list()
	return f
}

func (f *advisedFleet) newHost(name, domain string) *advisedHost {
	f.t.Helper()
	clock := &clocktest.Machine{}
	h := &advisedHost{f: f, name: name, domain: domain, clock: clock}
	h.advice = newAdvice(f.t, clock, h.tell, h.update)
	h.fleet = placement.NewFleet(placement.Options{Clock: clock, FailureDomain: domain, Advice: h.advice})
	var err error
	h.book = occupancy.NewTracker(clock, slog.New(slog.DiscardHandler))
	h.gate, err = occupancy.NewGate(occupancy.GateOptions{
		Tracker: h.book, Peers: advisedPeers{h}, Self: name, Hosts: f.listedHosts, Clock: clock, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	h.Dispatcher, err = New(Options{
		Upstream: &advisedUpstream{h}, Placer: h.fleet, Gate: h.gate, Budget: unlimitedBudget{}, Observer: noObserver{}, Advice: h.advice,
		Outliers: &fakeOutliers{}, Crashes: &fakeCrashes{}, Quarantine: noQuarantine{}, Clock: clock, Log: slog.New(slog.DiscardHandler), SplitTokens: 600,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return h
}

// noQuarantine holds nothing.
type noQuarantine struct{}

func (noQuarantine) Held(quarantine.Digest) *quarantine.Hold { return nil }

func (noQuarantine) Answered(quarantine.Digest) {}

// Advised implements backpressure.Observer.
func (noObserver) Advised(string, backpressure.Kind) {}

// listHosts lists the hosts that are there.
func (f *advisedFleet) listHosts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = nil
	for _, h := range f.hosts {
		if !h.gone {
			f.peers = append(f.peers, state.Peer{Addr: h.name, FailureDomain: h.domain})
		}
	}
}

// list puts the present runners in the hosts' lists; none is listed as leaving, however long
// ago it said so.
func (f *advisedFleet) list() {
	f.mu.Lock()
	var list []state.Instance
	for _, r := range f.runners {
		list = append(list, r.instance())
	}
	f.listed = list
	f.mu.Unlock()
	for _, h := range f.hosts {
		h.update()
		h.advice.Listed(list)
	}
}

// update puts the list in force at a host, which counts those as draining that said so.
func (h *advisedHost) update() {
	h.updating.Lock()
	defer h.updating.Unlock()
	h.f.mu.Lock()
	list := slices.Clone(h.f.listed)
	h.f.mu.Unlock()
	for i := range list {
		list[i].Draining = h.advice.Leaving(list[i].ID)
	}
	h.fleet.Update(list)
}

// set changes what runners ask.
func (f *advisedFleet) set(change func(r *advisedRunner), names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runners {
		if slices.Contains(names, r.name) {
			change(r)
		}
	}
}

func (f *advisedFleet) runner(name string) *advisedRunner {
	for _, r := range f.runners {
		if r.name == name {
			return r
		}
	}
	f.t.Fatalf("no runner %s", name)
	return nil
}

// advisedUpstream is a host's way to the runners.
type advisedUpstream struct{ h *advisedHost }

var _ Upstream = (*advisedUpstream)(nil)

// wayTime is that of a request to a runner, and of the answer back.
const wayTime = time.Millisecond

func (u *advisedUpstream) Send(ctx context.Context, a *Attempt) (Response, error) {
	h, f := u.h, u.h.f
	time.Sleep(2 * wayTime) // a connection is made
	if err := a.Permit(); err != nil {
		return nil, &SendError{Withheld: true, Cause: err}
	}
	sentAt := h.clock.Now()
	time.Sleep(wayTime)
	r := f.runner(a.Instance.ID.Name)
	f.mu.Lock()
	advice, misdirected := f.arrive(r, h, a)
	f.mu.Unlock()
	time.Sleep(wayTime)
	if misdirected {
		return &crashResponse{head: &Head{Status: statusMisdirected, NotRun: true}}, nil
	}
	h.advice.Heard(a.Instance, sentAt, advice, true)
	never := make(chan struct{})
	switch {
	case advice.Rest > 0:
		return &crashResponse{head: &Head{Status: 503, NotRun: true}}, nil
	case a.PrefillOnly:
		return &crashResponse{head: &Head{Status: 200}, ctx: ctx, ended: never, events: []string{"handle"}, pause: 10 * time.Millisecond}, nil
	case r.role == "":
		return &crashResponse{head: &Head{Status: 200, Signed: true}, ctx: ctx, ended: never, events: []string{"answer"}, pause: 15 * time.Millisecond}, nil
	}
	return &crashResponse{head: &Head{Status: 200, EventStream: true, Signed: true}, ctx: ctx, ended: never, events: []string{"id: 1\n\n", "id: 2\n\n"}, pause: 20 * time.Millisecond}, nil
}

// arrive notes a request at a runner and returns what the answer asks; f.mu is held.
func (f *advisedFleet) arrive(r *advisedRunner, h *advisedHost, a *Attempt) (advice backpressure.Advice, misdirected bool) {
	if r.born != a.Instance.ID.Born {
		f.misdirected++
		return advice, true
	}
	now := time.Now()
	arrived := arrival{host: h.name, born: r.born, at: now, passed: h.clock.Now()}
	for _, before := range slices.Backward(r.arrivals) {
		if before.host == h.name && before.born == r.born {
			arrived.toldLimit, arrived.toldLeaving = before.toldLimit, before.toldLeaving
			arrived.restedAt, arrived.restUntil = before.restAfter(r.rest)
			break
		}
	}
	advice = backpressure.Advice{Limited: r.limited, Limit: r.limit, Leaving: r.leaving}
	switch {
	case !r.limited:
		arrived.toldLimit = time.Time{}
	case arrived.toldLimit.IsZero():
		arrived.toldLimit = now
	}
	if r.leaving && arrived.toldLeaving.IsZero() {
		arrived.toldLeaving = now
	}
	if r.resting {
		advice.Rest, arrived.turnedAway = r.rest, true
	}
	r.arrivals = append(r.arrivals, arrived)
	return advice, false
}

// restAfter is the rest that holds for a host after an arrival.
func (a arrival) restAfter(rest time.Duration) (from, until time.Time) {
	if !a.turnedAway || a.passed.Add(rest).Before(a.restUntil) {
		return a.restedAt, a.restUntil
	}
	if a.passed.Before(a.restUntil) {
		return a.restedAt, a.passed.Add(rest)
	}
	return a.passed, a.passed.Add(rest)
}

// Alive implements Upstream.
func (u *advisedUpstream) Alive(context.Context, *state.Instance) bool { return true }

// Move implements Upstream.
func (u *advisedUpstream) Move(context.Context, *state.Instance, string, *state.Instance) (string, error) {
	return "", errors.New("no run is moved")
}

// PrefillHandle implements Upstream.
func (u *advisedUpstream) PrefillHandle(body []byte) (string, error) { return string(body), nil }

// Discard implements Upstream.
func (u *advisedUpstream) Discard(*KVSource) error { return nil }

// ask sends a request through a host and notes what became of it.
func (h *advisedHost) ask(r *Request) {
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
	case h.gone || h.suspended() != suspended:
		return // nobody can tell what became of it in time
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

// suspended is how long the host was suspended so far.
func (h *advisedHost) suspended() time.Duration {
	return time.Until(h.clock.Now()).Round(time.Millisecond)
}

// load is what callers ask for, in requests a second of all hosts together. Each is drawn at
// a host by share, which gives the weight of host n; nil weighs all alike.
type load struct {
	prompts, questions, calls float64
	share                     func(n int) float64
}

// play lets callers ask for so long.
func (f *advisedFleet) play(rng *rand.Rand, l load, long time.Duration) {
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
	perSecond := l.prompts + l.questions + l.calls
	var callers sync.WaitGroup
	for end := time.Now().Add(long); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		at, _ := slices.BinarySearch(weights, rng.Float64()*total)
		h := f.present(min(at, len(f.hosts)-1))
		if h == nil {
			return
		}
		r := l.draw(rng.Float64() * perSecond)
		callers.Go(func() { h.ask(r) })
	}
	callers.Wait()
	time.Sleep(settleTime)
}

// settleTime lets hosts tell each other what nobody waits for.
const settleTime = time.Second

// present is the host of that number, or the next one that isn't gone.
func (f *advisedFleet) present(n int) *advisedHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.hosts {
		if h := f.hosts[(n+i)%len(f.hosts)]; !h.gone {
			return h
		}
	}
	return nil
}

// draw makes a request of the kind at a place in the load.
func (l load) draw(at float64) *Request {
	switch {
	case at < l.prompts:
		return modelRequest(2200, true)
	case at < l.prompts+l.questions:
		return modelRequest(200, false)
	default:
		return request(state.RouteSafe, 2, false)
	}
}

const (
	// limitWindow and limitSlack are the span in which a limit is judged and what is borne
	// beyond limitFactor times what it allows.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	limitFactor = 1.5
)

// mostIn is the most that a runner got in any window of that length in a span, of the arrivals
// that count; nil counts all.
func (r *advisedRunner) mostIn(window time.Duration, from, to time.Time, counts func(arrival) bool) int {
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

// between counts what a runner got in a span.
func (r *advisedRunner) between(from, to time.Time) int {
	n := 0
	for _, a := range r.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// answerWay is the time in which an answer that asks for rest reaches its host, with what the
// host had sent by then.
const answerWay = 2 * wayTime

// inRest counts the requests that reached a runner from a host that it had asked for rest, later
// than the answer's way, and those that it turned away.
func (r *advisedRunner) inRest() (during, turnedAway int) {
	for _, a := range r.arrivals {
		if a.restedAt.IsZero() {
			continue
		}
		if a.passed.Sub(a.restedAt) > answerWay && a.passed.Before(a.restUntil) {
			during++
		}
		if a.turnedAway {
			turnedAway++
		}
	}
	return during, turnedAway
}

// firstRefusals counts the requests that a runner turned away from a host which couldn't know.
func (f *advisedFleet) firstRefusals() int {
	n := f.misdirected
	for _, r := range f.runners {
		for _, a := range r.arrivals {
			if a.turnedAway && (a.restedAt.IsZero() || a.passed.Sub(a.restedAt) <= answerWay) {
				n++
			}
		}
	}
	return n
}

// besideTrials counts the requests that reached a runner from a host beside the one that found out
// whether a rest was over, and that had to be turned away as well. Before its first rest a host
// can't know.
func (r *advisedRunner) besideTrials() int {
	first := map[string]time.Time{}
	n := 0
	for _, a := range r.arrivals {
		if a.restedAt.IsZero() {
			continue
		}
		if first[a.host].IsZero() {
			first[a.host] = a.restedAt
		}
		if a.turnedAway && !a.restedAt.Equal(first[a.host]) && a.passed.Sub(a.restedAt) <= answerWay {
			n++
		}
	}
	return n
}
