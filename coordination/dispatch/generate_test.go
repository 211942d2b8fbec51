package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/retry"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

const deadline = 4 * time.Second

// ask sends one model request and returns its answer, how long it took and its error.
func (w *world) ask(ctx context.Context, prompt string, promptTokens int) (*sink, time.Duration, error) {
	s := &sink{prompt: prompt}
	now := time.Now()
	r := &dispatch.Request{ID: "r", Customer: "t", Service: modelService, ArrivedAt: now, Deadline: now.Add(deadline), Digest: quarantine.DigestOf(quarantine.Content{Body: []byte(prompt)})}
	c := &dispatch.Completion{Model: "m", Prompt: upstream.Prompt{Text: prompt}, MaxTokens: 100, PromptTokens: promptTokens, ExpectedOutput: lengthOf(prompt)}
	err := w.d.Generate(ctx, r, c, s)
	return s, time.Since(now), err
}

// reasonOf returns the reason of a refusal; empty for other errors.
func reasonOf(err error) dispatch.Reason {
	var refusal *dispatch.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

// TestHoldsOwnWholeAnswer makes attempts fail in every way at every event. Each caller must
// get the complete answer that its prompt determines, or a refusal in time.
func TestHoldsOwnWholeAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "tokens")
		fleets := [][]state.Role{
			mixed(1), mixed(4),
			{state.RolePrefill, state.RoleDecode, state.RoleMixed, state.RoleMixed},
			{state.RolePrefill, state.RolePrefill, state.RoleDecode, state.RoleDecode},
		}
		roles := rapid.SampledFrom(fleets).Draw(rt, "roles")
		plan := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) plannedFault {
			return plannedFault{fault(rapid.IntRange(0, int(faultCount)-1).Draw(rt, "fault")), rapid.IntRange(0, n-1).Draw(rt, "at")}
		}), 0, 6).Draw(rt, "plan")
		promptTokens := rapid.SampledFrom([]int{1, splitPromptTokens}).Draw(rt, "promptTokens")
		var failed error
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(roles...)
			w.engines.plan = slices.Clone(plan)
			w.start(t)
			s, took, err := w.ask(t.Context(), promptOf("p", n), promptTokens)
			failed = errors.Join(s.check(err), w.checkReleased(), checkRefusal(s, err, took))
		})
		if failed != nil {
			rt.Fatal(failed)
		}
	})
}

// checkRefusal checks a failed request: a started answer must be completed, and a refusal
// must arrive by the deadline.
func checkRefusal(s *sink, err error, took time.Duration) error {
	if err == nil {
		return nil
	}
	if len(s.tokens) > 0 {
		return fmt.Errorf("a started answer failed after %d tokens: %w", len(s.tokens), err)
	}
	if took > deadline {
		return fmt.Errorf("refused after %v, %v past the deadline: %w", took, took-deadline, err)
	}
	return nil
}

func TestStartedAnswerCompletesAfterDeadline(t *testing.T) {
	cases := []struct {
		name string
		// plan is for an answer with so many tokens that it continues past its deadline.
		plan []plannedFault
	}{
		{"cut once", []plannedFault{{cut, 900}}},
		{"every engine has failed once", []plannedFault{{cut, 900}, {unreached, 0}, {rejected, 0}, {broken, 0}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(mixed(2)...)
				w.engines.plan = c.plan
				w.start(t)
				s, took, err := w.ask(t.Context(), promptOf("p", 1000), 1)
				is.NoErr(s.check(err))
				is.NoErr(err)
				is.True(took > deadline)
			})
		})
	}
}

func TestResumptionWithoutProgressIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(4)...)
		w.engines.plan = []plannedFault{{cut, 1}}
		for range 1000 {
			w.engines.plan = append(w.engines.plan, plannedFault{rejected, 0})
		}
		w.start(t)
		s, _, err := w.ask(t.Context(), promptOf("p", 3), 1)
		is.NoErr(s.check(err))
		is.Equal(reasonOf(err), dispatch.ReasonUpstream)
		is.True(len(w.engines.receivedAttempts()) <= 4*maxAttempts+1)
	})
}

func TestStartedAnswerWaitsForRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(1)...)
		w.engines.plan = []plannedFault{{cut, 1}}
		w.start(t)
		go func() {
			time.Sleep(tokenInterval + time.Millisecond)
			w.keeper.SetHealth("e1", false)
			time.Sleep(2 * time.Second)
			w.keeper.SetHealth("e1", true)
		}()
		s, _, err := w.ask(t.Context(), promptOf("p", 3), 1)
		is.NoErr(s.check(err))
		is.NoErr(err)
	})
}

func TestCompleteAnswerWithoutEndMarkIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(2)...)
		w.engines.plan = []plannedFault{{noEndMark, 0}}
		w.start(t)
		s, _, err := w.ask(t.Context(), promptOf("p", 3), 1)
		is.NoErr(s.check(err))
		is.NoErr(err)
		is.Equal(len(w.engines.receivedAttempts()), 1)
	})
}

func TestSilentEngineIsAbandoned(t *testing.T) {
	for _, f := range []fault{silent, foreignForever, unaccepted} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(mixed(2)...)
				w.engines.plan = []plannedFault{{f, 1}}
				w.start(t)
				s, took, err := w.ask(t.Context(), promptOf("p", 3), 1)
				is.NoErr(s.check(err))
				is.NoErr(err)
				is.True(took < deadline)
				synctest.Wait()
				is.Equal(w.engines.cancelled, []string{"a1"}) // the engine gets a cancellation
				is.Equal(w.router.outcomes[w.engines.receivedAttempts()[0].engine], []dispatch.AttemptOutcome{dispatch.AttemptFailed})
			})
		})
	}
}

func TestDeadlineIsNotARunnerFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(1)...)
		w.engines.faultOf = func(string) plannedFault { return plannedFault{silent, 0} }
		w.start(t)
		now := time.Now()
		s := &sink{prompt: promptOf("p", 3)}
		r := &dispatch.Request{Service: modelService, ArrivedAt: now, Deadline: now.Add(stallTimeout / 2)}
		err := w.d.Generate(t.Context(), r, &dispatch.Completion{Prompt: upstream.Prompt{Text: s.prompt}, MaxTokens: 3}, s)
		is.Equal(reasonOf(err), dispatch.ReasonDeadline)
		is.Equal(time.Since(now), stallTimeout/2)
		var refusal *dispatch.Refusal
		is.True(errors.As(err, &refusal) && refusal.RetryAfter > 0)
		is.Equal(w.router.outcomes["e1"], []dispatch.AttemptOutcome{dispatch.AttemptCancelled})
	})
}

func TestNoRetryWhenBackoffExceedsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(2)...)
		w.engines.faultOf = func(string) plannedFault { return plannedFault{rejected, 0} }
		w.start(t)
		now := time.Now()
		s := &sink{prompt: promptOf("p", 3)}
		r := &dispatch.Request{Service: modelService, ArrivedAt: now, Deadline: now.Add(backoff / 2)}
		err := w.d.Generate(t.Context(), r, &dispatch.Completion{Prompt: upstream.Prompt{Text: s.prompt}, MaxTokens: 3}, s)
		is.Equal(reasonOf(err), dispatch.ReasonDeadline)
		is.Equal(len(w.engines.receivedAttempts()), 1)
		is.Equal(time.Since(now), time.Duration(0)) // refused without waiting for the deadline
	})
}

func TestDrainBetweenPickAndEnter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(2)...)
		drained := ""
		w.router.afterPick = func(name string) {
			if drained == "" {
				drained = name
				w.keeper.SetOrder(state.Order{Engine: name, Fence: 1, State: state.OrderDraining})
			}
		}
		w.start(t)
		s, _, err := w.ask(t.Context(), promptOf("p", 2), 1)
		is.NoErr(s.check(err))
		is.NoErr(err)
		is.Equal(w.meter.of(dispatch.CountReroutes), 1)
		is.Equal(len(w.engines.receivedAttempts()), 1)
		is.True(w.engines.receivedAttempts()[0].engine != drained)
	})
}

// If a host was suspended between the choice of an engine and the sending, the fleet may
// already consider it gone and may have changed the engine's role. It must not send.
func TestIsolatedHostSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(2)...)
		w.router.afterPick = func(string) {
			time.Sleep(12 * time.Minute)
			w.isolated.Store(true)
		}
		w.start(t)
		s, _, err := w.ask(t.Context(), promptOf("p", 2), 1)
		is.True(err != nil)
		is.Equal(len(s.Tokens()), 0)
		is.Equal(len(w.engines.receivedAttempts()), 0)
		is.NoErr(w.checkReleased())
	})
}

func TestCancellationReachesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(2)...)
		w.engines.plan = []plannedFault{{silent, 1}}
		w.start(t)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { time.Sleep(3 * tokenInterval); cancel() }()
		s, took, err := w.ask(ctx, promptOf("p", 3), 1)
		is.NoErr(s.check(err))
		is.Equal(reasonOf(err), dispatch.ReasonCancelled)
		is.Equal(took, 3*tokenInterval)
		is.NoErr(w.checkReleased())
		synctest.Wait()
		is.Equal(w.engines.cancelled, []string{"a1"})
		is.Equal(len(w.engines.receivedAttempts()), 1)
	})
}

func TestFirstTokenReleasesPrefillWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(1)...)
		w.engines.plan = []plannedFault{{silent, 1}}
		w.start(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _, _, _ = w.ask(ctx, promptOf("p", 3), 50) }()
		synctest.Wait()
		is.Equal(w.keeper.View().Runner("e1").InFlight.Load().PrefillTokens, int64(50))
		time.Sleep(2 * tokenInterval)
		synctest.Wait()
		is.Equal(w.keeper.View().Runner("e1").InFlight.Load().PrefillTokens, int64(0))
		is.Equal(w.keeper.View().Runner("e1").InFlight.Load().Requests, int64(1))
	})
}

func TestSplitPrefillAndDecode(t *testing.T) {
	hang := func(ctx context.Context, _ string) error { <-ctx.Done(); return sendError("e1", true, ctx.Err()) }
	split := []state.Role{state.RolePrefill, state.RoleDecode, state.RoleMixed}
	noMixed := []state.Role{state.RolePrefill, state.RoleDecode}
	twoDecode := []state.Role{state.RolePrefill, state.RoleDecode, state.RoleDecode}
	cases := []struct {
		name         string
		roles        []state.Role
		promptTokens int
		prefill      func(ctx context.Context, engine string) error
		plan         []plannedFault
		// engines lists those that made decode attempts; prefills is the number of prefills.
		engines  []string
		prefills int
	}{
		{"both parts succeed", split, splitPromptTokens, nil, nil, []string{"e2"}, 1},
		{"a short prompt isn't split", split, 1, nil, nil, []string{"e3"}, 0},
		{"no mixed engine", noMixed, 1, nil, nil, []string{"e2"}, 1},
		{"prefill fails", split, splitPromptTokens, func(context.Context, string) error { return sendError("e1", true, errInjected) }, nil, []string{"e3"}, 1},
		{"prefill hangs", split, splitPromptTokens, hang, nil, []string{"e3"}, 1},
		{"decode fails", split, splitPromptTokens, nil, []plannedFault{{rejected, 0}}, []string{"e2", "e3"}, 1},
		{"decode is cut", split, splitPromptTokens, nil, []plannedFault{{cut, 1}}, []string{"e2", "e3"}, 1},
		{"decode is cut with no mixed engine", twoDecode, splitPromptTokens, nil, []plannedFault{{cut, 1}}, []string{"e2", "e3"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(c.roles...)
				w.engines.plan, w.engines.prefill = c.plan, c.prefill
				w.start(t)
				s, took, err := w.ask(t.Context(), promptOf("p", 3), c.promptTokens)
				is.NoErr(s.check(err))
				is.NoErr(err)
				is.True(took < deadline)
				var engines []string
				for _, a := range w.engines.receivedAttempts() {
					engines = append(engines, a.engine)
				}
				slices.Sort(engines)
				is.Equal(engines, c.engines)
				is.Equal(len(w.engines.prefills), c.prefills)
				is.NoErr(w.checkReleased())
			})
		})
	}
}

// TestOutageDoesNotAmplifyLoad lets half of the engines fail every request. The retry budget
// alone must bound the load, also if prefill and decode are split; with circuit breakers,
// more than nine in ten answers must also be complete.
func TestOutageDoesNotAmplifyLoad(t *testing.T) {
	const requests = 400
	split := []state.Role{state.RolePrefill, state.RolePrefill, state.RoleDecode, state.RoleDecode, state.RoleMixed, state.RoleMixed}
	cases := []struct {
		name  string
		roles []state.Role
		// parts is the number of attempts of a request without failures.
		parts    int
		breakers bool
	}{
		{"mixed", mixed(8), 1, false},
		{"split", split, 2, false},
		{"mixed with breakers", mixed(8), 1, true},
		{"split with breakers", split, 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(c.roles...)
				w.failHalf()
				budget, err := retry.NewBudget(retry.BudgetOptions{Clock: clocktest.Bubble{}, Share: func(string) float64 { return 0.1 }})
				is.NoErr(err)
				w.retries = budgeted{budget}
				if c.breakers {
					w.router.breakers, err = retry.NewBreakers(retry.BreakerOptions{})
					is.NoErr(err)
				}
				w.start(t)
				succeeded := 0
				for range requests {
					s, _, err := w.ask(t.Context(), promptOf("p", 1), splitPromptTokens)
					is.NoErr(s.check(err))
					if err == nil {
						succeeded++
					}
				}
				sent := len(w.engines.receivedAttempts()) + len(w.engines.prefills)
				is.True(sent <= c.parts*requests+requests/10+budgetSlack)
				is.True(!c.breakers || succeeded > requests*9/10)
			})
		})
	}
}

// budgetSlack is the burst of a retry budget and the retries that it accrues while the
// requests run.
const budgetSlack = 40

// failHalf lets every other engine fail every request.
func (w *world) failHalf() {
	failing := map[string]bool{"e1": true, "e3": true, "e5": true, "e7": true}
	w.engines.faultOf = func(engine string) plannedFault {
		if failing[engine] {
			return plannedFault{rejected, 0}
		}
		return plannedFault{noFault, 0}
	}
	w.engines.prefill = func(_ context.Context, engine string) error {
		if failing[engine] {
			return sendError(engine, true, errInjected)
		}
		return nil
	}
}

// budgeted limits retries by a retry.Budget and doesn't pause before them.
type budgeted struct{ *retry.Budget }

func (budgeted) Backoff(int) time.Duration { return 0 }
