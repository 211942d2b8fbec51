package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/clocktest"
)

const (
	// contact is the time in which all hosts must know of the third crash, and for which a
	// host must have been undisturbed for a bound to apply to it.
	contact = 3 * time.Second
	// mostLate bounds the copies that undisturbed hosts send after that.
	mostLate = 3
	// mostWipes bounds how often all hosts lose their memory at once: each time, a crash
	// that wasn't the second yet is forgotten.
	mostWipes = 2
)

// step is one thing that happens, a pause after the one before.
type step struct {
	what  string
	host  int
	pause time.Duration
	// beside is how many other requests run where a copy does.
	beside int
}

func steps(rt *rapid.T, hosts int) []step {
	what := rapid.SampledFrom([]string{"copy", "copy", "copy", "restart", "restart all", "cut", "heal", "lose store", "regain store"})
	out := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			what: what.Draw(rt, "what"), host: rapid.IntRange(0, hosts-1).Draw(rt, "host"),
			pause: time.Duration(rapid.IntRange(0, 2000).Draw(rt, "pause")) * time.Millisecond, beside: rapid.IntRange(0, 4).Draw(rt, "beside"),
		}
	}), 5, 60).Draw(rt, "steps")
	return out
}

// trial plays steps and judges by what reaches the runners.
type trial struct {
	*fleet
	clock clocktest.Bubble
	// disturbed is when each host was last restarted or without the store.
	disturbed []time.Time
	crashes   []time.Time
	runs      int
	wipes     int
	late      int
	// innocents ran beside a copy at a crash.
	innocents []Digest
}

// copy lets a copy of the request come to a host: it crashes the runner that it reaches, with
// others beside it that come again and are answered.
func (tr *trial) copy(s step) {
	if tr.hosts[s.host].Held(digest(0)) != nil {
		return
	}
	now := tr.clock.Now()
	if len(tr.crashes) >= 3 && now.Sub(tr.crashes[2]) > contact && now.Sub(tr.disturbed[s.host]) > contact {
		tr.late++
	}
	time.Sleep(80 * time.Millisecond)
	tr.runs++
	suspects := []Suspect{fresh(0)}
	for n := range s.beside {
		suspects = append(suspects, fresh(tr.runs*10+n))
		tr.innocents = append(tr.innocents, digest(tr.runs*10+n))
	}
	tr.crashes = append(tr.crashes, tr.clock.Now())
	tr.hosts[s.host].ReportCrash(run(tr.runs), tr.clock.Now(), suspects)
}

func (tr *trial) do(s step) {
	time.Sleep(s.pause)
	switch s.what {
	case "copy":
		tr.copy(s)
	case "restart":
		tr.restart(s.host)
		tr.disturbed[s.host] = tr.clock.Now()
	case "restart all":
		if tr.wipes == mostWipes {
			return
		}
		tr.wipes++
		for n := range tr.hosts {
			tr.restart(n)
			tr.disturbed[n] = tr.clock.Now()
		}
	case "cut", "heal":
		tr.set(tr.cut, s.what == "cut", s.host)
	case "lose store", "regain store":
		tr.set(tr.unreachable, s.what == "lose store", s.host)
	}
	for n, h := range tr.hosts {
		if tr.unreachable[h.name] {
			tr.disturbed[n] = tr.clock.Now()
		}
	}
}

// end heals all and lets the time pass after which a request is tried again.
func (tr *trial) end() error {
	all := []int{0, 1, 2, 3, 4}
	tr.set(tr.cut, false, all...)
	tr.set(tr.unreachable, false, all...)
	if tr.late > mostLate {
		return fmt.Errorf("%d copies reached runners after the bound; %d runners crashed", tr.late, len(tr.crashes))
	}
	time.Sleep(initialHold + time.Minute)
	for _, d := range tr.innocents {
		if n := tr.holders(d); n > 0 {
			return fmt.Errorf("a request that only ran beside the one that crashes runners is held at %d hosts for good", n)
		}
	}
	return nil
}

// However hosts restart, are cut off from each other or lose the store, few copies reach a
// runner once three have crashed, and no other request is held for good.
func TestHoldsFewCopiesReachRunners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := steps(rt, 5)
		var err error
		synctest.Test(t, func(t *testing.T) {
			tr := &trial{fleet: newFleet(t, 5), disturbed: make([]time.Time, 5)}
			for _, s := range plan {
				tr.do(s)
			}
			err = tr.end()
			for _, h := range tr.hosts {
				h.stop()
			}
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
