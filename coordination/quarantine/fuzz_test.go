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
	// convergenceTime is the time in which all hosts must know of the third crash, and for which a
	// host must have been undisturbed for a bound to apply to it.
	convergenceTime = 3 * time.Second
	// maxLateSends bounds the copies that undisturbed hosts send after that.
	maxLateSends = 3
	// maxWipes bounds how often all hosts lose their memory at once: each time, a crash
	// that wasn't the second yet is forgotten.
	maxWipes = 2
)

// step is one thing that happens, a pause after the one before.
type step struct {
	action string
	host   int
	pause  time.Duration
	// others is how many other requests run where a copy does.
	others int
}

func drawSteps(rt *rapid.T, hosts int) []step {
	action := rapid.SampledFrom([]string{"copy", "copy", "copy", "restart", "restart all", "cut", "heal", "lose store", "regain store"})
	out := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			action: action.Draw(rt, "what"), host: rapid.IntRange(0, hosts-1).Draw(rt, "host"),
			pause: time.Duration(rapid.IntRange(0, 2000).Draw(rt, "pause")) * time.Millisecond, others: rapid.IntRange(0, 4).Draw(rt, "beside"),
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
	lateSends int
	// bystanders ran beside a copy at a crash.
	bystanders []Digest
}

// sendCopy lets a sendCopy of the request come to a host: it crashes the runner that it reaches, with
// others beside it that come again and are answered.
func (tr *trial) sendCopy(s step) {
	if tr.hosts[s.host].Held(digest(0)) != nil {
		return
	}
	now := tr.clock.Now()
	if len(tr.crashes) >= 3 && now.Sub(tr.crashes[2]) > convergenceTime && now.Sub(tr.disturbed[s.host]) > convergenceTime {
		tr.lateSends++
	}
	time.Sleep(80 * time.Millisecond)
	tr.runs++
	suspects := []Suspect{fresh(0)}
	for n := range s.others {
		suspects = append(suspects, fresh(tr.runs*10+n))
		tr.bystanders = append(tr.bystanders, digest(tr.runs*10+n))
	}
	tr.crashes = append(tr.crashes, tr.clock.Now())
	tr.hosts[s.host].ReportCrash(run(tr.runs), tr.clock.Now(), suspects)
}

func (tr *trial) do(s step) {
	time.Sleep(s.pause)
	switch s.action {
	case "copy":
		tr.sendCopy(s)
	case "restart":
		tr.restart(s.host)
		tr.disturbed[s.host] = tr.clock.Now()
	case "restart all":
		if tr.wipes == maxWipes {
			return
		}
		tr.wipes++
		for n := range tr.hosts {
			tr.restart(n)
			tr.disturbed[n] = tr.clock.Now()
		}
	case "cut", "heal":
		tr.set(tr.cut, s.action == "cut", s.host)
	case "lose store", "regain store":
		tr.set(tr.unreachable, s.action == "lose store", s.host)
	}
	for n, h := range tr.hosts {
		if tr.unreachable[h.name] {
			tr.disturbed[n] = tr.clock.Now()
		}
	}
}

// check heals all and lets the time pass after which a request is tried again.
func (tr *trial) check() error {
	all := []int{0, 1, 2, 3, 4}
	tr.set(tr.cut, false, all...)
	tr.set(tr.unreachable, false, all...)
	if tr.lateSends > maxLateSends {
		return fmt.Errorf("%d copies reached runners after the bound; %d runners crashed", tr.lateSends, len(tr.crashes))
	}
	time.Sleep(initialHold + time.Minute)
	for _, d := range tr.bystanders {
		if n := tr.holderCount(d); n > 0 {
			return fmt.Errorf("a request that only ran beside the one that crashes runners is held at %d hosts for good", n)
		}
	}
	return nil
}

// However hosts restart, are cut off from each other or lose the store, few copies reach a
// runner once three have crashed, and no other request is held for good.
func TestHoldsFewCopiesReachRunners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawSteps(rt, 5)
		var err error
		synctest.Test(t, func(t *testing.T) {
			tr := &trial{fleet: newFleet(t, 5), disturbed: make([]time.Time, 5)}
			for _, s := range plan {
				tr.do(s)
			}
			err = tr.check()
			for _, h := range tr.hosts {
				h.stop()
			}
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
