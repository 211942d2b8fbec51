package usage

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/coordination/truetime"
	"github.com/thymerack/thymerack/state"
)

const (
	// pushInterval is how often a host tells its counts: what is lost with a host is half of it
	// at the mean, a twentieth of a window of five seconds.
	pushInterval = 500 * time.Millisecond
	// pushTimeout bounds a call to a collector; another is told after it.
	pushTimeout = 400 * time.Millisecond
	// collectorsPerDomain collectors of each failure domain are enough for one to be lost at any time.
	collectorsPerDomain = 2
)

// PushRequest is what a host tells a collector.
type PushRequest struct {
	Tally Tally
	// Others are what a collector that leaves was told by other hosts.
	Others []Tally
	// OwnTime is the host's own clock.
	OwnTime time.Time
}

// PushResponse is a collector's answer.
type PushResponse struct {
	// Run and Own name the collector's run and show its own clock.
	Run     string
	OwnTime time.Time
	// Median is the time that the collector has worked out of so many clocks.
	Median time.Time
	Clocks int
}

// Peers reaches other hosts.
type Peers interface {
	// Push brings counts to the collector at addr.
	Push(ctx context.Context, addr string, t PushRequest) (PushResponse, error)
	// Fetch asks the collector at addr what it was told of a window.
	Fetch(ctx context.Context, addr string, w Window) ([]Tally, error)
}

// Collectors are the hosts that collect the counts of all, two of each failure domain, the
// strongest. All hosts that know the same list compute the same.
func Collectors(hosts []state.Peer) []state.Peer {
	perDomain := map[string]int{}
	var out []state.Peer
	for _, h := range state.StrongestFirst(hosts) {
		if perDomain[h.FailureDomain] < collectorsPerDomain {
			perDomain[h.FailureDomain]++
			out = append(out, h)
		}
	}
	return out
}

// PusherOptions configure a Teller. All fields are required.
type PusherOptions struct {
	Self state.Peer
	// Run names this run of the host, unlike any other.
	Run       string
	Hosts     func() []state.Peer
	Peers     Peers
	Counter   *Counter
	Collector *Collector
	Time      *truetime.Clock
	Clock     state.Clock
	Log       *slog.Logger
}

// Pusher tells collectors what this host has counted. It is safe for concurrent use.
type Pusher struct {
	opts PusherOptions
	// lastFailed is the collector that didn't answer last; it is asked last.
	lastFailed atomic.Pointer[string]

	mu sync.Mutex
	// acked is what the collector that answered last knows.
	acked ackedCounts
}

// ackedCounts is how many requests of each window a run of a collector was told.
type ackedCounts struct {
	addr, run string
	windows   map[Window]uint64
}

// NewPusher validates the options.
func NewPusher(o PusherOptions) (*Pusher, error) {
	if o.Self.Addr == "" || o.Run == "" || o.Hosts == nil || o.Peers == nil || o.Counter == nil || o.Collector == nil || o.Time == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("usage: a field of TellerOptions is missing; set all of them")
	}
	return &Pusher{opts: o}, nil
}

// Run tells collectors until ctx ends.
func (p *Pusher) Run(ctx context.Context) {
	for p.opts.Clock.Sleep(ctx, pushInterval) == nil {
		p.Push(ctx)
	}
}

// tally is what this host has counted of late.
func (p *Pusher) tally() Tally {
	through := p.opts.Time.Now()
	// Windows before the last that may still be decided have been told.
	present := WindowAt(through, p.opts.Counter.windowLength)
	since := present - min(pushedWindows, present)
	return Tally{Run: p.opts.Run, Addr: p.opts.Self.Addr, Through: through, Windows: p.opts.Counter.windowsSince(since)}
}

// pushedWindows is how many windows before the present one are told each time: a report is
// decided within two of its end.
const pushedWindows = 2

// Push tells a collector, and another if the first doesn't answer.
func (p *Pusher) Push(ctx context.Context) { p.push(ctx, PushRequest{Tally: p.tally()}, 1) }

// Flush tells two collectors what this host has counted until its end, and what it was told
// itself: hosts that end before it can't tell that again, and the collector that is told may
// be the next to leave.
func (p *Pusher) Flush(ctx context.Context) {
	p.push(ctx, PushRequest{Tally: p.tally(), Others: p.opts.Collector.snapshot()}, collectorsPerDomain)
}

// push tells so many collectors what each doesn't know yet.
func (p *Pusher) push(ctx context.Context, full PushRequest, collectors int) {
	p.opts.Collector.Merge(full.Tally) // this host may be a collector, or the only host that is left
	for _, c := range p.targets() {
		req := full
		req.Tally.Windows = p.unacked(c.Addr, full.Tally.Windows)
		req.OwnTime = p.opts.Time.Own()
		pushCtx, cancel := context.WithTimeout(ctx, pushTimeout)
		resp, err := p.opts.Peers.Push(pushCtx, c.Addr, req)
		cancel()
		if err == nil {
			p.recordAck(c.Addr, resp.Run, full.Tally.Windows)
			p.opts.Time.Show(resp.Run, resp.OwnTime)
			p.opts.Time.Tell(resp.Median, resp.Clocks)
			if collectors--; collectors == 0 {
				return
			}
			continue
		}
		if !p.failedLast(c.Addr) {
			p.opts.Log.Info("collector of usage not reached", "peer", c.Addr, "cause", err.Error())
		}
		p.lastFailed.Store(&c.Addr)
	}
}

// unacked are the windows in which the collector at an address doesn't know all.
func (p *Pusher) unacked(addr string, windows map[Window]Counts) map[Window]Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[Window]Counts{}
	for w, counts := range windows {
		if p.acked.addr != addr || p.acked.windows[w] != counts.Total() {
			out[w] = counts
		}
	}
	return out
}

// recordAck notes what a run of a collector knows now. One that has restarted knows nothing of
// what was told before, which shows in its first answer: it is told all the next time.
func (p *Pusher) recordAck(addr, run string, windows map[Window]Counts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.acked.addr == addr && p.acked.run != run {
		p.acked = ackedCounts{}
		return
	}
	p.acked = ackedCounts{addr: addr, run: run, windows: make(map[Window]uint64, len(windows))}
	for w, counts := range windows {
		p.acked.windows[w] = counts.Total()
	}
}

// failedLast reports whether the collector at an address didn't answer last.
func (p *Pusher) failedLast(addr string) bool {
	failed := p.lastFailed.Load()
	return failed != nil && *failed == addr
}

// targets are the collectors to tell: those of the own failure domain first, each host in an
// targets of its own so that they share the load, and one that failed last.
func (p *Pusher) targets() []state.Peer {
	all := slices.DeleteFunc(Collectors(p.opts.Hosts()), func(peer state.Peer) bool { return peer.Addr == p.opts.Self.Addr })
	rank := func(peer state.Peer) (out uint64) {
		out = xxhash.Sum64String(p.opts.Self.Addr+peer.Addr) >> 2
		if peer.FailureDomain != p.opts.Self.FailureDomain {
			out |= 1 << 62
		}
		if p.failedLast(peer.Addr) {
			out |= 1 << 63
		}
		return out
	}
	slices.SortFunc(all, func(a, b state.Peer) int { return cmp.Compare(rank(a), rank(b)) })
	return all[:min(len(all), maxPushTargets)]
}

// maxPushTargets bounds the collectors that are tried at a time: both of the own domain and one of
// another.
const maxPushTargets = 3

// HandlePush takes what a host tells this one, as a collector.
func (p *Pusher) HandlePush(req PushRequest) PushResponse {
	p.opts.Collector.Merge(req.Tally)
	for _, other := range req.Others {
		p.opts.Collector.Merge(other)
	}
	p.opts.Time.Show(req.Tally.Run, req.OwnTime)
	median, clocks := p.opts.Time.Middle()
	return PushResponse{Run: p.opts.Run, OwnTime: p.opts.Time.Own(), Median: median, Clocks: clocks}
}
