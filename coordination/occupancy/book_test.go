package occupancy

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
)

const (
	target = 100 * time.Millisecond
	keep   = 2 * time.Second
)

func ask(engine string) Ask { return Ask{Engine: engine, Size: 1, Target: target, Keep: keep} }

// fill takes all places at an engine.
func fill(b *Book, engine string) []uint64 {
	var out []uint64
	for {
		id, given := b.Enter(ask(engine))
		if !given {
			return out
		}
		out = append(out, id)
	}
}

func TestPlacesAreBoundedForEachEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{})
		ids := fill(b, "a")
		is.Equal(len(ids), startLimit)
		is.Equal(len(fill(b, "b")), startLimit)
		b.Leave("a", ids[0], false)
		is.Equal(len(fill(b, "a")), 1)
	})
}

func TestWorkDoneInTimeMakesRoomForMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{})
		for range 10 {
			for _, id := range fill(b, "a") {
				b.Leave("a", id, true)
			}
		}
		is.True(len(fill(b, "a")) > startLimit)
	})
}

func TestLateWorkLeavesRoomForLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{})
		for range 3 {
			ids := fill(b, "a")
			time.Sleep(2 * target)
			for _, id := range ids {
				b.Leave("a", id, true)
			}
		}
		is.True(len(fill(b, "a")) < startLimit)
	})
}

func TestFixedBoundCountsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{})
		a := Ask{Engine: "a", Most: 2, Keep: keep}
		first, _ := b.Enter(a)
		_, given := b.Enter(a)
		is.True(given)
		_, given = b.Enter(a)
		is.True(!given)
		b.Leave("a", first, false)
		_, given = b.Enter(a)
		is.True(given)
	})
}

// A host that was lost tells no end; its places must not block the engine.
func TestPlaceWithoutEndIsFreeAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{})
		ids := fill(b, "a")
		time.Sleep(keep + time.Millisecond)
		is.Equal(len(fill(b, "a")), startLimit)
		b.Leave("a", ids[0], true) // told late: nothing is counted out twice
		is.Equal(len(fill(b, "a")), 0)
	})
}

func TestPlaceOfAnEarlierRunIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{})
		b.Leave("a", 7, true)
		is.Equal(len(fill(b, "a")), startLimit)
		b.Leave("a", 77, false)
		is.Equal(len(fill(b, "a")), 0)
	})
}

func TestEnginesThatNobodyAsksForAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{})
		fill(b, "a")
		time.Sleep(forgetAfter + time.Second)
		fill(b, "b")
		is.Equal(len(b.engines), 1)
	})
}
