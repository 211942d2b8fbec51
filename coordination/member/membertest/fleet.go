// Package membertest runs fleets of member and rollout managers against fakes at
// their interfaces: an in-memory platform, calls between hosts as function calls
// through the codec, and a virtual clock. It must run in a synctest bubble. It
// can kill, pause and cut off hosts, lose and delay messages, and take the
// platform away from some or all.
package membertest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/member"
	"github.com/thymerack/thymerack/coordination/rollout"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// Names with a meaning of their own.
const (
	// Everyone names all hosts to SetPlatform.
	Everyone = "*"
	// Observer is a caller of the platform that meets no fault.
	Observer = "observer"
)

const (
	watchLimit = 4 * time.Second
	// listInterval is how often hosts read the platform's list, listLag how long
	// a host that can't be reached stays in it.
	listInterval = time.Second
	listLag      = 2 * time.Second
	maxHosts     = 200
)

// Options configure a Fleet.
type Options struct {
	Seed uint64
	// Engines are listed as live from the start.
	Engines []string
	// Feeds lets every host read the platform's list and watch its orders.
	Feeds bool
	// Member and Rollout change the options of each host's managers.
	Member  func(*member.Options)
	Rollout func(*rollout.Options)
	// Setup is called with each host before it runs.
	Setup func(*Host)
	// LossShare and DoubleShare of messages between hosts are lost or delivered
	// twice; each takes up to MaxDelay.
	LossShare, DoubleShare float64
	MaxDelay               time.Duration
	// LostAnswerShare of the platform's answers are lost.
	LostAnswerShare float64
}

// Fleet is a platform and its hosts.
type Fleet struct {
	Platform *storetest.Platform
	opts     Options
	ctx      context.Context
	cancel   context.CancelFunc
	routines sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	byAddr   map[string]*Host
	down     map[string]bool
	group    map[string]int
	deaf     map[string]bool
	lastSeen map[state.HostID]time.Time
	engines  []state.Listed
	bytes    map[string]int
	messages int
}

var errCut = errors.New("cut off by the test")

// New returns a fleet without hosts.
func New(o Options) *Fleet {
	f := &Fleet{
		Platform: storetest.NewPlatform(watchLimit), opts: o,
		random: rand.New(rand.NewPCG(o.Seed, 1)),
		byAddr: map[string]*Host{}, down: map[string]bool{}, group: map[string]int{}, deaf: map[string]bool{},
		lastSeen: map[state.HostID]time.Time{}, bytes: map[string]int{},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, name := range o.Engines {
		f.SetEngine(name, "1", state.ListedLive)
	}
	f.Platform.SetScript(f.fault)
	if o.Feeds {
		f.routines.Go(f.checkHealth)
	}
	return f
}

// Close stops all hosts and waits for their goroutines.
func (f *Fleet) Close() {
	f.cancel()
	f.routines.Wait()
}

// fault decides the fault of one platform call.
func (f *Fleet) fault(c storetest.Call) storetest.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case c.Caller == Observer:
		return storetest.None
	case f.down[Everyone] || f.down[c.Caller]:
		return storetest.Refuse
	case f.chance(f.opts.LostAnswerShare):
		return storetest.LoseAnswer
	}
	return storetest.None
}

func (f *Fleet) chance(share float64) bool { return share > 0 && f.random.Float64() < share }

// SetPlatform takes the platform away from the named hosts, or gives it back.
func (f *Fleet) SetPlatform(down bool, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range names {
		f.down[n] = down
	}
}

// PlatformDown reports whether a host doesn't reach the platform.
func (f *Fleet) PlatformDown(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[Everyone] || f.down[name]
}

// SetGroup puts hosts into a group of the network; hosts of different groups
// don't reach each other. All start in group 0.
func (f *Fleet) SetGroup(group int, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range names {
		f.group[n] = group
	}
}

// SetDeaf keeps a host from fetching orders from its peers.
func (f *Fleet) SetDeaf(deaf bool, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf[name] = deaf
}

func (f *Fleet) isDeaf(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deaf[name]
}

// SetEngine changes the platform's row of an engine.
func (f *Fleet) SetEngine(name, incarnation string, s state.ListedState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row := state.Listed{Name: name, Kind: state.ListedEngine, State: s, Incarnation: incarnation, Service: "llm", Addr: name + ":80"}
	for i := range f.engines {
		if f.engines[i].Name == name {
			f.engines[i] = row
			return
		}
	}
	f.engines = append(f.engines, row)
}

// Listed returns the platform's list as it is now.
func (f *Fleet) Listed() []state.Listed {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := append([]state.Listed(nil), f.engines...)
	for id, at := range f.lastSeen {
		if time.Since(at) <= listLag {
			rows = append(rows, HostRow(id))
		}
	}
	return rows
}

// HostRow is the list's row of a live host.
func HostRow(id state.HostID) state.Listed {
	return state.Listed{Name: id.Name, Kind: state.ListedHost, State: state.ListedLive, Incarnation: id.Incarnation}
}

// checkHealth is the platform's own check of the hosts. While the platform is
// down for everyone nobody is dropped.
func (f *Fleet) checkHealth() {
	for (clocktest.Bubble{}).Sleep(f.ctx, listInterval/2) == nil {
		f.mu.Lock()
		for _, h := range f.byAddr {
			if f.down[Everyone] || (!f.down[h.ID.Name] && !h.paused()) {
				f.lastSeen[h.ID] = time.Now()
			}
		}
		f.mu.Unlock()
	}
}

// Hosts returns the running hosts that have a Name.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Host
	for i := range maxHosts {
		if h := f.byAddr[addr(Name(i))]; h != nil {
			out = append(out, h)
		}
	}
	return out
}

// Host returns the running host of that name, or nil.
func (f *Fleet) Host(name string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddr[addr(name)]
}

// Name returns the name of the i-th host.
func Name(i int) string { return fmt.Sprintf("host-%03d", i) }

func addr(name string) string { return name + ":1" }

// StartAll starts n hosts and waits until each has joined.
func (f *Fleet) StartAll(n int) []*Host {
	var hosts []*Host
	var joins sync.WaitGroup
	for i := range n {
		h := f.Start(Name(i), "1")
		hosts = append(hosts, h)
		joins.Go(func() { _, _ = h.Join(f.ctx) })
	}
	joins.Wait()
	return hosts
}

// Traffic returns the messages sent between hosts, and the encoded bytes that
// each host sent and took, since the last call.
func (f *Fleet) Traffic() (messages int, bytes map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	messages, bytes = f.messages, f.bytes
	f.messages, f.bytes = 0, map[string]int{}
	return messages, bytes
}
