package answer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/answer"
	"github.com/thymerack/thymerack/coordination/clocktest"
)

const (
	gracePeriod = time.Second
	retention   = time.Minute
)

// inBubble runs a test with an empty registry in a synctest bubble.
func inBubble(t *testing.T, test func(is *is.I, r *answer.Registry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(is.New(t), answer.NewRegistry(clocktest.Bubble{}, gracePeriod, retention))
	})
}

func meta(customer, id string) answer.Meta { return answer.Meta{Customer: customer, ID: id} }

var errFailed = errors.New("failed")

func TestReadersGetAllTokensFromTheirOffset(t *testing.T) {
	inBubble(t, func(is *is.I, r *answer.Registry) {
		a, _ := r.Open(meta("t", "1"), func() {})
		read := func(from int) []string {
			var got []string
			for {
				chunk, err := a.Read(context.Background(), from+len(got))
				is.NoErr(err)
				got = append(got, chunk.Tokens...)
				if chunk.End != nil {
					is.Equal(chunk.End.Finish, "stop")
					return got
				}
			}
		}
		results := make(chan []string, 2)
		go func() { results <- read(0) }()
		go func() { results <- read(2) }()
		for _, token := range []string{"a", "b", "c"} {
			synctest.Wait()
			a.Append(token)
		}
		a.Finish("stop")
		a.Append("after the end")
		a.Fail(errFailed)
		one, two := <-results, <-results
		if len(one) < len(two) {
			one, two = two, one
		}
		is.Equal(one, []string{"a", "b", "c"})
		is.Equal(two, []string{"c"})
		is.Equal(read(3), nil)
		is.Equal(len(a.Tokens()), 3)
		is.Equal(a.Aborted(), false)
	})
}

func TestReadReturnsWhenContextEnds(t *testing.T) {
	inBubble(t, func(is *is.I, r *answer.Registry) {
		a, _ := r.Open(meta("t", "1"), func() {})
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_, err := a.Read(ctx, 0)
		is.True(errors.Is(err, context.DeadlineExceeded))
	})
}

func TestIDsAreScopedToCustomers(t *testing.T) {
	inBubble(t, func(is *is.I, r *answer.Registry) {
		a, opened := r.Open(meta("t", "1"), func() {})
		is.True(opened)
		again, opened := r.Open(meta("t", "1"), func() {})
		is.True(!opened && again == a)
		other, opened := r.Open(meta("u", "1"), func() {})
		is.True(opened && other != a)
		is.True(r.Find("1", "t") == a)
		is.True(r.Find("1", "u") == other)
		is.True(r.Find("1", "v") == nil)
	})
}

func TestAbortedAnswerIsReplaced(t *testing.T) {
	inBubble(t, func(is *is.I, r *answer.Registry) {
		old, _ := r.Open(meta("t", "1"), func() {})
		old.Fail(errFailed)
		r.ScheduleRemoval(context.Background(), old)
		is.True(old.Aborted())
		time.Sleep(retention / 2)
		a, opened := r.Open(meta("t", "1"), func() {})
		is.True(opened && a != old)
		time.Sleep(retention)
		is.True(r.Find("1", "t") == a) // the removal of the old answer doesn't remove its replacement
	})
}

func TestAbandonment(t *testing.T) {
	cases := []struct {
		name string
		// during runs in the middle of the grace period.
		during    func(r *answer.Registry, a *answer.Answer)
		abandoned bool
	}{
		{"no reader attaches", func(*answer.Registry, *answer.Answer) {}, true},
		{"a reader attaches", func(r *answer.Registry, a *answer.Answer) { r.Attach(a) }, false},
		{"a reader attaches and detaches", func(r *answer.Registry, a *answer.Answer) {
			r.Attach(a)
			go r.Detach(a)(context.Background())
		}, false}, // the grace period starts again and isn't over yet
		{"the answer ends", func(_ *answer.Registry, a *answer.Answer) { a.Finish("stop") }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(is *is.I, r *answer.Registry) {
				cancelled := false
				a, _ := r.Open(meta("t", "1"), func() { cancelled = true })
				r.Attach(a)
				r.Attach(a)
				is.True(r.Detach(a) == nil) // another reader is still attached
				go r.Detach(a)(context.Background())
				time.Sleep(gracePeriod / 2)
				c.during(r, a)
				time.Sleep(gracePeriod/2 + time.Millisecond)
				synctest.Wait()
				is.Equal(cancelled, c.abandoned)
				is.Equal(a.Aborted(), c.abandoned)
				is.Equal(r.Attach(a), !c.abandoned)
				time.Sleep(gracePeriod)
			})
		})
	}
}

func TestEndedAnswersAreRemovedAfterRetention(t *testing.T) {
	inBubble(t, func(is *is.I, r *answer.Registry) {
		for _, id := range []string{"1", "2", "3"} {
			a, _ := r.Open(meta("t", id), func() {})
			a.Finish("stop")
			r.ScheduleRemoval(context.Background(), a)
			time.Sleep(retention / 4)
		}
		is.Equal(r.Len(), 3)
		time.Sleep(retention/4 + time.Millisecond)
		is.Equal(r.Len(), 2)
		is.True(r.Find("1", "t") == nil)
		time.Sleep(retention)
		is.Equal(r.Len(), 0)
		a, _ := r.Open(meta("t", "4"), func() {})
		r.ScheduleRemoval(context.Background(), a)
		time.Sleep(retention + time.Millisecond)
		is.Equal(r.Len(), 0)
	})
}
