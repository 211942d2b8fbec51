package dispatch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/claim"
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// keyAt returns a key, a UUIDv7, with the timestamp t.
func keyAt(t time.Time) string {
	ms := uint64(t.UnixMilli())
	return uuid.UUID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms), 0x70, 0, 0x80}.String()
}

// withClaims gives the world a claimer that stores its claims in p. The returned function
// stops it.
func (w *world) withClaims(t *testing.T, p *storetest.Platform, host string) func() {
	t.Helper()
	c, err := claim.New(claim.Options{Store: p.Client(host), Clock: clocktest.Bubble{}, Host: state.HostID{Name: host, Incarnation: host + "-1"}})
	if err != nil {
		t.Fatal(err)
	}
	w.claimer = c
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = c.Run(ctx) })
	return func() { cancel(); running.Wait() }
}

// call sends one call; with a key, it is an at-most-once call.
func (w *world) call(ctx context.Context, key string, first bool) (upstream.Answer, error) {
	now := time.Now()
	r := &dispatch.Request{
		ID: "r", Customer: "t", Service: plainService, ArrivedAt: now, Deadline: now.Add(deadline),
		NotRepeatable: key != "", Key: key, First: first, Fingerprint: 7,
	}
	return w.d.Call(ctx, r, upstream.Call{Method: "POST", Path: "/x"})
}

func TestRepeatableCallIsRetriedAtAnotherRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.services.plan = []callFault{callUnreached, callForeign}
		w.start(t)
		a, err := w.call(t.Context(), "", false)
		is.NoErr(err)
		is.Equal(string(a.Body), "done ")
		is.Equal(len(w.services.calls), 3)
		is.Equal(w.meter.of(dispatch.CountForeignAnswers), 1)
		is.NoErr(w.checkReleased())
	})
}

func TestRepeatableCallIsRefusedWithoutDelay(t *testing.T) {
	cases := []struct {
		name   string
		plan   []callFault
		down   bool
		reason dispatch.Reason
		notRun bool
		took   time.Duration
	}{
		{"no runner", nil, true, dispatch.ReasonNoUpstream, true, 0},
		{"every attempt fails", []callFault{callLost, callLost, callLost}, false, dispatch.ReasonUpstream, false, 2 * backoff},
		{"the attempt hangs", []callFault{callHung}, false, dispatch.ReasonDeadline, false, deadline},
	}
	for i := range 2 * len(cases) {
		c := cases[i/2]
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld()
				w.services.plan = c.plan
				if c.down {
					w.keeper.SetListed(nil)
				}
				w.start(t)
				now := time.Now()
				ctx := t.Context()
				if i%2 == 0 { // a context that has the request's deadline
					var cancel context.CancelFunc
					ctx, cancel = context.WithDeadline(ctx, now.Add(deadline))
					defer cancel()
				}
				_, err := w.call(ctx, "", false)
				is.Equal(reasonOf(err), c.reason)
				var refusal *dispatch.Refusal
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.NotRun, c.notRun)
				is.True(refusal.RetryAfter > 0)
				is.Equal(time.Since(now), c.took)
				is.NoErr(w.checkReleased())
			})
		})
	}
}

func TestCancellationEndsRepeatableCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.services.plan = []callFault{callHung}
		w.start(t)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { time.Sleep(time.Millisecond); cancel() }()
		_, err := w.call(ctx, "", false)
		is.Equal(reasonOf(err), dispatch.ReasonCancelled)
		is.Equal(w.services.abandoned, 1)
		is.Equal(len(w.services.calls), 1)
	})
}

func TestClaimedCallRunsPastDeadlineAndIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		w := newWorld()
		defer w.withClaims(t, p, "a")()
		w.services.plan = []callFault{callSlow}
		w.start(t)
		key := keyAt(time.Now())
		now := time.Now()
		ctx, cancel := context.WithDeadline(t.Context(), now.Add(deadline))
		defer cancel()
		_, err := w.call(ctx, key, true)
		is.Equal(reasonOf(err), dispatch.ReasonRunning)
		is.Equal(time.Since(now), deadline)
		is.Equal(w.d.Running(), int64(1))
		is.Equal(w.admitter.released.Load(), int64(0)) // its grant isn't released yet
		time.Sleep(slowCall)
		is.Equal(w.d.Running(), int64(0))
		is.NoErr(w.checkReleased())
		a, err := w.call(t.Context(), key, false)
		is.NoErr(err)
		is.Equal(string(a.Body), "done "+key)
		is.Equal(w.services.runCount(key), 1)
	})
}

func TestAnswerDoesNotWaitForSlowRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		w := newWorld()
		defer w.withClaims(t, p, "a")()
		w.start(t)
		time.Sleep(time.Second) // the claimer writes its layout first
		key := keyAt(time.Now())
		puts := 0
		p.SetScript(func(c storetest.Call) storetest.Fault {
			if c.Op == "put" {
				puts++
			}
			if puts > 1 {
				time.Sleep(2 * deadline) // only the first write, the claim, is fast
			}
			return storetest.None
		})
		now := time.Now()
		r := &dispatch.Request{Service: plainService, Customer: "t", Deadline: now.Add(recordTimeout / 2), NotRepeatable: true, Key: key, First: true}
		a, err := w.d.Call(t.Context(), r, upstream.Call{Method: "POST", Path: "/x"})
		is.NoErr(err)
		is.Equal(string(a.Body), "done "+key)
		is.True(time.Since(now) <= recordTimeout/2)
		p.SetScript(nil)
		time.Sleep(time.Minute)
	})
}

func TestSlowPlatformDoesNotDelayRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		w := newWorld()
		defer w.withClaims(t, p, "a")()
		w.start(t)
		time.Sleep(time.Second)
		p.SetScript(func(storetest.Call) storetest.Fault { time.Sleep(3 * deadline); return storetest.None })
		now := time.Now()
		_, err := w.call(t.Context(), keyAt(now), true)
		is.True(err != nil)
		is.True(time.Since(now) <= deadline)
		p.SetScript(nil)
		time.Sleep(time.Minute)
		is.Equal(w.services.runCount(keyAt(now)), 0)
	})
}

// A call has run; a repetition that is refused before its claim is read must not be refused
// as "not run".
func TestUsedKeyIsNotRefusedAsNotRun(t *testing.T) {
	cases := map[string]func(w *world){
		"overloaded": func(w *world) {
			w.admitter.refuse = &dispatch.Refusal{Reason: dispatch.ReasonOverloaded, Message: "come back", RetryAfter: time.Second, NotRun: true}
		},
		"no runner": func(w *world) { w.keeper.SetListed(nil) },
	}
	for name, induce := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := storetest.NewPlatform(time.Second)
				w := newWorld()
				defer w.withClaims(t, p, "a")()
				w.start(t)
				key := keyAt(time.Now())
				_, err := w.call(t.Context(), key, true)
				is.NoErr(err)
				induce(w)
				a, err := w.call(t.Context(), key, false)
				var refusal *dispatch.Refusal
				if errors.As(err, &refusal) {
					is.Equal(refusal.NotRun, false)
				} else {
					is.Equal(string(a.Body), "done "+key)
				}
				// A refusal for a key that was never sent before may say "not run".
				_, err = w.call(t.Context(), keyAt(time.Now().Add(time.Millisecond)), true)
				is.True(errors.As(err, &refusal) && refusal.NotRun)
			})
		})
	}
}

func TestRepeatedKeyIsAnsweredWithoutRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		w := newWorld()
		defer w.withClaims(t, p, "a")()
		w.start(t)
		key := keyAt(time.Now())
		_, err := w.call(t.Context(), key, true)
		is.NoErr(err)
		w.keeper.SetListed(nil)
		a, err := w.call(t.Context(), key, false)
		is.NoErr(err)
		is.Equal(string(a.Body), "done "+key)
	})
}

func TestClaimedCallIsNotSentAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		w := newWorld()
		defer w.withClaims(t, p, "a")()
		w.start(t)
		picks := 0
		w.router.afterPick = func(string) {
			if picks++; picks == 2 { // the first one only checks that there is a runner
				time.Sleep(deadline + time.Millisecond)
			}
		}
		key := keyAt(time.Now())
		_, err := w.call(t.Context(), key, true)
		is.Equal(reasonOf(err), dispatch.ReasonRunning)
		time.Sleep(time.Minute)
		is.Equal(len(w.services.calls), 0)
		_, err = w.call(t.Context(), key, false)
		var refusal *dispatch.Refusal
		is.True(errors.As(err, &refusal) && refusal.NotRun)
	})
}
