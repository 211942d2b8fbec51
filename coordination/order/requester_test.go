package order

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// decisionLog is a Recorder that keeps all decisions.
type decisionLog []state.Decision

func (d *decisionLog) Record(x state.Decision) { *d = append(*d, x) }

func newTestRequester(p *storetest.Platform, name string) (*Requester, *decisionLog) {
	kept := &decisionLog{}
	return must(NewRequester(RequesterOptions{
		Store: p.Client(name), Clock: clocktest.Bubble{}, Rand: rand.New(rand.NewPCG(1, 1)),
		Host: state.HostID{Name: name, Incarnation: "1"}, Recorder: kept,
	})), kept
}

// Two hosts request different changes of one engine: the second is refused until the
// first is called off, and repeating the first has no effect.
func TestRequesterRefusesConcurrentChange(t *testing.T) {
	is := is.New(t)
	ctx, p := t.Context(), storetest.NewPlatform(0)
	a, kept := newTestRequester(p, "a")
	b, _ := newTestRequester(p, "b")
	first, err := a.Request(ctx, "e1", testService, targets[1], "ana", "more prompts")
	is.NoErr(err)
	is.True(!first.TakesWork())
	again, err := b.Request(ctx, "e1", testService, targets[1], "bo", "more prompts")
	is.NoErr(err)
	is.Equal(again.Fence, first.Fence) // the same target is no second change
	_, err = b.Request(ctx, "e1", testService, targets[2], "bo", "more output")
	var busy *BusyError
	is.True(errors.As(err, &busy))
	is.Equal(busy.Holder.Name, "a")
	is.Equal(busy.Reason, "ana: more prompts")
	_, err = b.Request(ctx, "e1", "tasador", targets[2], "bo", "more output")
	var wrong *WrongServiceError
	is.True(errors.As(err, &wrong))
	off, err := b.CallOff(ctx, "e1", "bo", "not now")
	is.NoErr(err)
	is.True(off.TakesWork())
	is.True(off.Desired.Equal(first.Previous))
	_, err = a.CallOff(ctx, "e1", "ana", "not now")
	var nothing *NotDrainingError
	is.True(errors.As(err, &nothing))
	is.Equal(len(*kept), 1)
}

func TestRequesterDrainsWithoutChange(t *testing.T) {
	is := is.New(t)
	d, _ := newTestRequester(storetest.NewPlatform(0), "a")
	o, err := d.Drain(t.Context(), "e1", testService, "ana", "maintenance")
	is.NoErr(err)
	is.True(!o.TakesWork())
	o, err = d.Undrain(t.Context(), "e1", testService, "ana", "done")
	is.NoErr(err)
	is.True(o.TakesWork())
}

// The platform loses the answer of a write that took effect. The Requester must
// recognize its own write and return success.
func TestRequesterRecognizesOwnWriteAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	p := storetest.NewPlatform(0)
	d, _ := newTestRequester(p, "a")
	p.SetScript(func(c storetest.Call) storetest.Fault {
		if c.Op == "put" {
			return storetest.LoseAnswer
		}
		return storetest.None
	})
	o, err := d.Request(t.Context(), "e1", testService, targets[1], "ana", "more prompts")
	is.NoErr(err)
	is.Equal(o.State, state.OrderDraining)
}

// I1 holds across a deletion: the fence of the new object is above that of the deleted
// one.
func TestFenceGrowsOverDeletion(t *testing.T) {
	is := is.New(t)
	ctx, p := t.Context(), storetest.NewPlatform(0)
	d, _ := newTestRequester(p, "a")
	var old state.Order
	for range 5 {
		_ = must(d.Drain(ctx, "e1", testService, "ana", "x"))
		old = must(d.Undrain(ctx, "e1", testService, "ana", "x"))
	}
	obj := must(p.Client("a").Get(ctx, store.KindOrder, "e1"))
	is.NoErr(p.Client("a").Delete(ctx, store.KindOrder, "e1", obj.Version))
	again := must(d.Drain(ctx, "e1", testService, "ana", "x"))
	is.True(again.Fence > old.Fence)
}

// A Watcher that can't list or watch retries with growing pauses, lists the orders
// again after a gap, and keeps a deleted order with its Sink.
func TestWatcherRecoversFromOutageAndGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := storetest.NewPlatform(20 * time.Second)
		d, _ := newTestRequester(p, "a")
		keeper := snapshot.NewKeeper()
		keeper.SetListed([]state.Listed{{Name: "e1", Kind: state.ListedEngine, State: state.ListedLive, Service: testService}})
		takesWork := func() bool { return keeper.View().Runner("e1").TakesWork() }
		_ = must(d.Drain(ctx, "e1", testService, "ana", "x"))

		down := func(storetest.Call) storetest.Fault { return storetest.Refuse }
		p.SetScript(down)
		w := must(NewWatcher(WatcherOptions{Store: p.Client("b"), Clock: clocktest.Bubble{}, Rand: rand.New(rand.NewPCG(1, 1)), Sink: keeper}))
		go func() { _ = w.Run(ctx) }()
		time.Sleep(time.Minute)
		select {
		case <-w.Ready():
			t.Fatal("Ready is closed before the orders were listed")
		default:
		}
		is.True(p.Calls() < 40) // retries back off during an outage
		p.SetScript(nil)
		<-w.Ready()
		is.True(!takesWork())

		_ = must(d.Undrain(ctx, "e1", testService, "ana", "x"))
		synctest.Wait()
		is.True(takesWork()) // the watch delivers it without delay

		p.SetScript(down)
		p.DropHistory()
		time.Sleep(time.Minute)
		p.SetScript(nil)
		_ = must(d.Drain(ctx, "e1", testService, "ana", "x"))
		p.DropHistory()
		time.Sleep(watchMaxBackoff)
		is.True(!takesWork()) // the orders are listed again after the gap

		obj := must(p.Client("a").Get(ctx, store.KindOrder, "e1"))
		is.NoErr(p.Client("a").Delete(ctx, store.KindOrder, "e1", obj.Version))
		synctest.Wait()
		is.Equal(len(w.Orders()), 0)
		is.True(!takesWork()) // the engine gets no requests because its object was lost
		before := p.Calls()
		time.Sleep(10 * time.Minute)
		is.True(p.Calls()-before <= 31) // one pending watch call at a time
		cancel()
		synctest.Wait()
	})
}
