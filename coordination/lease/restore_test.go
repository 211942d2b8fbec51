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
	testTTL         = 6 * time.Second
	testCallGap     = 3300 * time.Millisecond
	testMaxCallTime = time.Second
	// maxRollback is the longest time by which a restoration sets the store back.
	maxRollback = 5 * time.Second
)

// callLog records the calls that machines made under the lease, in their order.
type callLog struct {
	mu    sync.Mutex
	calls []loggedCall
}

type loggedCall struct {
	at      time.Time
	machine string
	fence   uint64
}

func (l *callLog) record(machine string, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, loggedCall{time.Now(), machine, fence})
}

// firstViolation describes the first call that breaks a rule, "" if none does. The rules: one machine per
// fence, fences that never decrease, and testCallGap between calls of different machines.
func (l *callLog) firstViolation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	machineOfFence := map[uint64]string{}
	for i, c := range l.calls {
		if previous, used := machineOfFence[c.fence]; used && previous != c.machine {
			return fmt.Sprintf("%s and %s both made calls with fence %s", previous, c.machine, store.FormatVersion(c.fence))
		}
		machineOfFence[c.fence] = c.machine
		if i == 0 {
			continue
		}
		before := l.calls[i-1]
		switch {
		case c.fence < before.fence:
			return fmt.Sprintf("%s made a call with fence %s after %s had made one with fence %s", c.machine, store.FormatVersion(c.fence), before.machine, store.FormatVersion(before.fence))
		case c.machine != before.machine && c.at.Sub(before.at) < testCallGap:
			return fmt.Sprintf("%s made a call only %s after one of %s", c.machine, c.at.Sub(before.at), before.machine)
		}
	}
	return ""
}

// machine runs one host after another, each with its own Lease, and makes calls whenever one is
// permitted.
type machine struct {
	p         *storetest.Platform
	calls     *callLog
	name      string
	runs      int
	rng       *rand.Rand
	mayBeLost func() bool
	cancel    context.CancelFunc
	done      chan struct{}
}

func (m *machine) start(t *testing.T) {
	m.runs++
	l, err := lease.New(lease.Options{
		Store: m.p.Client(m.name), Clock: skewedClock{}, Rand: m.rng, Name: "duties", Machine: m.name,
		Holder: state.HostID{Name: m.name, Incarnation: fmt.Sprint(m.runs)}, TTL: testTTL, CallGap: testCallGap, MaxCallTime: testMaxCallTime, MayBeLost: m.mayBeLost,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.done = cancel, make(chan struct{})
	go func() {
		defer close(m.done)
		_ = l.Run(ctx, func(ctx context.Context) error {
			for (skewedClock{}).Sleep(ctx, 100*time.Millisecond) == nil {
				if fence, err := l.Permit(); err == nil {
					m.calls.record(m.name, fence)
				}
			}
			return nil
		})
	}()
}

func (m *machine) stop() {
	m.cancel()
	<-m.done
}

// Guards against two hosts that make calls under one lease, or with decreasing fences, after a
// restoration has taken the store back to the record of an earlier holder, of a release, or to none.
func TestOneHolderCallsAcrossStoreRestores(t *testing.T) {
	const seeds = 400
	totalCalls := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			p, calls := storetest.NewPlatform(time.Second), &callLog{}
			var mu sync.Mutex
			storeDown, partitioned := false, map[string]bool{}
			p.SetScript(func(c storetest.Call) storetest.Fault {
				mu.Lock()
				defer mu.Unlock()
				if storeDown || partitioned[c.Caller] {
					return storetest.Refuse
				}
				return storetest.None
			})
			locked := func(change func()) {
				mu.Lock()
				defer mu.Unlock()
				change()
			}
			mayBeLost := p.Revision() > 0
			var machines []*machine
			for i := range 4 {
				m := &machine{p: p, calls: calls, name: fmt.Sprint("m", i), rng: rand.New(rand.NewPCG(seed, uint64(i)+10)), mayBeLost: func() bool {
					mu.Lock()
					defer mu.Unlock()
					return mayBeLost
				}}
				m.start(t)
				machines = append(machines, m)
			}
			for range 12 {
				m := machines[rng.IntN(len(machines))]
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
				switch rng.IntN(4) {
				case 0:
					m.stop()
					time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
					m.start(t)
				case 1:
					locked(func() { partitioned[m.name] = !partitioned[m.name] })
				default:
					locked(func() { storeDown, mayBeLost = true, true })
					time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
					p.RestoreBefore(time.Duration(rng.Int64N(int64(maxRollback))))
					locked(func() { storeDown = false })
				}
			}
			locked(func() { clear(partitioned) })
			time.Sleep(5 * testTTL)
			ended := time.Now()
			for _, m := range machines {
				m.stop()
			}
			if violation := calls.firstViolation(); violation != "" {
				t.Errorf("seed %d: %s", seed, violation)
			}
			if last := calls.calls[len(calls.calls)-1]; ended.Sub(last.at) > testTTL {
				t.Errorf("seed %d: no host has made a call for %s", seed, ended.Sub(last.at))
			}
			totalCalls += len(calls.calls)
		})
	}
	is.New(t).True(totalCalls > 100*seeds)
	t.Logf("%d calls", totalCalls)
}
