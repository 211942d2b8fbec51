package bodies

import (
	"context"
	"errors"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/fuzztest"
)

func TestMain(m *testing.M) { fuzztest.Main(m, fuzztest.Defaults{Seed: 1, Checks: 200}) }

const (
	mib     = 1 << 20
	testMax = 16 * mib
	maxWait = time.Second
)

func newPool(t testing.TB) *Pool {
	t.Helper()
	p, err := New(Options{MaxBytes: testMax, MaxWait: maxWait, Clock: clocktest.Bubble{}})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// take reserves room that must be there.
func take(t testing.TB, p *Pool, total int) *Reservation {
	t.Helper()
	r := p.Reserve(0)
	if !r.TryGrow(total) {
		t.Fatalf("no room for %d bytes beside %d", total, p.Held())
	}
	return r
}

// growing grows a reservation in a goroutine; the result is sent to the returned channel.
func growing(ctx context.Context, p *Pool, priority, total int) (*Reservation, <-chan error) {
	r, out := p.Reserve(priority), make(chan error, 1)
	go func() { out <- r.Grow(ctx, total, time.Now().Add(time.Minute)) }()
	synctest.Wait()
	return r, out
}

func TestInvalidOptionsNameRemedy(t *testing.T) {
	for _, o := range []Options{{}, {MaxBytes: 1, Clock: clocktest.Bubble{}}, {MaxBytes: 1, MaxWait: 1}, {MaxBytes: 1, MaxWait: 1, Clock: clocktest.Bubble{}, Taken: func() int { return 0 }}} {
		_, err := New(o)
		var wrong *OptionError
		is.New(t).True(errors.As(err, &wrong) && wrong.Remedy != "")
	}
}

// Guards against small bodies that wait behind large ones.
func TestSmallBodiesPassWaitingLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool(t)
		first := take(t, p, 9*mib)
		large, admitted := growing(t.Context(), p, 0, 6*mib)
		is.Equal(p.Waiting(), int64(1))
		is.Equal(p.Waits(), uint64(1))
		small := take(t, p, SmallBytes)
		first.Release()
		is.NoErr(<-admitted)
		small.Release()
		large.Release()
		is.Equal(p.Held(), int64(0))
	})
}

// Guards against large bodies that are never admitted because smaller ones of their kind come in between, and against
// urgent ones that wait behind others.
func TestLargeBodiesAreAdmittedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool(t)
		first, second := take(t, p, 6*mib), take(t, p, 4*mib)
		later, laterDone := growing(t.Context(), p, 1, 8*mib)
		urgent, urgentDone := growing(t.Context(), p, 0, 8*mib)
		is.True(!p.Reserve(1).TryGrow(mib)) // it would fit, and is behind
		first.Release()
		synctest.Wait()
		is.Equal(p.Waiting(), int64(2))
		second.Release()
		is.NoErr(<-urgentDone)
		is.Equal(p.Waiting(), int64(1))
		urgent.Release()
		is.NoErr(<-laterDone)
		later.Release()
	})
}

// Guards against callers that are held although there will be no room, and told nothing of when there will be.
func TestReadersAreRefusedWithATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool(t)
		held := take(t, p, 8*mib)
		began := time.Now()
		err := p.Reserve(0).Grow(t.Context(), 8*mib, began.Add(time.Minute))
		var full *FullError
		is.True(errors.As(err, &full))
		is.Equal(time.Since(began), maxWait)
		is.True(full.RetryAfter >= minRetryAfter)
		is.Equal(full.Held, 8*mib)

		time.Sleep(3 * time.Second)
		held.Release() // held for 4 s, which the next ones may expect
		held = take(t, p, 8*mib)
		began = time.Now()
		is.True(errors.As(p.Reserve(0).Grow(t.Context(), 8*mib, began.Add(time.Second)), &full))
		is.Equal(time.Since(began), time.Duration(0)) // hopeless
		is.Equal(full.RetryAfter, 2*time.Second)      // half of what may be held, for 4 s
		held.Release()
		is.Equal(p.Waiting(), int64(0))
	})
}

// Guards against a body larger than the whole bound that is refused for ever.
func TestLargestBodyIsAdmittedAlone(t *testing.T) {
	is := is.New(t)
	p := newPool(t)
	r := take(t, p, 2*testMax)
	is.True(!p.Reserve(0).TryGrow(1))
	r.Release()
}

// Guards against bytes that are counted twice, never given back, or beyond the bound, and against readers that wait on
// although there is room.
func TestHeldIsTheSumOfReservations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(t)
			var group sync.WaitGroup
			for range rapid.IntRange(1, 40).Draw(rt, "readers") {
				start := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "start")) * time.Millisecond
				hold := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "hold")) * time.Millisecond
				size := int(math.Exp2(float64(rapid.IntRange(6, 22).Draw(rt, "size"))))
				r := p.Reserve(rapid.IntRange(0, 2).Draw(rt, "priority"))
				shrink := rapid.Bool().Draw(rt, "shrink")
				group.Go(func() {
					time.Sleep(start)
					defer r.Release()
					for _, total := range []int{size / 4, size} {
						if r.Grow(t.Context(), total, time.Now().Add(time.Minute)) != nil {
							return
						}
						time.Sleep(hold)
					}
					if shrink {
						r.Shrink(size / 2)
						time.Sleep(hold)
					}
				})
			}
			group.Go(func() {
				for range 200 {
					time.Sleep(20 * time.Millisecond)
					if p.Held() > testMax {
						t.Errorf("%d bytes are held", p.Held())
					}
				}
			})
			group.Wait()
			if p.Held() != 0 || p.Waiting() != 0 {
				t.Errorf("%d bytes are held by nobody, %d readers wait", p.Held(), p.Waiting())
			}
		})
	})
}

// Guards against bodies and connections that each keep to their bound and together exceed the memory.
func TestBoundShrinksByWhatIsTaken(t *testing.T) {
	is := is.New(t)
	taken := 0
	p, err := New(Options{MaxBytes: testMax, Taken: func() int { return taken }, MinBytes: 2 * mib, MaxWait: maxWait, Clock: clocktest.Bubble{}})
	is.NoErr(err)
	first := take(t, p, mib)
	take(t, p, 7*mib).Release()
	taken = 12 * mib
	is.True(!p.Reserve(0).TryGrow(7 * mib))
	take(t, p, mib).Release()
	taken = 64 * mib
	take(t, p, SmallBytes).Release()
	is.True(!p.Reserve(0).TryGrow(mib))
	first.Release()
}
