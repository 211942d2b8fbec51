package usage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/fleetclock"
	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// The limits that the tests check reports against.
const (
	window    = 5 * time.Second
	reportDue = 10 * time.Second
	leaseTime = 3 * time.Second
	maxError  = 0.05
)

// fleet simulates hosts that count requests, with one store and one receiver.
type fleet struct {
	t        *testing.T
	store    *storetest.Platform
	receiver *receiver
	hosts    []*host

	mu sync.Mutex
	// isolated hosts reach nothing; storeRefused hosts reach all but the store; gone hosts aren't listed.
	isolated, storeRefused, gone map[string]bool
	// started holds the requests that began, by window and customer.
	started map[Window]Counts
	runs    int
	// frozenUntil is when a frozen host resumes; its calls and those to it wait until then.
	frozenUntil map[string]time.Time
	// storeFaults draws the faults of the store; nil while there are none.
	storeFaults *rand.Rand
}

// host is one machine; its runs follow one another.
type host struct {
	f     *fleet
	self  state.Peer
	clock *skewedClock
	stop  context.CancelFunc
	ended sync.WaitGroup

	mu        sync.Mutex
	run       string
	counter   *Counter
	pusher    *Pusher
	collector *Collector
}

// skewedClock is a clock that is wrong by a constant.
type skewedClock struct {
	clocktest.Machine
	skew time.Duration
}

func (c *skewedClock) Now() time.Time { return c.Machine.Now().Add(c.skew) }

// newFleet returns a fleet of n hosts in three failure domains, none of them started.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, store: storetest.NewPlatform(time.Second), isolated: map[string]bool{}, storeRefused: map[string]bool{}, gone: map[string]bool{}, frozenUntil: map[string]time.Time{}, started: map[Window]Counts{},
	}
	f.receiver = &receiver{t: t, received: map[Window]Counts{}, receivedAt: map[Window]time.Time{}}
	f.store.SetScript(func(c storetest.Call) storetest.Fault {
		f.awaitThaw(c.Caller)
		f.mu.Lock()
		defer f.mu.Unlock()
		switch {
		case f.isolated[c.Caller], f.storeRefused[c.Caller]:
			return storetest.Refuse
		case f.storeFaults != nil:
			return []storetest.Fault{storetest.None, storetest.None, storetest.LoseAnswer, storetest.Refuse}[f.storeFaults.IntN(4)]
		}
		return storetest.None
	})
	for i := range n {
		h := &host{f: f, self: state.Peer{Addr: fmt.Sprint("h", i), FailureDomain: fmt.Sprint("d", i%3)}, clock: &skewedClock{}}
		f.hosts = append(f.hosts, h)
	}
	return f
}

// restore makes the store unreachable for a while and restores it to its state of some seconds before.
func (f *fleet) restore(rng *rand.Rand) {
	for _, h := range f.hosts {
		f.set(f.storeRefused, h.self.Addr, true)
	}
	f.generateLoad(rng, time.Duration(rng.IntN(2000))*time.Millisecond)
	f.store.RestoreBefore(time.Duration(rng.IntN(12000)) * time.Millisecond)
	for _, h := range f.hosts {
		f.set(f.storeRefused, h.self.Addr, false)
	}
}

// contains reports whether addr is in one of the fleet's sets of addresses.
func (f *fleet) contains(set map[string]bool, addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return set[addr]
}

// set adds addr to a set of addresses or removes it.
func (f *fleet) set(set map[string]bool, addr string, member bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set[addr] = member
}

// freeze suspends the calls of a host for the given time.
func (f *fleet) freeze(addr string, span time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozenUntil[addr] = time.Now().Add(span)
}

// awaitThaw blocks while the host at addr is frozen.
func (f *fleet) awaitThaw(addr string) {
	f.mu.Lock()
	left := time.Until(f.frozenUntil[addr])
	f.mu.Unlock()
	time.Sleep(max(0, left))
}

// listed returns the hosts that aren't gone.
func (f *fleet) listed() []state.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []state.Peer
	for _, h := range f.hosts {
		if !f.gone[h.self.Addr] {
			out = append(out, h.self)
		}
	}
	return out
}

// start begins a run of the host.
func (h *host) start() {
	f := h.f
	f.mu.Lock()
	f.runs++
	run := fmt.Sprintf("%s-%d", h.self.Addr, f.runs)
	f.mu.Unlock()
	agreedTime := fleetclock.New(h.clock)
	counter, collector := NewCounter(window, agreedTime.At), NewCollector(window)
	log := slog.New(slog.DiscardHandler)
	pusher, err := NewPusher(PusherOptions{
		Self: h.self, Run: run, Hosts: f.listed, Peers: network{f, h}, Counter: counter, Collector: collector, Time: agreedTime, Clock: h.clock, Log: log,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	lessor, err := lease.New(lease.Options{
		Store: f.store.Client(h.self.Addr), Clock: h.clock, Rand: rand.New(rand.NewPCG(uint64(f.runs), 1)), Name: "duties",
		Holder: state.HostID{Name: h.self.Addr, Incarnation: run}, Machine: h.self.Addr, TTL: 6 * time.Second,
		PollInterval: func() time.Duration { return time.Second }, CallGap: leaseTime, MaxCallTime: time.Second,
		MayBeLost: func() bool { return store.EpochOf(f.store.Revision()) > 0 },
	})
	if err != nil {
		f.t.Fatal(err)
	}
	reporter, err := NewReporter(Options{
		WindowLength: window, MaxError: maxError, Lease: lessor, Store: f.store.Client(h.self.Addr), Receiver: receiverClient{f, h}, Peers: network{f, h}, Collector: collector,
		Self: h.self, Run: run, Hosts: f.listed, Time: agreedTime, Clock: h.clock, Log: log,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.set(f.isolated, h.self.Addr, false)
	h.mu.Lock()
	h.run, h.counter, h.pusher, h.collector = run, counter, pusher, collector
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.ended.Go(func() { pusher.Run(ctx) })
	h.ended.Go(func() {
		_ = lessor.Run(ctx, func(ctx context.Context) error {
			reporter.Hold(ctx)
			return nil
		})
	})
}

// shutDown ends the current run after a last push.
func (h *host) shutDown() {
	h.pusher.Flush(context.Background())
	h.stop()
	h.ended.Wait()
}

// kill ends the current run abruptly: nothing that it sends arrives, and the host is
// unreachable until another run begins.
func (h *host) kill() {
	h.f.set(h.f.isolated, h.self.Addr, true)
	h.stop()
	h.ended.Wait()
}

// startRequest counts a request that begins at the host now.
func (h *host) startRequest(customer string) {
	h.mu.Lock()
	counter := h.counter
	h.mu.Unlock()
	counter.Inc(customer, h.clock.Now())
	w := WindowAt(time.Now(), window)
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.f.started[w] == nil {
		h.f.started[w] = Counts{}
	}
	h.f.started[w][customer]++
}

// network carries the calls of one host to others.
type network struct {
	f    *fleet
	from *host
}

var errNoAnswer = errors.New("no answer")

// reach returns the host at addr if a call from n.from arrives there before ctx ends.
func (n network) reach(ctx context.Context, addr string) (*host, error) {
	n.f.awaitThaw(n.from.self.Addr)
	if err := (clocktest.Bubble{}).Sleep(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	for _, h := range n.f.hosts {
		if h.self.Addr != addr {
			continue
		}
		if n.f.contains(n.f.isolated, addr) || n.f.contains(n.f.isolated, n.from.self.Addr) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if n.f.contains(n.f.gone, addr) {
			return nil, errNoAnswer
		}
		n.f.awaitThaw(addr)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return h, nil
	}
	return nil, errNoAnswer
}

// Push implements Peers.
func (n network) Push(ctx context.Context, addr string, req PushRequest) (PushResponse, error) {
	h, err := n.reach(ctx, addr)
	if err != nil {
		return PushResponse{}, err
	}
	h.mu.Lock()
	pusher := h.pusher
	h.mu.Unlock()
	return pusher.HandlePush(req), nil
}

// Fetch implements Peers.
func (n network) Fetch(ctx context.Context, addr string, w Window) ([]Tally, error) {
	h, err := n.reach(ctx, addr)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	collector := h.collector
	h.mu.Unlock()
	return collector.Tallies(w), nil
}

// receiver accepts reports and records each violation of what they guarantee.
type receiver struct {
	t          *testing.T
	mu         sync.Mutex
	received   map[Window]Counts
	receivedAt map[Window]time.Time
	calls      []reportCall
	// losesAnswer decides whether the response to a report is lost.
	losesAnswer func() bool
	// delays draws the network delay of a report; nil for 2 ms.
	delays     *rand.Rand
	violations []string
}

// reportCall is one report as it arrived.
type reportCall struct {
	machine string
	term    uint64
	at      time.Time
}

// receive records a report, and returns an error if its response is lost.
func (r *receiver) receive(machine string, term uint64, w Window, counts Counts) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if earlier, again := r.received[w]; again && !maps.Equal(earlier, counts) {
		r.violation("window %d was reported with different counts", w)
	} else if !again {
		r.received[w], r.receivedAt[w] = maps.Clone(counts), now
	}
	for i, c := range r.calls {
		switch {
		case c.term > term:
			r.violation("%s reports under term %d after term %d", machine, term, c.term)
		case c.term == term && c.machine != machine:
			r.violation("%s and %s report under the same term %d", machine, c.machine, term)
		case c.machine == machine && now.Sub(c.at) < leaseTime:
			for _, other := range r.calls[i:] {
				if other.machine != machine {
					r.violation("%s reports again %s after its last report, with one of %s between them", machine, now.Sub(c.at), other.machine)
				}
			}
		}
	}
	r.calls = append(r.calls, reportCall{machine, term, now})
	if r.losesAnswer != nil && r.losesAnswer() {
		return errNoAnswer
	}
	return nil
}

// delay returns the network delay of a report, which is shorter than the timeout of a call.
func (r *receiver) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.delays == nil {
		return 2 * time.Millisecond
	}
	return time.Duration(r.delays.IntN(950)) * time.Millisecond
}

// violation records a violation; r.mu is held.
func (r *receiver) violation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// receiverClient sends the reports of one host to the receiver.
type receiverClient struct {
	f    *fleet
	from *host
}

// Report implements Receiver.
func (s receiverClient) Report(ctx context.Context, term uint64, w Window, counts Counts, permit func() error) error {
	s.f.awaitThaw(s.from.self.Addr)
	if err := permit(); err != nil {
		return err
	}
	if s.f.contains(s.f.isolated, s.from.self.Addr) {
		<-ctx.Done()
		return ctx.Err()
	}
	// A report that was sent arrives even if its sender is killed or times out.
	arrived := make(chan error, 1)
	go func() {
		time.Sleep(s.f.receiver.delay())
		arrived <- s.f.receiver.receive(s.from.self.Addr, term, w, counts)
	}()
	select {
	case err := <-arrived:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
