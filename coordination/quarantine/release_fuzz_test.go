package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// release is one thing that happens to requests, a pause after the one before.
type release struct {
	what    string
	request int
	host    int
	pause   time.Duration
}

func releases(rt *rapid.T, hosts, requests int) []release {
	what := rapid.SampledFrom([]string{"crash", "crash", "answer", "lift", "restart", "cut", "heal", "slow store", "late answers", "sound store"})
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) release {
		return release{
			what: what.Draw(rt, "what"), request: rapid.IntRange(0, requests-1).Draw(rt, "request"), host: rapid.IntRange(0, hosts-1).Draw(rt, "host"),
			pause: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond,
		}
	}), 5, 60).Draw(rt, "steps")
}

// releasing plays releases and knows which requests were let go after their last crash.
type releasing struct {
	*fleet
	runs  int
	freed map[int]bool
	// answers and crashes are the last of each request. What only a host knew that was killed
	// or cut off before it could tell is lost with it, or can't be compared by others.
	answers, crashes map[int]event
}

// event is what a host has had.
type event struct {
	host int
	at   time.Time
	// lost says that the others weren't told.
	lost bool
}

// tellFor is how long a host takes to tell of an event at most, and the store to be told.
const tellFor = 3 * reviewInterval

// lose marks the events that a host can't have told yet.
func (tr *releasing) lose(host int) {
	for _, events := range []map[int]event{tr.answers, tr.crashes} {
		for n, e := range events {
			if e.host == host && time.Since(e.at) < tellFor {
				e.lost = true
				events[n] = e
			}
		}
	}
}

// event is what a host has at this moment.
func (tr *releasing) event(host int) event {
	return event{host: host, at: time.Now(), lost: tr.cut[tr.hosts[host].name]}
}

func (tr *releasing) do(s release) {
	time.Sleep(s.pause)
	switch s.what {
	case "crash":
		if tr.hosts[s.host].Held(digest(s.request)) != nil {
			return
		}
		tr.runs++
		tr.freed[s.request] = false
		before := tr.crashes[s.request]
		tr.crashes[s.request] = tr.event(s.host)
		if before.lost {
			tr.crashes[s.request] = before
		}
		tr.note(s.host, tr.runs, fresh(s.request))
	case "answer":
		time.Sleep(2*batchDelay + noticeTime) // another host's answer may cross a crash on its way
		tr.hosts[s.host].ReportAnswered(digest(s.request))
		tr.freed[s.request] = true
		tr.answers[s.request] = tr.event(s.host)
	case "lift":
		time.Sleep(reviewInterval) // an operator reads first; a crash that is being told then counts after
		// One that isn't stored has nothing to be lifted.
		tr.freed[s.request] = Release(tr.t.Context(), tr.store.Client("operator"), digest(s.request)) == nil
		tr.answers[s.request] = event{}
	case "restart":
		tr.lose(s.host)
		tr.restart(s.host)
	case "cut":
		tr.lose(s.host)
		tr.set(tr.cut, true, s.host)
	case "heal":
		tr.set(tr.cut, false, s.host)
	case "slow store", "late answers", "sound store":
		tr.delay(s.what == "slow store", s.what == "late answers")
	}
}

// delay sets which part of a write takes long.
func (f *fleet) delay(write, answer bool) {
	const long = 2 * time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow, f.slowAnswer = 0, 0
	if write {
		f.slow = long
	}
	if answer {
		f.slowAnswer = long
	}
}

// end heals all and judges what has been let go.
func (tr *releasing) end(requests int) error {
	tr.set(tr.cut, false, 0, 1, 2, 3, 4)
	tr.delay(false, false)
	time.Sleep(time.Minute)
	for n := range requests {
		holders := tr.holders(digest(n))
		_, there := tr.entry(digest(n))
		told := !tr.answers[n].lost && !tr.crashes[n].lost
		if tr.freed[n] && told && (holders > 0 || there) {
			return fmt.Errorf("request %d was let go after its last crash; %d hosts hold it, an entry: %v", n, holders, there)
		}
		if holders > 0 && holders < len(tr.hosts) {
			return fmt.Errorf("request %d is held at %d of %d hosts", n, holders, len(tr.hosts))
		}
	}
	return nil
}

// Whatever order the news comes in, a request that was answered or lifted after its last crash
// is held nowhere, and in the end all hosts hold the same.
func TestHoldsReleasesStand(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := playReleases(t, releases(rt, 5, requests)); err != nil {
			rt.Fatal(err)
		}
	})
}

// requests is how many requests the releases are of.
const requests = 3

func playReleases(t *testing.T, plan []release) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tr := &releasing{fleet: newFleet(t, 5), freed: map[int]bool{}, answers: map[int]event{}, crashes: map[int]event{}}
		for _, s := range plan {
			tr.do(s)
		}
		err = tr.end(requests)
		for _, h := range tr.hosts {
			h.stop()
		}
	})
	return err
}

// Plans that failed once, as the property test had shortened them; their order within a moment
// differs from run to run, so that each is played some times.
func TestReleasesStandInPlansThatFailedOnce(t *testing.T) {
	ms := time.Millisecond
	for name, plan := range map[string][]release{
		"answered in the midst of several crashes": {
			{"crash", 0, 0, 0}, {"crash", 0, 0, 0}, {"crash", 0, 0, 0}, {"crash", 0, 0, 0}, {"answer", 0, 0, 0},
		},
		"a hold that crosses an answer, and a restart": {
			{"cut", 0, 1, 728 * ms}, {"answer", 0, 0, 2 * ms}, {"crash", 0, 0, 221 * ms}, {"crash", 2, 2, 2110 * ms}, {"heal", 0, 4, 160 * ms},
			{"answer", 1, 4, ms}, {"answer", 1, 4, 6 * ms}, {"crash", 2, 0, 49 * ms}, {"answer", 2, 2, 2 * ms}, {"crash", 0, 2, 3 * ms},
			{"late answers", 1, 1, 5 * ms}, {"restart", 2, 1, 3000 * ms}, {"crash", 1, 0, 3000 * ms}, {"slow store", 2, 0, 1500 * ms},
			{"sound store", 0, 3, ms}, {"crash", 2, 4, 22 * ms}, {"late answers", 2, 0, 112 * ms},
		},
		"lifted while a slow store has writes": {
			{"crash", 2, 0, 0}, {"crash", 0, 0, 20 * ms}, {"restart", 2, 1, 0}, {"slow store", 0, 2, 6 * ms}, {"crash", 2, 1, 0},
			{"answer", 1, 4, 2428 * ms}, {"lift", 2, 4, 315 * ms},
		},
		"lifted while one of two writers is slow": {
			{"slow store", 0, 0, 0}, {"crash", 0, 4, 0}, {"heal", 1, 1, 9 * ms}, {"crash", 0, 0, 10 * ms}, {"sound store", 0, 3, 25 * ms},
			{"lift", 0, 0, 0}, {"lift", 1, 4, ms},
		},
		"a host that was cut off at the answer holds": {
			{"crash", 0, 0, 0}, {"cut", 0, 3, 20 * ms}, {"answer", 0, 0, 46 * ms}, {"restart", 0, 2, 3000 * ms}, {"crash", 0, 3, ms}, {"crash", 0, 1, 66 * ms},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				if err := playReleases(t, plan); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}
