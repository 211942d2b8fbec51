package occupancy

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

const (
	keep  = 2 * time.Second
	slots = 4
)

// named is the only run of an engine.
func named(engine string) state.InstanceID { return state.InstanceID{Name: engine} }

// ask asks for one of an engine's slots.
func ask(engine string) Ask { return Ask{Engine: named(engine), Most: slots, Keep: keep} }

// readAsk asks for the reading of a prompt of some 43 ms, before anything is learnt.
func readAsk(engine string) Ask {
	return Ask{Engine: named(engine), Keep: keep, Reading: &Reading{
		Service: "s", Work: backlog.Prompt{OwnTokens: 4000}, Memory: 1e6, MaxWait: time.Second, Limit: time.Second,
	}}
}

// fill takes all places at an engine.
func fill(b *Book, engine string) []uint64 {
	var out []uint64
	for {
		id := b.Enter(ask(engine)).ID
		if id == 0 {
			return out
		}
		out = append(out, id)
	}
}

func TestPlacesAreBoundedForEachEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		ids := fill(b, "a")
		is.Equal(len(ids), slots)
		is.Equal(len(fill(b, "b")), slots)
		b.Leave(named("a"), ids[0], false)
		is.Equal(len(fill(b, "a")), 1)
	})
}

func TestReadingsAreBoundedByTheirPredictedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		a := readAsk("a")
		a.Reading.MaxWait = 100 * time.Millisecond
		var last Answer
		given := 0
		for last = b.Enter(a); last.ID != 0; last = b.Enter(a) {
			given++
		}
		is.Equal(given, 3) // 0, 43 and 86 ms
		is.True(last.Forecast.Wait > a.Reading.MaxWait)
		is.True(b.Enter(readAsk("b")).ID != 0) // another engine
	})
}

func TestLateReadingGetsAPlaceOnlyIfItIsWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		a := readAsk("a")
		a.Reading.Limit = 10 * time.Millisecond
		is.Equal(b.Enter(a).ID, uint64(0))
		a.Reading.Late = true
		is.True(b.Enter(a).ID != 0)
	})
}

func TestWarmReadingIsOneWhosePartsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		a := readAsk("a")
		a.Reading.Work.Parts = []backlog.Part{{ID: 3, Tokens: 9000}}
		a.Reading.Warm = true
		is.Equal(b.Enter(a).ID, uint64(0))
		a.Reading.Warm = false
		b.Leave(named("a"), b.Enter(a).ID, true)
		a.Reading.Warm = true
		is.True(b.Enter(a).ID != 0)
	})
}

func TestRemainingTimeOfAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		id := b.Enter(readAsk("a")).ID
		f, progress := b.Remaining(named("a"), id)
		is.Equal(progress, backlog.InProgress)
		time.Sleep(10 * time.Millisecond)
		later, _ := b.Remaining(named("a"), id)
		is.Equal(f.Finish-later.Finish, 10*time.Millisecond)
		_, progress = b.Remaining(named("a"), id+1)
		is.Equal(progress, backlog.Unknown)
		_, progress = b.Remaining(named("b"), id)
		is.Equal(progress, backlog.Unknown)
	})
}

// A host that was lost tells no end; its places must not block the engine.
func TestPlaceWithoutEndIsFreeAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		ids := fill(b, "a")
		reading := b.Enter(readAsk("r")).ID
		time.Sleep(keep + time.Millisecond)
		is.Equal(len(fill(b, "a")), slots)
		b.Leave(named("a"), ids[0], true) // told late: nothing is counted out twice
		is.Equal(len(fill(b, "a")), 0)
		is.Equal(b.Enter(readAsk("r")).Forecast.Wait, time.Duration(0))
		b.Leave(named("r"), reading, true)
	})
}

func TestPlaceOfAnEarlierRunIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		b.Leave(named("a"), 7, true)
		is.Equal(len(fill(b, "a")), slots)
		b.Leave(named("a"), 77, false)
		is.Equal(len(fill(b, "a")), 0)
	})
}

func TestEnginesThatNobodyAsksForAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		fill(b, "a")
		time.Sleep(forgetAfter + time.Second)
		fill(b, "b")
		is.Equal(len(b.engines), 1)
	})
}

// An engine that restarts under its name keeps nothing and has nothing under way; the end
// of work of its former run frees no place of the new one.
func TestRestartedEngineIsCountedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		a := readAsk("a")
		a.Reading.Work.Parts = []backlog.Part{{ID: 1, Tokens: 6000}}
		first := b.Enter(a)
		b.Leave(a.Engine, first.ID, true)
		is.Equal(b.Enter(a).Forecast.CachedTokens, 6000)
		former := a.Engine
		a.Engine.Born = 2
		again := b.Enter(a)
		is.Equal(again.Forecast.CachedTokens, 0)
		is.Equal(again.Forecast.Wait, time.Duration(0))
		b.Leave(former, again.ID, true)
		_, progress := b.Remaining(a.Engine, again.ID)
		is.Equal(progress, backlog.InProgress)
	})
}
