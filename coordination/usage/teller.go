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
	// tellEvery is how often a host tells its counts: what is lost with a host is half of it
	// at the mean, a twentieth of a window of five seconds.
	tellEvery = 500 * time.Millisecond
	// tellTimeout bounds a call to a collector; another is told after it.
	tellTimeout = 400 * time.Millisecond
	// perDomain collectors of each failure domain are enough for one to be lost at any time.
	perDomain = 2
)

// Told is what a host tells a collector.
type Told struct {
	Tally Tally
	// Others are what a collector that leaves was told by other hosts.
	Others []Tally
	// Own is the host's own clock.
	Own time.Time
}

// Heard is a collector's answer.
type Heard struct {
	// Run and Own name the collector's run and show its own clock.
	Run string
	Own time.Time
	// Middle is the time that the collector has worked out of so many clocks.
	Middle time.Time
	Of     int
}

// Peers reaches other hosts.
type Peers interface {
	// Tell brings counts to the collector at addr.
	Tell(ctx context.Context, addr string, t Told) (Heard, error)
	// Ask asks the collector at addr what it was told of a window.
	Ask(ctx context.Context, addr string, w Window) ([]Tally, error)
}

// Collectors are the hosts that collect the counts of all, two of each failure domain, the
// strongest. All hosts that know the same list compute the same.
func Collectors(hosts []state.Peer) []state.Peer {
	taken := map[string]int{}
	var out []state.Peer
	for _, h := range state.StrongestFirst(hosts) {
		if taken[h.FailureDomain] < perDomain {
			taken[h.FailureDomain]++
			out = append(out, h)
		}
	}
	return out
}

// TellerOptions configure a Teller. All fields are required.
type TellerOptions struct {
	Self state.Peer
	// Run names this run of the host, unlike any other.
	Run       string
	Hosts     func() []state.Peer
	Peers     Peers
	Counter   *Counter
	Collector *Collector
	Time      *fleetclock.Clock
	Clock     state.Clock
	Log       *slog.Logger
}

// Teller tells collectors what this host has counted. It is safe for concurrent use.
type Teller struct {
	o TellerOptions
	// failing is the collector that didn't answer last; it is asked last.
	failing atomic.Pointer[string]

	mu sync.Mutex
	// known is what the collector that answered last knows.
	known knowledge
}

// knowledge is how many requests of each window a run of a collector was told.
type knowledge struct {
	addr, run string
	windows   map[Window]uint64
}

// NewTeller validates the options.
func NewTeller(o TellerOptions) (*Teller, error) {
	if o.Self.Addr == "" || o.Run == "" || o.Hosts == nil || o.Peers == nil || o.Counter == nil || o.Collector == nil || o.Time == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("usage: a field of TellerOptions is missing; set all of them")
	}
	return &Teller{o: o}, nil
}

// Run tells collectors until ctx ends.
func (t *Teller) Run(ctx context.Context) {
	for t.o.Clock.Sleep(ctx, tellEvery) == nil {
		t.Tell(ctx)
	}
}

// tally is what this host has counted of late.
func (t *Teller) tally() Tally {
	through := t.o.Time.Now()
	// Windows before the last that may still be decided have been told.
	present := WindowAt(through, t.o.Counter.length)
	since := present - min(recentWindows, present)
	return Tally{Run: t.o.Run, Addr: t.o.Self.Addr, Through: through, Windows: t.o.Counter.tally(since)}
}

// recentWindows is how many windows before the present one are told each time: a report is
// decided within two of its end.
const recentWindows = 2

// Tell tells a collector, and another if the first doesn't answer.
func (t *Teller) Tell(ctx context.Context) { t.tell(ctx, Told{Tally: t.tally()}, 1) }

// Leave tells two collectors what this host has counted until its end, and what it was told
// itself: hosts that end before it can't tell that again, and the collector that is told may
// be the next to leave.
func (t *Teller) Leave(ctx context.Context) {
	t.tell(ctx, Told{Tally: t.tally(), Others: t.o.Collector.all()}, perDomain)
}

// tell tells so many collectors what each doesn't know yet.
func (t *Teller) tell(ctx context.Context, whole Told, collectors int) {
	t.o.Collector.Take(whole.Tally) // this host may be a collector, or the only host that is left
	for _, c := range t.order() {
		told := whole
		told.Tally.Windows = t.news(c.Addr, whole.Tally.Windows)
		told.Own = t.o.Time.Local()
		bounded, cancel := context.WithTimeout(ctx, tellTimeout)
		heard, err := t.o.Peers.Tell(bounded, c.Addr, told)
		cancel()
		if err == nil {
			t.noteKnown(c.Addr, heard.Run, whole.Tally.Windows)
			t.o.Time.AddReading(heard.Run, heard.Own)
			t.o.Time.AddMedian(heard.Middle, heard.Of)
			if collectors--; collectors == 0 {
				return
			}
			continue
		}
		if !t.fails(c.Addr) {
			t.o.Log.Info("collector of usage not reached", "peer", c.Addr, "cause", err.Error())
		}
		t.failing.Store(&c.Addr)
	}
}

// news are the windows in which the collector at an address doesn't know all.
func (t *Teller) news(addr string, windows map[Window]Counts) map[Window]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[Window]Counts{}
	for w, counts := range windows {
		if t.known.addr != addr || t.known.windows[w] != counts.Total() {
			out[w] = counts
		}
	}
	return out
}

// noteKnown notes what a run of a collector knows now. One that has restarted knows nothing of
// what was told before, which shows in its first answer: it is told all the next time.
func (t *Teller) noteKnown(addr, run string, windows map[Window]Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known.addr == addr && t.known.run != run {
		t.known = knowledge{}
		return
	}
	t.known = knowledge{addr: addr, run: run, windows: make(map[Window]uint64, len(windows))}
	for w, counts := range windows {
		t.known.windows[w] = counts.Total()
	}
}

// fails reports whether the collector at an address didn't answer last.
func (t *Teller) fails(addr string) bool {
	failing := t.failing.Load()
	return failing != nil && *failing == addr
}

// order are the collectors to tell: those of the own failure domain first, each host in an
// order of its own so that they share the load, and one that failed last.
func (t *Teller) order() []state.Peer {
	all := slices.DeleteFunc(Collectors(t.o.Hosts()), func(p state.Peer) bool { return p.Addr == t.o.Self.Addr })
	rank := func(p state.Peer) (out uint64) {
		out = xxhash.Sum64String(t.o.Self.Addr+p.Addr) >> 2
		if p.FailureDomain != t.o.Self.FailureDomain {
			out |= 1 << 62
		}
		if t.fails(p.Addr) {
			out |= 1 << 63
		}
		return out
	}
	slices.SortFunc(all, func(a, b state.Peer) int { return cmp.Compare(rank(a), rank(b)) })
	return all[:min(len(all), mostTold)]
}

// mostTold bounds the collectors that are tried at a time: both of the own domain and one of
// another.
const mostTold = 3

// Answer takes what a host tells this one, as a collector.
func (t *Teller) Answer(told Told) Heard {
	t.o.Collector.Take(told.Tally)
	for _, other := range told.Others {
		t.o.Collector.Take(other)
	}
	t.o.Time.AddReading(told.Tally.Run, told.Own)
	middle, of := t.o.Time.Median()
	return Heard{Run: t.o.Run, Own: t.o.Time.Local(), Middle: middle, Of: of}
}
