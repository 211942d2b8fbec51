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
func simulate(estimator *shareEstimator, n int, seconds int, sampleAt func(second, prefill int) loadSample) []int {
	var changedAt []int
	prefill := PrefillTarget(n, estimator.share)
	now := time.Now()
	for second := range seconds {
		if estimator.addSample(now.Add(time.Duration(second)*time.Second), sampleAt(second, prefill), n, prefill) {
			changedAt = append(changedAt, second)
			prefill = PrefillTarget(n, estimator.share)
		}
	}
	return changedAt
}

func TestEstimatorIgnoresLoadSwings(t *testing.T) {
	for name, sampleAt := range map[string]func(second, prefill int) loadSample{
		"around the slots":       func(s, _ int) loadSample { return loadSample{decodeLoad: 0.4 + 1.2*float64(s/3%2)} },
		"long phases":            func(s, _ int) loadSample { return loadSample{decodeLoad: 0.2 + 0.9*float64(s/14%2)} },
		"prompts wait in phases": func(s, _ int) loadSample { return loadSample{decodeLoad: 0.3, queuedPrompts: 150 * float64(s/14%2)} },
		"both roles are full":    func(int, int) loadSample { return loadSample{decodeLoad: 3, queuedPrompts: 50} },
		"no traffic":             func(int, int) loadSample { return loadSample{} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			estimator := newShareEstimator(0.7)
			is.Equal(len(simulate(estimator, 12, 80, sampleAt)), 0)
			is.Equal(estimator.share, 0.7)
		})
	}
}

// Mostly long answers: three times the load that four engines carry.
func TestEstimatorMovesEnginesToDecodeUnderOverload(t *testing.T) {
	is := is.New(t)
	estimator := newShareEstimator(0.68)
	changes := simulate(estimator, 12, 60, func(_, prefill int) loadSample { return loadSample{decodeLoad: 12 / float64(12-prefill)} })
	is.True(len(changes) >= 1 && len(changes) <= 3)
	is.True(changes[0] <= 4) // gross load is acted on within seconds
	is.True(estimator.share < 0.4)
	is.True(PrefillTarget(12, estimator.share) >= minPerRole)
}

// Hardly any answers: prompts wait at all times.
func TestEstimatorMovesIdleDecodeEnginesToPrefill(t *testing.T) {
	is := is.New(t)
	estimator := newShareEstimator(0.5)
	changes := simulate(estimator, 12, 60, func(int, int) loadSample { return loadSample{decodeLoad: 0.05, queuedPrompts: 40} })
	is.True(len(changes) >= 1)
	is.True(estimator.share > 0.7)
	is.True(12-PrefillTarget(12, estimator.share) >= minPerRole)
}

// A day begins with cold caches: prompts wait at twelve engines of 18, and the other six
// have work for one. Some of these are given to prompts within seconds; what is left
// carries the peak at less than half of its places, with an engine in sixteen to spare.
func TestEstimatorSparesDecodeCapacityWhileCachesAreCold(t *testing.T) {
	for _, c := range []struct {
		name        string
		n           int
		decodeLoad  float64
		wantDecode  int
		wantChanges int
	}{
		{"18 engines, work for one", 18, 1, 5, 1},
		{"90 engines, work for five", 90, 5, 19, 3}, // six at a time
		{"18 engines, work for five", 18, 5, 6, 0},  // nothing is to be had
		{"12 engines, work for a tenth", 12, 0.1, 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			estimator := newShareEstimator(0.64)
			changes := simulate(estimator, c.n, 30, func(_, prefill int) loadSample {
				return loadSample{decodeLoad: c.decodeLoad / float64(c.n-prefill), queuedPrompts: 3}
			})
			is.Equal(c.n-PrefillTarget(c.n, estimator.share), c.wantDecode)
			is.Equal(len(changes), c.wantChanges)
			is.True(len(changes) == 0 || changes[0] <= 4)
		})
	}
}

// A burst of answers that is over still counts for some seconds: the next one may come.
func TestEstimatorKeepsDecodePeakBetweenBursts(t *testing.T) {
	is := is.New(t)
	estimator := newShareEstimator(0.64)
	changes := simulate(estimator, 12, 12, func(s, _ int) loadSample {
		if s < 3 {
			return loadSample{decodeLoad: 0.8}
		}
		return loadSample{decodeLoad: 0.1, queuedPrompts: 5}
	})
	is.Equal(len(changes), 0)
}

func (f *fakeEngines) prefillCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return countPrefill(f.currentInstances())
}

func (f *fakeEngines) setLoad(loadPerEngine float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loadPerEngine = loadPerEngine
}

func TestNextHolderKeepsSavedShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(8, 4), 0, 1)
		f.loadPerEngine = 8 // of 10 slots, if all engines generated
		p := storetest.NewPlatform(time.Second)
		stop := startHolder(t, p, f, "h1")
		time.Sleep(40 * time.Second)
		stop()
		wantPrefill := f.prefillCount()
		is.True(wantPrefill <= 4)
		f.setLoad(0.7) // no reason to change anything

		stop = startHolder(t, p, f, "h2")
		time.Sleep(40 * time.Second)
		stop()
		is.Equal(f.prefillCount(), wantPrefill)
		is.Equal(len(f.problems), 0)
	})
}

// Guards against a split that is learnt anew after the next change of the holder, because a restored
// store lost what was learnt.
func TestShareLostByStoreRestoreIsSavedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(8, 4), 0, 1)
		f.loadPerEngine = 8
		p := storetest.NewPlatform(time.Second)
		stop := startHolder(t, p, f, "h1")
		time.Sleep(40 * time.Second)
		f.setLoad(0.7) // no reason to change anything
		time.Sleep(20 * time.Second)
		savedBefore, _, err := PrefillShares{p.Client("test")}.Load(t.Context(), "llm")
		is.NoErr(err)
		p.RestoreBefore(5 * time.Minute)
		time.Sleep(20 * time.Second)
		stop()
		savedAfter, version, err := PrefillShares{p.Client("test")}.Load(t.Context(), "llm")
		is.NoErr(err)
		is.True(version != store.Absent)
		is.Equal(savedAfter, savedBefore)
		is.Equal(len(f.problems), 0)
	})
}

// A share that the store did not take stands in this host's next term.
func TestUnsavedShareIsKeptInNextTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(8, 4), 0, 1)
		f.loadPerEngine = 8
		p := storetest.NewPlatform(time.Second)
		var mu sync.Mutex
		failing, refusals := "", 0
		refusalCount := func() int {
			mu.Lock()
			defer mu.Unlock()
			return refusals
		}
		p.SetScript(func(c storetest.Call) storetest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if failing != "" && strings.Contains(fmt.Sprint(c.Kind, " ", c.Op), failing) {
				refusals++
				return storetest.Refuse
			}
			return storetest.None
		})
		setFailing := func(call string) {
			mu.Lock()
			defer mu.Unlock()
			failing = call
		}
		setFailing(kindEngineShares + " put")
		stop := startHolder(t, p, f, "h1")
		time.Sleep(20 * time.Second)
		wantPrefill := f.prefillCount()
		is.True(wantPrefill <= 4)
		is.True(refusalCount() > 0)
		f.setLoad(0.7)
		setFailing(" ") // the lease lapses
		time.Sleep(10 * time.Second)
		setFailing("")
		time.Sleep(40 * time.Second)
		stop()
		is.Equal(f.prefillCount(), wantPrefill)
		share, version, err := PrefillShares{p.Client("test")}.Load(t.Context(), "llm")
		is.NoErr(err)
		is.True(version > 0) // saved once the store answered
		is.True(share < 0.4)
	})
}

func TestUnreadableShareErrorNamesObject(t *testing.T) {
	for _, value := range []string{"", "{}", `{"share":1.5}`, "nonsense"} {
		is := is.New(t)
		p := storetest.NewPlatform(0)
		_, err := p.Client("test").Put(t.Context(), kindEngineShares, "llm", 0, []byte(value))
		is.NoErr(err)
		_, _, err = PrefillShares{p.Client("test")}.Load(t.Context(), "llm")
		is.True(err != nil && strings.Contains(err.Error(), "engine-shares/llm"))
	}
}

// A fleet of 1,200 engines with hardly any work: the split of the settings is worth a few
// orders at most, until a load is seen for which it matters.
func TestInitialSplitOfLargeFleetWaitsForLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n = 1200
		f := newFakeEngines(newInstances(n/2, n/2), 0, 1)
		f.loadPerEngine = 0.01
		p := storetest.NewPlatform(time.Second)
		stop := startHolder(t, p, f, "h")
		defer func() { stop() }()
		time.Sleep(time.Minute)
		is.Equal(f.prefillCount(), n/2+maxSpeculativeOrders)
		stop()
		stop = startHolder(t, p, f, "h2") // the next holder has no better reason
		time.Sleep(time.Minute)
		is.Equal(f.prefillCount(), n/2+maxSpeculativeOrders)
		f.setLoad(2) // a fifth of the slots
		time.Sleep(10 * time.Second)
		is.Equal(f.prefillCount(), PrefillTarget(n, 0.68))
		is.Equal(len(f.problems), 0)
	})
}

// An engine that has changed role since it was listed counts in neither: the load that it
// still reports would pass for that of the role it has left.
func TestSampleSkipsEngineWhoseRoleChanged(t *testing.T) {
	is := is.New(t)
	f := newFakeEngines(newInstances(1, 4), 0, 1)
	listed := f.list("")
	for _, e := range f.engines {
		e.instance.Role = state.RolePrefill
	}
	m := &Manager{o: Options{Engines: f, Log: slog.New(slog.DiscardHandler)}}
	_, ok := m.sampleLoad(t.Context(), listed)
	is.True(!ok) // none generates
}

// Two failure domains' engines are taken back at once: of 86 engines 28 are left, and of those
// the share would leave ten to generate what filled fourteen a moment ago.
func TestDecodeEnginesInUseAreKeptAfterLoss(t *testing.T) {
	is := is.New(t)
	estimator := newShareEstimator(0.64)
	at := time.Unix(100, 0)
	estimator.recordEngineCount(86, at)
	estimator.addSample(at, loadSample{decodeLoad: 0.45, queuedPrompts: 0}, 86, 55)
	estimator.recordEngineCount(28, at.Add(time.Second))
	is.Equal(estimator.decodeEnginesInUse(28), 14)
	is.Equal(estimator.decodeEnginesInUse(20), 10) // prompts are read all the same
	is.Equal(newShareEstimator(0.64).decodeEnginesInUse(28), 0)
	estimator.recordEngineCount(28, at.Add(lossWindow))
	is.Equal(estimator.decodeEnginesInUse(28), 28-PrefillTarget(28, 0.64)) // that is the fleet now
}

// Twelve engines of rostering's first deployment: a burst of questions fills five and more, and
// moving one of the eight that read prompts for it cost a third of the worst day's worth. While
// none is lost the share alone divides them.
func TestShareAloneDividesFleetWithoutLoss(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{4, 12, 57, 300} {
		estimator := newShareEstimator(0.64)
		estimator.recordEngineCount(n, time.Unix(100, 0))
		estimator.peakDecodeLoad = float64(n)
		is.True(n-estimator.decodeEnginesInUse(n) >= PrefillTarget(n, 0.64))
	}
}
