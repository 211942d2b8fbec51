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

	"github.com/thymerack/thymerack/coordination/fleetclock"
	"github.com/thymerack/thymerack/state"
)

const (
	// pushInterval is how often a host pushes its counts: a lost host loses half an interval of
	// counts on average, a twentieth of a window of 5 s.
	pushInterval = 500 * time.Millisecond
	// pushTimeout bounds a call to a collector, after which another collector is tried.
	pushTimeout = 400 * time.Millisecond
	// collectorsPerDomain is the number of collectors of each failure domain: two, so that one
	// may be lost at any time.
	collectorsPerDomain = 2
)

// PushRequest is what a host sends to a collector.
type PushRequest struct {
	Tally Tally
	// Others holds the tallies of other hosts that a collector hands over when it shuts down.
	Others []Tally
	// OwnTime is the time by the host's own clock.
	OwnTime time.Time
}

// PushResponse is a collector's response to a PushRequest.
type PushResponse struct {
	// Run identifies the collector's run; OwnTime is the time by its own clock.
	Run     string
	OwnTime time.Time
	// Median is the median time that the collector computed over Clocks clocks.
	Median time.Time
	Clocks int
}

// Peers calls other hosts.
type Peers interface {
	// Push sends counts to the collector at addr.
	Push(ctx context.Context, addr string, req PushRequest) (PushResponse, error)
	// Fetch returns the tallies of window w that the collector at addr holds.
	Fetch(ctx context.Context, addr string, w Window) ([]Tally, error)
}

// Collectors returns the hosts that collect the counts of all: the strongest two of each
// failure domain. All hosts that have the same list compute the same collectors.
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

// PusherOptions configures a Pusher. All fields are required.
type PusherOptions struct {
	Self state.Peer
	// Run identifies this run of the host; it is unique.
	Run       string
	Hosts     func() []state.Peer
	Peers     Peers
	Counter   *Counter
	Collector *Collector
	Time      *fleetclock.Clock
	Clock     state.Clock
	Log       *slog.Logger
}

// Pusher pushes the counts of this host to collectors. It is safe for concurrent use.
type Pusher struct {
	opts PusherOptions
	// lastFailed is the address of the collector that failed last; it is tried last.
	lastFailed atomic.Pointer[string]

	mu sync.Mutex
	// acked holds the counts that the last collector to respond has.
	acked ackedCounts
}

// ackedCounts holds the number of requests of each window that a run of a collector has.
type ackedCounts struct {
	addr, run string
	windows   map[Window]uint64
}

// NewPusher returns a Pusher, or an error if a field of the options is missing.
func NewPusher(o PusherOptions) (*Pusher, error) {
	if o.Self.Addr == "" || o.Run == "" || o.Hosts == nil || o.Peers == nil || o.Counter == nil || o.Collector == nil || o.Time == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("usage: a field of PusherOptions is missing; set all of them")
	}
	return &Pusher{opts: o}, nil
}

// Run pushes counts until ctx ends.
func (p *Pusher) Run(ctx context.Context) {
	for p.opts.Clock.Sleep(ctx, pushInterval) == nil {
		p.Push(ctx)
	}
}

// tally returns the recent counts of this host.
func (p *Pusher) tally() Tally {
	through := p.opts.Time.Now()
	// Counts of earlier windows have been pushed, and those windows are decided.
	current := WindowAt(through, p.opts.Counter.windowLength)
	since := current - min(pushedWindows, current)
	return Tally{Run: p.opts.Run, Addr: p.opts.Self.Addr, Through: through, Windows: p.opts.Counter.windowsSince(since)}
}

// pushedWindows is how many windows before the current one are pushed each time: a report is
// decided within two windows of the end of its own.
const pushedWindows = 2

// Push pushes the counts to one collector, and to another if the first doesn't respond.
func (p *Pusher) Push(ctx context.Context) { p.push(ctx, PushRequest{Tally: p.tally()}, 1) }

// Flush pushes the final counts of this host and those it has collected to two collectors:
// hosts that have already shut down can't push theirs again, and the collector that gets them
// may be the next to shut down.
func (p *Pusher) Flush(ctx context.Context) {
	p.push(ctx, PushRequest{Tally: p.tally(), Others: p.opts.Collector.snapshot()}, collectorsPerDomain)
}

// push sends to that many collectors the counts that each lacks.
func (p *Pusher) push(ctx context.Context, full PushRequest, collectors int) {
	p.opts.Collector.Merge(full.Tally) // this host may be a collector, or the only remaining host
	for _, c := range p.targets() {
		req := full
		req.Tally.Windows = p.unacked(c.Addr, full.Tally.Windows)
		req.OwnTime = p.opts.Time.Local()
		pushCtx, cancel := context.WithTimeout(ctx, pushTimeout)
		resp, err := p.opts.Peers.Push(pushCtx, c.Addr, req)
		cancel()
		if err == nil {
			p.recordAck(c.Addr, resp.Run, full.Tally.Windows)
			p.opts.Time.AddReading(resp.Run, resp.OwnTime)
			p.opts.Time.AddMedian(resp.Median, resp.Clocks)
			if collectors--; collectors == 0 {
				return
			}
			continue
		}
		if !p.failedLast(c.Addr) {
			p.opts.Log.Info("usage collector not reached", "peer", c.Addr, "cause", err.Error())
		}
		p.lastFailed.Store(&c.Addr)
	}
}

// unacked returns the windows whose latest counts the collector at addr doesn't have yet.
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

// recordAck records the counts that a run of a collector has. A restarted collector has lost
// earlier counts, which its first response shows by a new run: the next push sends all counts.
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

// failedLast reports whether the collector at addr is the one that failed last.
func (p *Pusher) failedLast(addr string) bool {
	failed := p.lastFailed.Load()
	return failed != nil && *failed == addr
}

// targets returns the collectors to try, in order: those of the own failure domain first, with
// the collector that failed last at the end. Each host has its own order, to spread the load.
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

// maxPushTargets bounds the collectors that one push tries: both of the own failure domain and
// one of another.
const maxPushTargets = 3

// HandlePush merges the counts that another host pushes to this one as a collector.
func (p *Pusher) HandlePush(req PushRequest) PushResponse {
	p.opts.Collector.Merge(req.Tally)
	for _, other := range req.Others {
		p.opts.Collector.Merge(other)
	}
	p.opts.Time.AddReading(req.Tally.Run, req.OwnTime)
	median, clocks := p.opts.Time.Median()
	return PushResponse{Run: p.opts.Run, OwnTime: p.opts.Time.Local(), Median: median, Clocks: clocks}
}
