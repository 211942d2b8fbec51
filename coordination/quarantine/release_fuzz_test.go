package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// releaseStep is one event of the simulation, after a pause.
type releaseStep struct {
	action  string
	request int
	host    int
	pause   time.Duration
}

// drawReleaseSteps draws the events of one trial.
func drawReleaseSteps(rt *rapid.T, hosts, requests int) []releaseStep {
	action := rapid.SampledFrom([]string{"crash", "crash", "answer", "release", "restart", "cut", "heal", "slow store", "late answers", "fast store"})
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) releaseStep {
		return releaseStep{
			action: action.Draw(rt, "what"), request: rapid.IntRange(0, requests-1).Draw(rt, "request"), host: rapid.IntRange(0, hosts-1).Draw(rt, "host"),
			pause: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond,
		}
	}), 5, 60).Draw(rt, "steps")
}

// releaseTrial runs steps and tracks which requests were answered or released after their last
// crash.
type releaseTrial struct {
	*fleet
	runs     int
	released map[int]bool
	// answers and crashes are the last ones of each request. An event is lost if its host was
	// restarted or cut off before it could report the event.
	answers, crashes map[int]hostEvent
}

// hostEvent is an answer or a crash at a host.
type hostEvent struct {
	host int
	at   time.Time
	// lost says that the event wasn't reported to the other hosts.
	lost bool
}

// reportTime is the maximum time that a host takes to report an event to the other hosts and the
// store.
const reportTime = 3 * reviewInterval

// markLost marks the events that a host may not have reported yet as lost.
func (tr *releaseTrial) markLost(host int) {
	for _, events := range []map[int]hostEvent{tr.answers, tr.crashes} {
		for n, e := range events {
			if e.host == host && time.Since(e.at) < reportTime {
				e.lost = true
				events[n] = e
			}
		}
	}
}

// newEvent returns an event that happens now at a host.
func (tr *releaseTrial) newEvent(host int) hostEvent {
	return hostEvent{host: host, at: time.Now(), lost: tr.cut[tr.hosts[host].name]}
}

func (tr *releaseTrial) do(s releaseStep) {
	time.Sleep(s.pause)
	switch s.action {
	case "crash":
		if tr.hosts[s.host].Held(digest(s.request)) != nil {
			return
		}
		tr.runs++
		tr.released[s.request] = false
		before := tr.crashes[s.request]
		tr.crashes[s.request] = tr.newEvent(s.host)
		if before.lost {
			tr.crashes[s.request] = before
		}
		tr.reportCrash(s.host, tr.runs, fresh(s.request))
	case "answer":
		time.Sleep(2*batchDelay + noticeDelay) // so that the answer of another host doesn't overtake a crash in flight
		tr.hosts[s.host].ReportAnswered(digest(s.request))
		tr.released[s.request] = true
		tr.answers[s.request] = tr.newEvent(s.host)
	case "release":
		time.Sleep(reviewInterval) // an operator reads the entry first; this lets a crash in flight arrive before the release
		// Releasing a request fails if it has no entry.
		tr.released[s.request] = Release(tr.t.Context(), tr.store.Client("operator"), digest(s.request)) == nil
		tr.answers[s.request] = hostEvent{}
	case "restart":
		tr.markLost(s.host)
		tr.restart(s.host)
	case "cut":
		tr.markLost(s.host)
		tr.set(tr.cut, true, s.host)
	case "heal":
		tr.set(tr.cut, false, s.host)
	case "slow store", "late answers", "fast store":
		tr.delayStore(s.action == "slow store", s.action == "late answers")
	}
}

// delayStore sets which part of a write takes two seconds.
func (f *fleet) delayStore(write, answer bool) {
	const long = 2 * time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeDelay, f.answerDelay = 0, 0
	if write {
		f.writeDelay = long
	}
	if answer {
		f.answerDelay = long
	}
}

// check heals all faults and checks that released requests are held nowhere and that all hosts hold
// the same requests.
func (tr *releaseTrial) check(requests int) error {
	tr.set(tr.cut, false, 0, 1, 2, 3, 4)
	tr.delayStore(false, false)
	time.Sleep(time.Minute)
	for n := range requests {
		holders := tr.holderCount(digest(n))
		_, found := tr.entry(digest(n))
		reported := !tr.answers[n].lost && !tr.crashes[n].lost
		if tr.released[n] && reported && (holders > 0 || found) {
			return fmt.Errorf("request %d was answered or released after its last crash, but %d hosts hold it; entry in the store: %v", n, holders, found)
		}
		if holders > 0 && holders < len(tr.hosts) {
			return fmt.Errorf("request %d is held at %d of %d hosts", n, holders, len(tr.hosts))
		}
	}
	return nil
}

// In whatever order crashes, answers and releases reach the hosts, a request that was answered or
// released after its last crash is held nowhere, and in the end all hosts hold the same requests.
func TestHoldsReleasesStand(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runReleaseSteps(t, drawReleaseSteps(rt, 5, releaseRequests)); err != nil {
			rt.Fatal(err)
		}
	})
}

// releaseRequests is the number of requests in a trial.
const releaseRequests = 3

// runReleaseSteps runs one trial and returns the error of its check.
func runReleaseSteps(t *testing.T, plan []releaseStep) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tr := &releaseTrial{fleet: newFleet(t, 5), released: map[int]bool{}, answers: map[int]hostEvent{}, crashes: map[int]hostEvent{}}
		for _, s := range plan {
			tr.do(s)
		}
		err = tr.check(releaseRequests)
		for _, h := range tr.hosts {
			h.stop()
		}
	})
	return err
}

// Regression tests with failing plans that the property test had shrunk. Each plan runs several
// times, since the order of simultaneous events differs from run to run.
func TestReleasesStandInPlansThatFailedOnce(t *testing.T) {
	ms := time.Millisecond
	for name, plan := range map[string][]releaseStep{
		"answered in the midst of several crashes": {
			{"crash", 0, 0, 0}, {"crash", 0, 0, 0}, {"crash", 0, 0, 0}, {"crash", 0, 0, 0}, {"answer", 0, 0, 0},
		},
		"a hold that crosses an answer, and a restart": {
			{"cut", 0, 1, 728 * ms}, {"answer", 0, 0, 2 * ms}, {"crash", 0, 0, 221 * ms}, {"crash", 2, 2, 2110 * ms}, {"heal", 0, 4, 160 * ms},
			{"answer", 1, 4, ms}, {"answer", 1, 4, 6 * ms}, {"crash", 2, 0, 49 * ms}, {"answer", 2, 2, 2 * ms}, {"crash", 0, 2, 3 * ms},
			{"late answers", 1, 1, 5 * ms}, {"restart", 2, 1, 3000 * ms}, {"crash", 1, 0, 3000 * ms}, {"slow store", 2, 0, 1500 * ms},
			{"fast store", 0, 3, ms}, {"crash", 2, 4, 22 * ms}, {"late answers", 2, 0, 112 * ms},
		},
		"lifted while a slow store has writes": {
			{"crash", 2, 0, 0}, {"crash", 0, 0, 20 * ms}, {"restart", 2, 1, 0}, {"slow store", 0, 2, 6 * ms}, {"crash", 2, 1, 0},
			{"answer", 1, 4, 2428 * ms}, {"release", 2, 4, 315 * ms},
		},
		"lifted while one of two writers is slow": {
			{"slow store", 0, 0, 0}, {"crash", 0, 4, 0}, {"heal", 1, 1, 9 * ms}, {"crash", 0, 0, 10 * ms}, {"fast store", 0, 3, 25 * ms},
			{"release", 0, 0, 0}, {"release", 1, 4, ms},
		},
		"a host that was cut off at the answer holds": {
			{"crash", 0, 0, 0}, {"cut", 0, 3, 20 * ms}, {"answer", 0, 0, 46 * ms}, {"restart", 0, 2, 3000 * ms}, {"crash", 0, 3, ms}, {"crash", 0, 1, 66 * ms},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				if err := runReleaseSteps(t, plan); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}
