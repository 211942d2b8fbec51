package usage

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
)

// generateLoad starts a request every 8 ms, of some customers, at random hosts that aren't gone,
// for the given time. None begins within 5 ms of the edge of a window, where clocks that are
// synchronized by messages may disagree on the window.
func (f *fleet) generateLoad(rng *rand.Rand, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(8 * time.Millisecond) {
		h := f.hosts[rng.IntN(len(f.hosts))]
		edge := time.Duration(time.Now().UnixNano()) % window
		if !f.contains(f.gone, h.self.Addr) && edge > 5*time.Millisecond && edge < window-5*time.Millisecond {
			h.startRequest(fmt.Sprint("c", min(rng.IntN(12), rng.IntN(12))))
		}
	}
}

// checkReports checks the windows from first on whose report is due. It returns their number, how
// many were reported in time and how many of these exceed the maximum error (inexact).
func (f *fleet) checkReports(first Window) (windows, inTime, inexact int) {
	for w := first; w.End(window).Add(reportDue).Before(time.Now()); w++ {
		windows++
		f.receiver.mu.Lock()
		counts, at := f.receiver.received[w], f.receiver.receivedAt[w]
		f.receiver.mu.Unlock()
		if at.IsZero() || at.After(w.End(window).Add(reportDue)) {
			continue
		}
		inTime++
		if total, expected := float64(counts.Total()), float64(f.started[w].Total()); math.Abs(total-expected) > maxError*expected {
			inexact++
		}
	}
	return windows, inTime, inexact
}

// runFleet runs a test in a bubble of fake time on a started fleet of n hosts, and shuts them down.
func runFleet(t *testing.T, n int, run func(is *is.I, f *fleet, rng *rand.Rand)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		for _, h := range f.hosts {
			h.start()
		}
		defer func() {
			for _, h := range f.hosts {
				h.shutDown()
			}
			time.Sleep(time.Second) // sent reports arrive
		}()
		run(is.New(t), f, rand.New(rand.NewPCG(uint64(n), 5)))
		is.New(t).Equal(f.receiver.violations, nil)
	})
}

// Without faults each window is reported once, exactly, within maxDecideDelay of its end.
func TestWindowsAreReportedExactlyWithoutFaults(t *testing.T) {
	runFleet(t, 12, func(is *is.I, f *fleet, rng *rand.Rand) {
		first := WindowAt(time.Now(), window) + 1
		f.generateLoad(rng, 75*time.Second)
		windows, inTime, _ := f.checkReports(first)
		is.True(windows >= 9)
		is.Equal(inTime, windows)
		for w, counts := range f.receiver.received {
			if w >= first && w.End(window).Before(time.Now()) {
				is.Equal(counts, f.started[w])
				is.True(f.receiver.receivedAt[w].Sub(w.End(window)) < maxDecideDelay)
			}
		}
	})
}

// A lost host loses at most half a second of counts, be it holder, collector or any other host.
func TestHostLossStaysWithinMaxError(t *testing.T) {
	for _, role := range []string{"holder", "collector", "any"} {
		runFleet(t, 24, func(is *is.I, f *fleet, rng *rand.Rand) {
			first := WindowAt(time.Now(), window) + 1
			for range 4 {
				f.generateLoad(rng, 15*time.Second)
				h := f.pickHost(role, rng)
				h.kill()
				f.generateLoad(rng, time.Second)
				h.start()
			}
			f.generateLoad(rng, 15*time.Second)
			windows, inTime, inexact := f.checkReports(first)
			is.Equal(inexact, 0)
			is.Equal(inTime, windows) // also the windows whose holder was lost
		})
	}
}

// A rolling restart of all hosts, collectors included, loses no counts: each host pushes its own
// and those it has collected before it ends.
func TestRollingRestartLosesNoCounts(t *testing.T) {
	runFleet(t, 12, func(is *is.I, f *fleet, rng *rand.Rand) {
		first := WindowAt(time.Now(), window) + 1
		for _, h := range f.hosts {
			f.generateLoad(rng, 1500*time.Millisecond)
			h.shutDown()
			f.generateLoad(rng, 0)
			h.start()
		}
		f.generateLoad(rng, 25*time.Second)
		windows, inTime, inexact := f.checkReports(first)
		is.True(windows >= 4)
		is.Equal(inTime, windows)
		is.Equal(inexact, 0)
		for w, counts := range f.receiver.received {
			if w >= first && w.End(window).Before(time.Now()) {
				is.Equal(counts.Total(), f.started[w].Total())
			}
		}
	})
}

// A host that is gone for good but still listed doesn't delay reports, unless its counts may
// exceed the maximum error.
func TestFewMissingHostsDoNotDelayReports(t *testing.T) {
	for _, c := range []struct {
		hosts int
		early bool // reported before maxDecideDelay
	}{{60, true}, {12, false}} {
		runFleet(t, c.hosts, func(is *is.I, f *fleet, rng *rand.Rand) {
			f.generateLoad(rng, 11*time.Second)
			gone := f.hosts[len(f.hosts)-1]
			gone.kill()
			first := WindowAt(time.Now(), window) + 1
			for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				f.hosts[rng.IntN(len(f.hosts)-1)].startRequest("c")
			}
			for w := first; w < first+2; w++ {
				is.Equal(f.receiver.receivedAt[w].Sub(w.End(window)) < maxDecideDelay, c.early)
			}
		})
	}
}

// pickHost returns the host with a role (the last to report, the strongest collector) or any host.
func (f *fleet) pickHost(role string, rng *rand.Rand) *host {
	f.receiver.mu.Lock()
	defer f.receiver.mu.Unlock()
	for _, h := range f.hosts {
		last := len(f.receiver.calls) > 0 && f.receiver.calls[len(f.receiver.calls)-1].machine == h.self.Addr
		if (role == "holder" && last) || (role == "collector" && h.self == Collectors(f.listed())[0]) {
			return h
		}
	}
	return f.hosts[rng.IntN(len(f.hosts))]
}

// setStoreFaults makes the store lose responses and refuse calls; nil ends that.
func (f *fleet) setStoreFaults(rng *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeFaults = rng
}

// injectFault kills and restarts a host (0), freezes it (1) or isolates it for a while (2).
func (f *fleet) injectFault(h *host, fault int, rng *rand.Rand) {
	span := func() time.Duration { return time.Duration(rng.IntN(9000)) * time.Millisecond }
	switch fault {
	case 0:
		h.kill()
		h.start()
	case 1:
		f.freeze(h.self.Addr, span())
	case 2:
		f.set(f.isolated, h.self.Addr, true)
		time.AfterFunc(span(), func() { f.set(f.isolated, h.self.Addr, false) })
	}
}

// Under faults no window is reported with different counts, no lease term is shared or decreases
// and no two machines alternate within the lease time. The faults are kills, freezes, isolated
// hosts, lost responses of the receiver, a store that loses responses, refuses calls and
// carries out writes of frozen hosts late, and hosts that can't reach the store.
func TestWindowHasOneReportUnderFaults(t *testing.T) {
	for seed := range uint64(10) {
		runFleet(t, 9, func(is *is.I, f *fleet, _ *rand.Rand) {
			rng := rand.New(rand.NewPCG(seed, 9))
			answers := rand.New(rand.NewPCG(seed, 11))
			f.receiver.delays = rand.New(rand.NewPCG(seed, 12))
			f.receiver.losesAnswer = func() bool { return answers.IntN(4) == 0 }
			for range 40 {
				h := f.pickHost([]string{"holder", "collector", "any"}[rng.IntN(3)], rng)
				switch fault := rng.IntN(7); fault {
				case 0, 1, 2:
					f.injectFault(h, fault, rng)
				case 3:
					f.setStoreFaults(rand.New(rand.NewPCG(seed, 10)))
				case 4:
					f.setStoreFaults(nil)
				case 5:
					h.shutDown()
					h.start()
				case 6:
					f.set(f.storeRefused, h.self.Addr, !f.contains(f.storeRefused, h.self.Addr))
				}
				f.generateLoad(rng, time.Duration(rng.IntN(3000))*time.Millisecond)
			}
			is.Equal(f.receiver.violations, nil)
		})
	}
}

// Guards against a window that is reported with different counts after a restore of the store has
// lost the decided report, with the holder killed, frozen, isolated or left alone, repeatedly.
func TestWindowHasOneReportAfterStoreRestore(t *testing.T) {
	for seed := range uint64(25) {
		runFleet(t, 9, func(is *is.I, f *fleet, _ *rand.Rand) {
			rng := rand.New(rand.NewPCG(seed, 9))
			answers := rand.New(rand.NewPCG(seed, 11))
			f.receiver.delays = rand.New(rand.NewPCG(seed, 12))
			f.receiver.losesAnswer = func() bool { return answers.IntN(4) == 0 }
			for range 20 {
				h := f.pickHost([]string{"holder", "collector", "any"}[rng.IntN(3)], rng)
				switch fault := rng.IntN(6); fault {
				case 0, 1, 2:
					f.injectFault(h, fault, rng)
				default:
					f.restore(rng)
				}
				f.generateLoad(rng, time.Duration(rng.IntN(6000))*time.Millisecond)
			}
			is.Equal(f.receiver.violations, nil)
		})
	}
}

// A restore of the store loses no window while the holder runs, since it keeps the decided reports.
func TestStoreRestoreLosesNoWindowWhileHolderRuns(t *testing.T) {
	runFleet(t, 9, func(is *is.I, f *fleet, rng *rand.Rand) {
		f.generateLoad(rng, 7*time.Second)
		first := WindowAt(time.Now(), window) + 1
		for range 3 {
			f.generateLoad(rng, 13*time.Second)
			f.restore(rng)
		}
		f.generateLoad(rng, 20*time.Second)
		windows, inTime, inexact := f.checkReports(first)
		is.True(windows >= 8)
		is.Equal(inTime, windows)
		is.Equal(inexact, 0)
		is.Equal(f.receiver.violations, nil)
	})
}

// Hosts whose clocks are wrong from the start of a run count in the windows of the fleet's median.
func TestSkewedClocksCountInTheRightWindow(t *testing.T) {
	runFleet(t, 24, func(is *is.I, f *fleet, rng *rand.Rand) {
		f.generateLoad(rng, 5*time.Second)
		for i, h := range f.hosts {
			if i%3 == 0 {
				h.kill()
				h.clock.skew = 2400 * time.Millisecond
				h.start()
			}
		}
		f.generateLoad(rng, 2*time.Second)
		first := WindowAt(time.Now(), window) + 1
		f.generateLoad(rng, 40*time.Second)
		windows, inTime, inexact := f.checkReports(first)
		is.True(windows >= 4)
		is.Equal(inTime, windows)
		is.Equal(inexact, 0)
	})
}

// A decided window keeps its counts: a concurrent decision conflicts, and evicted windows stay decided.
func TestDecidedWindowIsNotDecidedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		r := &reports{Through: 7, Writer: "w"}
		is.NoErr(r.save(t.Context(), p.Client("a")))
		next := r.clone()
		next.add(Report{Window: 8, Counts: Counts{"c": 3}})
		is.NoErr(next.save(t.Context(), p.Client("a")))
		late := r.clone() // another host decides from an outdated read
		late.add(Report{Window: 8, Counts: Counts{"c": 2}})
		is.True(store.IsConflict(late.save(t.Context(), p.Client("b"))))
		read, err := loadReports(t.Context(), p.Client("b"))
		is.NoErr(err)
		is.Equal(read.Reports[0].Counts, Counts{"c": 3})
		for w := Window(9); w < 30; w++ {
			read.add(Report{Window: w})
		}
		is.Equal(len(read.Reports), retainedWindows)
		is.Equal(read.Through, Window(29)) // evicted windows stay decided
	})
}

// Unreadable reports and missing options are errors.
func TestUnreadableReportsAndMissingOptionsAreErrors(t *testing.T) {
	is := is.New(t)
	p := storetest.NewPlatform(0)
	_, err := p.Client("a").Put(context.Background(), KindReports, reportsName, store.Absent, []byte("no json"))
	is.NoErr(err)
	_, err = loadReports(context.Background(), p.Client("a"))
	is.True(err != nil)
	_, err = NewReporter(Options{})
	is.True(err != nil)
	_, err = NewPusher(PusherOptions{Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler)})
	is.True(err != nil)
}
