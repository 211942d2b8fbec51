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
	// convergenceTime is the time in which all hosts must know of the third crash. A bound applies
	// to a host only if it has been undisturbed for as long.
	convergenceTime = 3 * time.Second
	// maxLateSends bounds the copies that undisturbed hosts send after that.
	maxLateSends = 3
	// maxWipes bounds how often all hosts lose their state at once. Each time, a first crash that
	// wasn't followed by a second one yet is lost.
	maxWipes = 2
)

// step is one event of the simulation, after a pause.
type step struct {
	action string
	host   int
	pause  time.Duration
	// others is the number of other requests that run at the same runner as a copy.
	others int
}

// drawSteps draws the events of one trial.
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

// trial runs steps and checks how many copies of a culprit reach the runners.
type trial struct {
	*fleet
	clock clocktest.Bubble
	// disturbed is when each host was last restarted or cut off from the store.
	disturbed []time.Time
	crashes   []time.Time
	runs      int
	wipes     int
	lateSends int
	// bystanders ran beside a copy at a crash.
	bystanders []Digest
}

// sendCopy sends a copy of the culprit from a host. It crashes its runner; the other requests there
// are retried and answered.
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

// check heals all faults, waits until holds have expired and returns an error if too many copies
// were sent or a bystander is still held.
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
			return fmt.Errorf("a bystander is still held at %d hosts after the first hold has expired", n)
		}
	}
	return nil
}

// However hosts restart or lose the connection to each other or to the store, few copies of a
// culprit reach a runner after its third crash, and no bystander stays held.
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
