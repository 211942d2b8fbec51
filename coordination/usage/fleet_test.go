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

// The figures of the service agreement that the tests hold reports to.
const (
	window    = 5 * time.Second
	due       = 10 * time.Second
	leaseTime = 3 * time.Second
	mostOff   = 0.05
)

// fleet is hosts that count, over one store and one receiver.
type fleet struct {
	t        *testing.T
	store    *storetest.Platform
	receiver *receiver
	hosts    []*host

	mu sync.Mutex
	// cut hosts reach nobody, refused ones all but the store; away hosts are gone.
	cut, refused, away map[string]bool
	// truth is what began, by window and customer.
	truth map[Window]Counts
	runs  int
	// thaws is when a frozen host goes on; what it does outside waits until then.
	thaws map[string]time.Time
	// troubled draws the faults of the store; nil while it is sound.
	troubled *rand.Rand
}

// host is one machine; a run of it can end and another begin.
type host struct {
	f     *fleet
	self  state.Peer
	clock *offClock
	stop  context.CancelFunc
	ended sync.WaitGroup

	mu        sync.Mutex
	run       string
	counter   *Counter
	teller    *Teller
	collector *Collector
}

// offClock is a machine's clock that is wrong by a constant.
type offClock struct {
	clocktest.Machine
	by time.Duration
}

func (c *offClock) Now() time.Time { return c.Machine.Now().Add(c.by) }

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, store: storetest.NewPlatform(time.Second), cut: map[string]bool{}, refused: map[string]bool{}, away: map[string]bool{}, thaws: map[string]time.Time{}, truth: map[Window]Counts{},
	}
	f.receiver = &receiver{t: t, taken: map[Window]Counts{}, at: map[Window]time.Time{}}
	f.store.SetScript(func(c storetest.Call) storetest.Fault {
		f.awaitThaw(c.Caller)
		f.mu.Lock()
		defer f.mu.Unlock()
		switch {
		case f.cut[c.Caller], f.refused[c.Caller]:
			return storetest.Refuse
		case f.troubled != nil:
			return []storetest.Fault{storetest.None, storetest.None, storetest.LoseAnswer, storetest.Refuse}[f.troubled.IntN(4)]
		}
		return storetest.None
	})
	for i := range n {
		h := &host{f: f, self: state.Peer{Addr: fmt.Sprint("h", i), FailureDomain: fmt.Sprint("d", i%3)}, clock: &offClock{}}
		f.hosts = append(f.hosts, h)
	}
	return f
}

// restore has the store go away and come back as it was some seconds before.
func (f *fleet) restore(rng *rand.Rand) {
	for _, h := range f.hosts {
		f.set(f.refused, h.self.Addr, true)
	}
	f.load(rng, time.Duration(rng.IntN(2000))*time.Millisecond)
	f.store.RestoreBefore(time.Duration(rng.IntN(12000)) * time.Millisecond)
	for _, h := range f.hosts {
		f.set(f.refused, h.self.Addr, false)
	}
}

func (f *fleet) is(set map[string]bool, addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return set[addr]
}

func (f *fleet) set(set map[string]bool, addr string, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set[addr] = is
}

// freeze has a host stand still for so long.
func (f *fleet) freeze(addr string, span time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.thaws[addr] = time.Now().Add(span)
}

func (f *fleet) awaitThaw(addr string) {
	f.mu.Lock()
	left := time.Until(f.thaws[addr])
	f.mu.Unlock()
	time.Sleep(max(0, left))
}

// listed are the hosts that aren't gone.
func (f *fleet) listed() []state.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []state.Peer
	for _, h := range f.hosts {
		if !f.away[h.self.Addr] {
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
	keeper := fleetclock.New(h.clock)
	counter, collector := NewCounter(window, keeper.At), NewCollector(window)
	log := slog.New(slog.DiscardHandler)
	teller, err := NewTeller(TellerOptions{
		Self: h.self, Run: run, Hosts: f.listed, Peers: network{f, h}, Counter: counter, Collector: collector, Time: keeper, Clock: h.clock, Log: log,
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
		Length: window, MostOff: mostOff, Lease: lessor, Store: f.store.Client(h.self.Addr), Receiver: sender{f, h}, Peers: network{f, h}, Collector: collector,
		Self: h.self, Run: run, Hosts: f.listed, Time: keeper, Clock: h.clock, Log: log,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.set(f.cut, h.self.Addr, false)
	h.mu.Lock()
	h.run, h.counter, h.teller, h.collector = run, counter, teller, collector
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.ended.Go(func() { teller.Run(ctx) })
	h.ended.Go(func() {
		_ = lessor.Run(ctx, func(ctx context.Context) error {
			reporter.Hold(ctx)
			return nil
		})
	})
}

// leave ends the present run in order.
func (h *host) leave() {
	h.teller.Leave(context.Background())
	h.stop()
	h.ended.Wait()
}

// kill ends the present run without a word: nobody hears of what it does on its way out, nor
// of the host until another run begins.
func (h *host) kill() {
	h.f.set(h.f.cut, h.self.Addr, true)
	h.stop()
	h.ended.Wait()
}

// began has a request begin at the host now.
func (h *host) began(customer string) {
	h.mu.Lock()
	counter := h.counter
	h.mu.Unlock()
	counter.Began(customer, h.clock.Now())
	w := WindowAt(time.Now(), window)
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.f.truth[w] == nil {
		h.f.truth[w] = Counts{}
	}
	h.f.truth[w][customer]++
}

// network carries the calls of one host.
type network struct {
	f    *fleet
	from *host
}

var errAway = errors.New("no answer")

func (n network) reach(ctx context.Context, addr string) (*host, error) {
	n.f.awaitThaw(n.from.self.Addr)
	if err := (clocktest.Bubble{}).Sleep(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	for _, h := range n.f.hosts {
		if h.self.Addr != addr {
			continue
		}
		if n.f.is(n.f.cut, addr) || n.f.is(n.f.cut, n.from.self.Addr) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if n.f.is(n.f.away, addr) {
			return nil, errAway
		}
		n.f.awaitThaw(addr)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return h, nil
	}
	return nil, errAway
}

// Tell implements Peers.
func (n network) Tell(ctx context.Context, addr string, t Told) (Heard, error) {
	h, err := n.reach(ctx, addr)
	if err != nil {
		return Heard{}, err
	}
	h.mu.Lock()
	teller := h.teller
	h.mu.Unlock()
	return teller.Answer(t), nil
}

// Ask implements Peers.
func (n network) Ask(ctx context.Context, addr string, w Window) ([]Tally, error) {
	h, err := n.reach(ctx, addr)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	collector := h.collector
	h.mu.Unlock()
	return collector.Told(w), nil
}

// receiver takes reports and notes what breaks a promise.
type receiver struct {
	t     *testing.T
	mu    sync.Mutex
	taken map[Window]Counts
	at    map[Window]time.Time
	calls []call
	// lose decides whether the answer to a report is lost.
	lose func() bool
	// slow draws how long a report is on its way; nil for some milliseconds.
	slow     *rand.Rand
	problems []string
}

// call is one report as it arrived.
type call struct {
	machine string
	term    uint64
	at      time.Time
}

// take takes a report, and returns an error if its answer is lost.
func (r *receiver) take(machine string, term uint64, w Window, counts Counts) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if known, again := r.taken[w]; again && !maps.Equal(known, counts) {
		r.problem("window %d was reported with different counts", w)
	} else if !again {
		r.taken[w], r.at[w] = maps.Clone(counts), now
	}
	for i, c := range r.calls {
		switch {
		case c.term > term:
			r.problem("%s calls with %d after %d", machine, term, c.term)
		case c.term == term && c.machine != machine:
			r.problem("%s and %s call with %d", machine, c.machine, term)
		case c.machine == machine && now.Sub(c.at) < leaseTime:
			for _, other := range r.calls[i:] {
				if other.machine != machine {
					r.problem("%s calls again %s after its last call, with one of %s between", machine, now.Sub(c.at), other.machine)
				}
			}
		}
	}
	r.calls = append(r.calls, call{machine, term, now})
	if r.lose != nil && r.lose() {
		return errAway
	}
	return nil
}

// transit is how long a report is on its way, less than a call may take.
func (r *receiver) transit() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slow == nil {
		return 2 * time.Millisecond
	}
	return time.Duration(r.slow.IntN(950)) * time.Millisecond
}

func (r *receiver) problem(format string, args ...any) {
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// sender is the way of one host to the receiver.
type sender struct {
	f    *fleet
	from *host
}

// Report implements Receiver.
func (s sender) Report(ctx context.Context, term uint64, w Window, counts Counts, permit func() error) error {
	s.f.awaitThaw(s.from.self.Addr)
	if err := permit(); err != nil {
		return err
	}
	if s.f.is(s.f.cut, s.from.self.Addr) {
		<-ctx.Done()
		return ctx.Err()
	}
	// What has left arrives, whatever becomes of who sent it.
	arrived := make(chan error, 1)
	go func() {
		time.Sleep(s.f.receiver.transit())
		arrived <- s.f.receiver.take(s.from.self.Addr, term, w, counts)
	}()
	select {
	case err := <-arrived:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
