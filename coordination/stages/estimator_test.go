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

// simulate adds one sample a second to the estimator, as returned by sampleAt, and returns the
// seconds at which the share changed. All engines change their roles at once when the share
// changes.
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
		"load around the number of slots": func(s, _ int) loadSample { return loadSample{decodeLoad: 0.4 + 1.2*float64(s/3%2)} },
		"long phases of load":             func(s, _ int) loadSample { return loadSample{decodeLoad: 0.2 + 0.9*float64(s/14%2)} },
		"prompts queue in phases":         func(s, _ int) loadSample { return loadSample{decodeLoad: 0.3, queuedPrompts: 150 * float64(s/14%2)} },
		"both roles overloaded":           func(int, int) loadSample { return loadSample{decodeLoad: 3, queuedPrompts: 50} },
		"no traffic":                      func(int, int) loadSample { return loadSample{} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			estimator := newShareEstimator(0.7)
			is.Equal(len(simulate(estimator, 12, 80, sampleAt)), 0)
			is.Equal(estimator.share, 0.7)
		})
	}
}

// With mostly long answers, the load is three times what four decode engines carry.
func TestEstimatorMovesEnginesToDecodeUnderOverload(t *testing.T) {
	is := is.New(t)
	estimator := newShareEstimator(0.68)
	changes := simulate(estimator, 12, 60, func(_, prefill int) loadSample { return loadSample{decodeLoad: 12 / float64(12-prefill)} })
	is.True(len(changes) >= 1 && len(changes) <= 3)
	is.True(changes[0] <= 4) // an overload changes the share within seconds
	is.True(estimator.share < 0.4)
	is.True(PrefillTarget(12, estimator.share) >= minPerRole)
}

// With hardly any answers, prompts are queued all the time.
func TestEstimatorMovesIdleDecodeEnginesToPrefill(t *testing.T) {
	is := is.New(t)
	estimator := newShareEstimator(0.5)
	changes := simulate(estimator, 12, 60, func(int, int) loadSample { return loadSample{decodeLoad: 0.05, queuedPrompts: 40} })
	is.True(len(changes) >= 1)
	is.True(estimator.share > 0.7)
	is.True(12-PrefillTarget(12, estimator.share) >= minPerRole)
}

// At a start with cold caches, prompts queue at twelve of 18 engines while the other six have
// work for one. Some of the six must move to prefill within seconds. The rest must carry the
// peak at less than half of their slots, with one of 16 engines to spare.
func TestEstimatorMovesSpareDecodeEnginesWhileCachesAreCold(t *testing.T) {
	for _, c := range []struct {
		name        string
		n           int
		decodeLoad  float64
		wantDecode  int
		wantChanges int
	}{
		{"18 engines, load of one", 18, 1, 5, 1},
		{"90 engines, load of five", 90, 5, 19, 3}, // at most six per change
		{"18 engines, load of five", 18, 5, 6, 0},  // no decode engine is spare
		{"12 engines, load of a tenth", 12, 0.1, 2, 2},
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

// Engines that a burst of answers filled must stay in decode for some seconds, since another
// burst may follow.
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

// prefillCount returns the number of prefill engines, including those that the list still
// shows in their previous role.
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

// Guards against a holder that starts from the configured share although its predecessor has
// stored another one.
func TestNextHolderKeepsSavedShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(8, 4), 0, 1)
		f.loadPerEngine = 8 // of 10 slots, if all engines did decode
		p := storetest.NewPlatform(time.Second)
		stop := startHolder(t, p, f, "h1")
		time.Sleep(40 * time.Second)
		stop()
		wantPrefill := f.prefillCount()
		is.True(wantPrefill <= 4)
		f.setLoad(0.7) // gives no reason to change the share

		stop = startHolder(t, p, f, "h2")
		time.Sleep(40 * time.Second)
		stop()
		is.Equal(f.prefillCount(), wantPrefill)
		is.Equal(len(f.problems), 0)
	})
}

// Guards against a share that must be estimated again after the next change of the holder,
// because the restore of the store lost the stored one.
func TestShareLostByStoreRestoreIsSavedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(newInstances(8, 4), 0, 1)
		f.loadPerEngine = 8
		p := storetest.NewPlatform(time.Second)
		stop := startHolder(t, p, f, "h1")
		time.Sleep(40 * time.Second)
		f.setLoad(0.7) // gives no reason to change the share
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

// A share that the store didn't accept must be used in this host's next term.
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
		setFailing(" ") // all calls fail, so the lease expires
		time.Sleep(10 * time.Second)
		setFailing("")
		time.Sleep(40 * time.Second)
		stop()
		is.Equal(f.prefillCount(), wantPrefill)
		share, version, err := PrefillShares{p.Client("test")}.Load(t.Context(), "llm")
		is.NoErr(err)
		is.True(version > 0) // saved once the store accepted it
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

// Guards against splitting 1,200 engines with hardly any work by the configured share: only
// maxSpeculativeOrders engines may be ordered until a load is sampled for which the split
// matters.
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
		stop = startHolder(t, p, f, "h2") // nor does the next holder have a load to act on
		time.Sleep(time.Minute)
		is.Equal(f.prefillCount(), n/2+maxSpeculativeOrders)
		f.setLoad(2) // a fifth of the slots
		time.Sleep(10 * time.Second)
		is.Equal(f.prefillCount(), PrefillTarget(n, 0.68))
		is.Equal(len(f.problems), 0)
	})
}

// Guards against counting the load of an engine that has changed its role since it was listed:
// the load that it still reports belongs to its previous role.
func TestSampleSkipsEngineWhoseRoleChanged(t *testing.T) {
	is := is.New(t)
	f := newFakeEngines(newInstances(1, 4), 0, 1)
	listed := f.list("")
	for _, e := range f.engines {
		e.instance.Role = state.RolePrefill
	}
	m := &Manager{o: Options{Engines: f, Log: slog.New(slog.DiscardHandler)}}
	_, ok := m.sampleLoad(t.Context(), listed)
	is.True(!ok) // no engine does decode any more
}

// Two failure domains are lost at once, and 28 of 86 engines are left. The share alone would
// leave ten of them in decode, although the load filled fourteen a moment ago.
func TestDecodeEnginesInUseAreKeptAfterLoss(t *testing.T) {
	is := is.New(t)
	estimator := newShareEstimator(0.64)
	at := time.Unix(100, 0)
	estimator.recordEngineCount(86, at)
	estimator.addSample(at, loadSample{decodeLoad: 0.45, queuedPrompts: 0}, 86, 55)
	estimator.recordEngineCount(28, at.Add(time.Second))
	is.Equal(estimator.decodeEnginesInUse(28), 14)
	is.Equal(estimator.decodeEnginesInUse(20), 10) // at most half, so that prompts are still computed
	is.Equal(newShareEstimator(0.64).decodeEnginesInUse(28), 0)
	estimator.recordEngineCount(28, at.Add(lossWindow))
	is.Equal(estimator.decodeEnginesInUse(28), 28-PrefillTarget(28, 0.64)) // after lossWindow the engines no longer count as lost
}

// Without a loss, a peak of decode load must not override the share. With twelve engines, a
// burst that filled more than five of them moved one of the eight prefill engines to decode,
// which cost a third of the goodput of the worst day.
func TestShareAloneDividesFleetWithoutLoss(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{4, 12, 57, 300} {
		estimator := newShareEstimator(0.64)
		estimator.recordEngineCount(n, time.Unix(100, 0))
		estimator.peakDecodeLoad = float64(n)
		is.True(n-estimator.decodeEnginesInUse(n) >= PrefillTarget(n, 0.64))
	}
}
