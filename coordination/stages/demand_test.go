package stages

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// play gives a demand one sample a second, from a function of the second, and returns
// the seconds at which the share changed. What is moved stays moved.
func play(d *demand, n int, seconds int, at func(second, reading int) sample) []int {
	var changes []int
	reading := Target(n, d.share)
	now := time.Now()
	for second := range seconds {
		if d.note(now.Add(time.Duration(second)*time.Second), at(second, reading), n, reading) {
			changes = append(changes, second)
			reading = Target(n, d.share)
		}
	}
	return changes
}

func TestDemandIgnoresSwings(t *testing.T) {
	for name, at := range map[string]func(second, reading int) sample{
		"around the slots":       func(s, _ int) sample { return sample{generating: 0.4 + 1.2*float64(s/3%2)} },
		"long phases":            func(s, _ int) sample { return sample{generating: 0.2 + 0.9*float64(s/14%2)} },
		"prompts wait in phases": func(s, _ int) sample { return sample{generating: 0.3, waiting: 150 * float64(s/14%2)} },
		"both roles are full":    func(int, int) sample { return sample{generating: 3, waiting: 50} },
		"no traffic":             func(int, int) sample { return sample{} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDemand(0.7)
			is.Equal(len(play(d, 12, 80, at)), 0)
			is.Equal(d.share, 0.7)
		})
	}
}

// Mostly long answers: three times the load that four engines carry.
func TestDemandTakesGrossLoad(t *testing.T) {
	is := is.New(t)
	d := newDemand(0.68)
	changes := play(d, 12, 60, func(_, reading int) sample { return sample{generating: 12 / float64(12-reading)} })
	is.True(len(changes) >= 1 && len(changes) <= 3)
	is.True(changes[0] <= 4) // gross load is acted on within seconds
	is.True(d.share < 0.4)
	is.True(Target(12, d.share) >= minEach)
}

// Hardly any answers: prompts wait at all times.
func TestDemandGivesIdleEnginesToPrompts(t *testing.T) {
	is := is.New(t)
	d := newDemand(0.5)
	changes := play(d, 12, 60, func(int, int) sample { return sample{generating: 0.05, waiting: 40} })
	is.True(len(changes) >= 1)
	is.True(d.share > 0.7)
	is.True(12-Target(12, d.share) >= minEach)
}

// A day begins with cold caches: prompts wait at twelve engines of 18, and the other six
// have work for one. Some of these are given to prompts within seconds; what is left
// carries the peak at less than half of its places, with an engine in sixteen to spare.
func TestIdleGeneratingEnginesReadWhileCachesAreCold(t *testing.T) {
	for _, c := range []struct {
		name       string
		n          int
		load       float64
		generating int
		changes    int
	}{
		{"18 engines, work for one", 18, 1, 5, 1},
		{"90 engines, work for five", 90, 5, 19, 3}, // six at a time
		{"18 engines, work for five", 18, 5, 6, 0},  // nothing is to be had
		{"12 engines, work for a tenth", 12, 0.1, 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDemand(0.64)
			changes := play(d, c.n, 30, func(_, reading int) sample {
				return sample{generating: c.load / float64(c.n-reading), waiting: 3}
			})
			is.Equal(c.n-Target(c.n, d.share), c.generating)
			is.Equal(len(changes), c.changes)
			is.True(len(changes) == 0 || changes[0] <= 4)
		})
	}
}

// A burst of answers that is over still counts for some seconds: the next one may come.
func TestPeakOfAnswersIsRememberedBetweenBursts(t *testing.T) {
	is := is.New(t)
	d := newDemand(0.64)
	changes := play(d, 12, 12, func(s, _ int) sample {
		if s < 3 {
			return sample{generating: 0.8}
		}
		return sample{generating: 0.1, waiting: 5}
	})
	is.Equal(len(changes), 0)
}

func (f *fakeEngines) reading() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return prefilling(f.instances())
}

func (f *fakeEngines) setLoad(perEngine float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.perEngine = perEngine
}

func TestNextHolderKeepsTheSplitThatWasLearnt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(engines(8, 4), 0, 1)
		f.perEngine = 8 // of 10 slots, if all engines generated
		p := storetest.NewPlatform(time.Second)
		stop := runHolder(t, p, f, "h1")
		time.Sleep(40 * time.Second)
		stop()
		learnt := f.reading()
		is.True(learnt <= 4)
		f.setLoad(0.7) // no reason to change anything

		stop = runHolder(t, p, f, "h2")
		time.Sleep(40 * time.Second)
		stop()
		is.Equal(f.reading(), learnt)
		is.Equal(len(f.problems), 0)
	})
}

// Guards against a split that is learnt anew after the next change of the holder, because a restored
// store lost what was learnt.
func TestSplitThatARestoredStoreLostIsSavedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(engines(8, 4), 0, 1)
		f.perEngine = 8
		p := storetest.NewPlatform(time.Second)
		stop := runHolder(t, p, f, "h1")
		time.Sleep(40 * time.Second)
		f.setLoad(0.7) // no reason to change anything
		time.Sleep(20 * time.Second)
		learnt, _, err := Shares{p.Client("test")}.Load(t.Context(), "llm")
		is.NoErr(err)
		p.RestoreBefore(5 * time.Minute)
		time.Sleep(20 * time.Second)
		stop()
		again, version, err := Shares{p.Client("test")}.Load(t.Context(), "llm")
		is.NoErr(err)
		is.True(version != store.Absent)
		is.Equal(again, learnt)
		is.Equal(len(f.problems), 0)
	})
}

// A share that the store did not take stands in this host's next term.
func TestSplitThatWasNotSavedIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(engines(8, 4), 0, 1)
		f.perEngine = 8
		p := storetest.NewPlatform(time.Second)
		var mu sync.Mutex
		down, refused := "", 0
		timesRefused := func() int {
			mu.Lock()
			defer mu.Unlock()
			return refused
		}
		p.SetScript(func(c storetest.Call) storetest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if down != "" && strings.Contains(fmt.Sprint(c.Kind, " ", c.Op), down) {
				refused++
				return storetest.Refuse
			}
			return storetest.None
		})
		set := func(kinds string) {
			mu.Lock()
			defer mu.Unlock()
			down = kinds
		}
		set(kindShares + " put")
		stop := runHolder(t, p, f, "h1")
		time.Sleep(20 * time.Second)
		learnt := f.reading()
		is.True(learnt <= 4)
		is.True(timesRefused() > 0)
		f.setLoad(0.7)
		set(" ") // the lease lapses
		time.Sleep(10 * time.Second)
		set("")
		time.Sleep(40 * time.Second)
		stop()
		is.Equal(f.reading(), learnt)
		share, version, err := Shares{p.Client("test")}.Load(t.Context(), "llm")
		is.NoErr(err)
		is.True(version > 0) // saved once the store answered
		is.True(share < 0.4)
	})
}

func TestShareThatCantBeReadNamesItsObject(t *testing.T) {
	for _, value := range []string{"", "{}", `{"share":1.5}`, "nonsense"} {
		is := is.New(t)
		p := storetest.NewPlatform(0)
		_, err := p.Client("test").Put(t.Context(), kindShares, "llm", 0, []byte(value))
		is.NoErr(err)
		_, _, err = Shares{p.Client("test")}.Load(t.Context(), "llm")
		is.True(err != nil && strings.Contains(err.Error(), "engine-shares/llm"))
	}
}

// A fleet of 1,200 engines with hardly any work: the split of the settings is worth a few
// orders at most, until a load is seen for which it matters.
func TestFirstSplitOfALargeFleetWaitsForLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n = 1200
		f := newFakeEngines(engines(n/2, n/2), 0, 1)
		f.perEngine = 0.01
		p := storetest.NewPlatform(time.Second)
		stop := runHolder(t, p, f, "h")
		defer func() { stop() }()
		time.Sleep(time.Minute)
		is.Equal(f.reading(), n/2+guessMost)
		stop()
		stop = runHolder(t, p, f, "h2") // the next holder has no better reason
		time.Sleep(time.Minute)
		is.Equal(f.reading(), n/2+guessMost)
		f.setLoad(2) // a fifth of the slots
		time.Sleep(10 * time.Second)
		is.Equal(f.reading(), Target(n, 0.68))
		is.Equal(len(f.problems), 0)
	})
}

// An engine that has changed role since it was listed counts in neither: the load that it
// still reports would pass for that of the role it has left.
func TestEngineThatChangedRoleSinceItWasListedIsNotSampled(t *testing.T) {
	is := is.New(t)
	f := newFakeEngines(engines(1, 4), 0, 1)
	listed := f.list("")
	for _, e := range f.engines {
		e.instance.Role = state.RolePrefill
	}
	m := &Manager{o: Options{Engines: f, Log: slog.New(slog.DiscardHandler)}}
	_, ok := m.sample(t.Context(), listed)
	is.True(!ok) // none generates
}

// Two failure domains' engines are taken back at once: of 86 engines 28 are left, and of those
// the share would leave ten to generate what filled fourteen a moment ago.
func TestGeneratingEnginesFollowTheirUseWhenEnginesAreLost(t *testing.T) {
	is := is.New(t)
	d := newDemand(0.64)
	at := time.Unix(100, 0)
	d.noteSize(86, at)
	d.note(at, sample{generating: 0.45, waiting: 0}, 86, 55)
	d.noteSize(28, at.Add(time.Second))
	is.Equal(d.inUse(28), 14)
	is.Equal(d.inUse(20), 10) // prompts are read all the same
	is.Equal(newDemand(0.64).inUse(28), 0)
	d.noteSize(28, at.Add(lossLasts))
	is.Equal(d.inUse(28), 28-Target(28, 0.64)) // that is the fleet now
}

// Twelve engines of rostering's first deployment: a burst of questions fills five and more, and
// moving one of the eight that read prompts for it cost a third of the worst day's worth. While
// none is lost the share alone divides them.
func TestWholeFleetIsDividedByItsShare(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{4, 12, 57, 300} {
		d := newDemand(0.64)
		d.noteSize(n, time.Unix(100, 0))
		d.peak = float64(n)
		is.True(n-d.inUse(n) >= Target(n, 0.64))
	}
}
