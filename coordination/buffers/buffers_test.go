package buffers

import (
	"errors"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/fuzztest"
)

func TestMain(m *testing.M) { fuzztest.Main(m, fuzztest.Defaults{Seed: 1, Checks: 200}) }

func newPool(t testing.TB, most, one int) *Pool {
	t.Helper()
	p, err := New(Options{MaxBytes: most, MaxAnswerBytes: one})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestInvalidOptionsNameRemedy(t *testing.T) {
	for _, o := range []Options{{}, {MaxBytes: 1 << 20, MaxAnswerBytes: FreeBytes}, {MaxBytes: 1 << 19, MaxAnswerBytes: 1 << 20}} {
		_, err := New(o)
		var wrong *OptionError
		is.New(t).True(errors.As(err, &wrong) && wrong.Remedy != "")
	}
}

// Guards against a few large answers that leave no room for others, and against small ones that find none.
func TestAnswersShareWhatIsLeft(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 1<<20, 1<<20)
	first, second, small := p.Reserve(), p.Reserve(), p.Reserve()
	is.True(first.Grow(1 << 19)) // half of all, which leaves as much
	is.True(!first.Grow(1<<19 + 1))
	is.True(second.Grow(1 << 18))
	is.True(!second.Grow(1<<18 + 1))
	is.True(small.Grow(FreeBytes))
	is.Equal(p.Held(), int64(1<<19+1<<18))
	first.Release()
	first.Release()
	is.True(second.Grow(1 << 19))
}

// Guards against bytes that are counted twice or never given back: whatever answers do, the sum is theirs and within its
// bound.
func TestHeldIsTheSumOfReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, err := New(Options{MaxBytes: 8 << 20, MaxAnswerBytes: 1 << 20})
		if err != nil {
			t.Fatal(err)
		}
		answers := make([]*Reservation, 20)
		for i := range answers {
			answers[i] = p.Reserve()
		}
		for range 200 {
			a := answers[rapid.IntRange(0, len(answers)-1).Draw(t, "answer")]
			if rapid.IntRange(0, 4).Draw(t, "release") == 0 {
				a.Release()
			} else {
				a.Grow(rapid.IntRange(0, 2<<20).Draw(t, "total"))
			}
			sum := int64(0)
			for _, a := range answers {
				sum += a.counted
			}
			if p.Held() != sum || sum > 8<<20 {
				t.Fatalf("held %d, reserved %d", p.Held(), sum)
			}
		}
	})
}

func TestConcurrentAnswersStayWithinTheBound(t *testing.T) {
	p := newPool(t, 4<<20, 1<<20)
	var all sync.WaitGroup
	for range 16 {
		all.Go(func() {
			for range 200 {
				r := p.Reserve()
				for total := FreeBytes; r.Grow(total); total *= 2 {
					if p.Held() > 4<<20 {
						t.Error("more is held than the bound")
					}
				}
				r.Release()
			}
		})
	}
	all.Wait()
	is.New(t).Equal(p.Held(), int64(0))
}
