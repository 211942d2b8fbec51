package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

const (
	dutyTTL   = 6 * time.Second
	dutyApart = 3300 * time.Millisecond
	dutyCall  = time.Second
	// restoredAfter is how far a restored store may be behind, at most.
	restoredAfter = 5 * time.Second
)

// dutyCalls are the calls that machines made under the lease, in their order.
type dutyCalls struct {
	mu    sync.Mutex
	calls []dutyCallMade
}

type dutyCallMade struct {
	at      time.Time
	machine string
	fence   uint64
}

func (d *dutyCalls) note(machine string, fence uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, dutyCallMade{time.Now(), machine, fence})
}

// judge reports the first two calls that must not follow each other.
func (d *dutyCalls) judge() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	holders := map[uint64]string{}
	for i, c := range d.calls {
		if other, had := holders[c.fence]; had && other != c.machine {
			return fmt.Sprintf("%s and %s use the fence %s", other, c.machine, store.FormatVersion(c.fence))
		}
		holders[c.fence] = c.machine
		if i == 0 {
			continue
		}
		before := d.calls[i-1]
		switch {
		case c.fence < before.fence:
			return fmt.Sprintf("%s calls with %s after %s has with %s", c.machine, store.FormatVersion(c.fence), before.machine, store.FormatVersion(before.fence))
		case c.machine != before.machine && c.at.Sub(before.at) < dutyApart:
			return fmt.Sprintf("%s calls %s after %s", c.machine, c.at.Sub(before.at), before.machine)
		}
	}
	return ""
}

// machine runs one host after another, each with its Lessor, and makes calls while it may.
type machine struct {
	p     *storetest.Platform
	calls *dutyCalls
	name  string
	runs  int
	rng   *rand.Rand
	lose  func() bool
	stop  context.CancelFunc
	ended chan struct{}
}

func (m *machine) start(t *testing.T) {
	m.runs++
	l, err := lease.New(lease.Options{
		Store: m.p.Client(m.name), Clock: skewedClock{}, Rand: m.rng, Name: "duties", Machine: m.name,
		Holder: state.HostID{Name: m.name, Incarnation: fmt.Sprint(m.runs)}, TTL: dutyTTL, Apart: dutyApart, CallTime: dutyCall, MayBeLost: m.lose,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.ended = cancel, make(chan struct{})
	go func() {
		defer close(m.ended)
		_ = l.Run(ctx, func(ctx context.Context) error {
			for (skewedClock{}).Sleep(ctx, 100*time.Millisecond) == nil {
				if fence, err := l.Permit(); err == nil {
					m.calls.note(m.name, fence)
				}
			}
			return nil
		})
	}()
}

func (m *machine) end() {
	m.stop()
	<-m.ended
}

// Guards against two hosts that act under one lease, or with fences that go back, after the store
// lost who holds it: the record of an earlier holder, of a release, or none is there again.
func TestOneHolderActsThoughTheStoreIsRestored(t *testing.T) {
	const plays = 400
	acted := 0
	for seed := range uint64(plays) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			p, calls := storetest.NewPlatform(time.Second), &dutyCalls{}
			var mu sync.Mutex
			away, cut := false, map[string]bool{}
			p.SetScript(func(c storetest.Call) storetest.Fault {
				mu.Lock()
				defer mu.Unlock()
				if away || cut[c.Caller] {
					return storetest.Refuse
				}
				return storetest.None
			})
			set := func(change func()) {
				mu.Lock()
				defer mu.Unlock()
				change()
			}
			lost := p.Revision() > 0
			var machines []*machine
			for i := range 4 {
				m := &machine{p: p, calls: calls, name: fmt.Sprint("m", i), rng: rand.New(rand.NewPCG(seed, uint64(i)+10)), lose: func() bool {
					mu.Lock()
					defer mu.Unlock()
					return lost
				}}
				m.start(t)
				machines = append(machines, m)
			}
			for range 12 {
				m := machines[rng.IntN(len(machines))]
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
				switch rng.IntN(4) {
				case 0:
					m.end()
					time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
					m.start(t)
				case 1:
					set(func() { cut[m.name] = !cut[m.name] })
				default:
					set(func() { away, lost = true, true })
					time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
					p.RestoreBefore(time.Duration(rng.Int64N(int64(restoredAfter))))
					set(func() { away = false })
				}
			}
			set(func() { clear(cut) })
			time.Sleep(5 * dutyTTL)
			ended := time.Now()
			for _, m := range machines {
				m.end()
			}
			if problem := calls.judge(); problem != "" {
				t.Errorf("seed %d: %s", seed, problem)
			}
			if last := calls.calls[len(calls.calls)-1]; ended.Sub(last.at) > dutyTTL {
				t.Errorf("seed %d: nobody has acted for %s", seed, ended.Sub(last.at))
			}
			acted += len(calls.calls)
		})
	}
	is.New(t).True(acted > 100*plays)
	t.Logf("%d calls", acted)
}
