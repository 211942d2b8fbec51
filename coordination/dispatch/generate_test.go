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

// ask sends one model request and returns its answer, what it came to and how
// long that took.
func (w *world) ask(ctx context.Context, prompt string, promptTokens int) (*sink, time.Duration, error) {
	s := &sink{prompt: prompt}
	now := time.Now()
	r := &dispatch.Request{ID: "r", Customer: "t", Service: modelService, ArrivedAt: now, Deadline: now.Add(deadline), Digest: quarantine.DigestOf(quarantine.Content{Body: []byte(prompt)})}
	c := &dispatch.Completion{Model: "m", Prompt: upstream.Prompt{Text: prompt}, MaxTokens: 100, PromptTokens: promptTokens, ExpectedOutput: lengthOf(prompt)}
	err := w.d.Generate(ctx, r, c, s)
	return s, time.Since(now), err
}

func reasonOf(err error) dispatch.Reason {
	var refusal *dispatch.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

// TestHoldsOwnWholeAnswer breaks attempts at every event and in every
// way. The oracle is the text that the prompt determines.
func TestHoldsOwnWholeAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "tokens")
		fleets := [][]state.Role{
			mixed(1), mixed(4),
			{state.RolePrefill, state.RoleDecode, state.RoleMixed, state.RoleMixed},
			{state.RolePrefill, state.RolePrefill, state.RoleDecode, state.RoleDecode},
		}
		roles := rapid.SampledFrom(fleets).Draw(rt, "roles")
		plan := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) act {
			return act{fault(rapid.IntRange(0, int(faults)-1).Draw(rt, "fault")), rapid.IntRange(0, n-1).Draw(rt, "at")}
		}), 0, 6).Draw(rt, "plan")
		promptTokens := rapid.SampledFrom([]int{1, apartTokens}).Draw(rt, "promptTokens")
		var failed error
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(roles...)
			w.engines.plan = slices.Clone(plan)
			w.start(t)
			s, took, err := w.ask(t.Context(), promptOf("p", n), promptTokens)
			failed = errors.Join(s.check(err), w.leftovers(), judge(s, err, took))
		})
		if failed != nil {
			rt.Fatal(failed)
		}
	})
}

// judge checks what a caller may expect beyond the text: an answer that has
// begun is finished, and a refusal isn't held back beyond the deadline.
func judge(s *sink, err error, took time.Duration) error {
	if err == nil {
		return nil
	}
	if len(s.tokens) > 0 {
		return fmt.Errorf("an answer was cut after %d tokens: %w", len(s.tokens), err)
	}
	if took > deadline {
		return fmt.Errorf("refused after %v, %v past the deadline: %w", took, took-deadline, err)
	}
	return nil
}

func TestBegunAnswerIsFinishedPastItsDeadline(t *testing.T) {
	cases := []struct {
		name string
		// plan is of an answer of so many tokens that its deadline passes.
		plan []act
	}{
		{"cut once", []act{{cut, 900}}},
		{"every engine has failed", []act{{cut, 900}, {unreached, 0}, {rejected, 0}, {broken, 0}}},
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

func TestResumptionIsBoundedWhenNothingMoreComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(4)...)
		w.engines.plan = []act{{cut, 1}}
		for range 1000 {
			w.engines.plan = append(w.engines.plan, act{rejected, 0})
		}
		w.start(t)
		s, _, err := w.ask(t.Context(), promptOf("p", 3), 1)
		is.NoErr(s.check(err))
		is.Equal(reasonOf(err), dispatch.ReasonUpstream)
		is.True(len(w.engines.seen()) <= 4*maxAttempts+1)
	})
}

func TestBegunAnswerWaitsForARunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(1)...)
		w.engines.plan = []act{{cut, 1}}
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

func TestFinishedAnswerWithoutEndMarkIsNotAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(2)...)
		w.engines.plan = []act{{unended, 0}}
		w.start(t)
		s, _, err := w.ask(t.Context(), promptOf("p", 3), 1)
		is.NoErr(s.check(err))
		is.NoErr(err)
		is.Equal(len(w.engines.seen()), 1)
	})
}

func TestSilentEngineIsLeft(t *testing.T) {
	for _, f := range []fault{silence, foreignForever, unaccepted} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(mixed(2)...)
				w.engines.plan = []act{{f, 1}}
				w.start(t)
				s, took, err := w.ask(t.Context(), promptOf("p", 3), 1)
				is.NoErr(s.check(err))
				is.NoErr(err)
				is.True(took < deadline)
				synctest.Wait()
				is.Equal(w.engines.cancelled, []string{"a1"}) // the engine is told
				is.Equal(w.router.outcomes[w.engines.seen()[0].engine], []dispatch.AttemptOutcome{dispatch.AttemptFailed})
			})
		})
	}
}

func TestDeadlineRefusesAtOnceAndBlamesNoRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(1)...)
		w.engines.of = func(string) act { return act{silence, 0} }
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

func TestNoAttemptWhenTheDeadlinePassesInThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(2)...)
		w.engines.of = func(string) act { return act{rejected, 0} }
		w.start(t)
		now := time.Now()
		s := &sink{prompt: promptOf("p", 3)}
		r := &dispatch.Request{Service: modelService, ArrivedAt: now, Deadline: now.Add(backoff / 2)}
		err := w.d.Generate(t.Context(), r, &dispatch.Completion{Prompt: upstream.Prompt{Text: s.prompt}, MaxTokens: 3}, s)
		is.Equal(reasonOf(err), dispatch.ReasonDeadline)
		is.Equal(len(w.engines.seen()), 1)
		is.Equal(time.Since(now), time.Duration(0)) // not held back until the deadline
	})
}

func TestDrainBetweenChoiceAndCount(t *testing.T) {
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
		is.Equal(len(w.engines.seen()), 1)
		is.True(w.engines.seen()[0].engine != drained)
	})
}

// A host that slept between the choice and the sending may count as gone by now;
// the engine may have been changed without it.
func TestHostThatSleptPastItsStandingSendsNothing(t *testing.T) {
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
		is.Equal(len(s.Given()), 0)
		is.Equal(len(w.engines.seen()), 0)
		is.NoErr(w.leftovers())
	})
}

func TestCancellationReachesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(2)...)
		w.engines.plan = []act{{silence, 1}}
		w.start(t)
		ctx, leave := context.WithCancel(t.Context())
		go func() { time.Sleep(3 * tokenInterval); leave() }()
		s, took, err := w.ask(ctx, promptOf("p", 3), 1)
		is.NoErr(s.check(err))
		is.Equal(reasonOf(err), dispatch.ReasonCancelled)
		is.Equal(took, 3*tokenInterval)
		is.NoErr(w.leftovers())
		synctest.Wait()
		is.Equal(w.engines.cancelled, []string{"a1"})
		is.Equal(len(w.engines.seen()), 1)
	})
}

func TestPromptIsCountedOutWithItsFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(mixed(1)...)
		w.engines.plan = []act{{silence, 1}}
		w.start(t)
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		go func() { _, _, _ = w.ask(ctx, promptOf("p", 3), 50) }()
		synctest.Wait()
		is.Equal(w.keeper.View().Runner("e1").InFlight.Load().PrefillTokens, int64(50))
		time.Sleep(2 * tokenInterval)
		synctest.Wait()
		is.Equal(w.keeper.View().Runner("e1").InFlight.Load().PrefillTokens, int64(0))
		is.Equal(w.keeper.View().Runner("e1").InFlight.Load().Requests, int64(1))
	})
}

func TestPromptAndOutputApart(t *testing.T) {
	hang := func(ctx context.Context, _ string) error { <-ctx.Done(); return sendError("e1", true, ctx.Err()) }
	apart := []state.Role{state.RolePrefill, state.RoleDecode, state.RoleMixed}
	pure := []state.Role{state.RolePrefill, state.RoleDecode}
	decodes := []state.Role{state.RolePrefill, state.RoleDecode, state.RoleDecode}
	cases := []struct {
		name         string
		roles        []state.Role
		promptTokens int
		prefill      func(ctx context.Context, engine string) error
		plan         []act
		// engines are those that computed output; prefills is how many prompts.
		engines  []string
		prefills int
	}{
		{"both parts work", apart, apartTokens, nil, nil, []string{"e2"}, 1},
		{"a short prompt stays on one engine", apart, 1, nil, nil, []string{"e3"}, 0},
		{"no mixed engine", pure, 1, nil, nil, []string{"e2"}, 1},
		{"prefill fails", apart, apartTokens, func(context.Context, string) error { return sendError("e1", true, errTest) }, nil, []string{"e3"}, 1},
		{"prefill hangs", apart, apartTokens, hang, nil, []string{"e3"}, 1},
		{"decode fails", apart, apartTokens, nil, []act{{rejected, 0}}, []string{"e2", "e3"}, 1},
		{"decode is cut", apart, apartTokens, nil, []act{{cut, 1}}, []string{"e2", "e3"}, 1},
		{"decode is cut with no mixed engine", decodes, apartTokens, nil, []act{{cut, 1}}, []string{"e2", "e3"}, 2},
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
				for _, a := range w.engines.seen() {
					engines = append(engines, a.engine)
				}
				slices.Sort(engines)
				is.Equal(engines, c.engines)
				is.Equal(len(w.engines.prefills), c.prefills)
				is.NoErr(w.leftovers())
			})
		})
	}
}

// TestOutageMultipliesNoLoad lets half of the engines fail everything they are
// sent, for requests whose parts go apart, too. Without breakers the retry budget
// alone bounds the load; with them nearly every answer is whole.
func TestOutageMultipliesNoLoad(t *testing.T) {
	const requests = 400
	apart := []state.Role{state.RolePrefill, state.RolePrefill, state.RoleDecode, state.RoleDecode, state.RoleMixed, state.RoleMixed}
	cases := []struct {
		name  string
		roles []state.Role
		// parts is how many engines a request is sent to when all goes well.
		parts    int
		breakers bool
	}{
		{"mixed", mixed(8), 1, false},
		{"apart", apart, 2, false},
		{"mixed with breakers", mixed(8), 1, true},
		{"apart with breakers", apart, 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(c.roles...)
				w.breakHalf()
				budget, err := retry.NewBudget(retry.BudgetOptions{Clock: clocktest.Bubble{}, Share: func(string) float64 { return 0.1 }})
				is.NoErr(err)
				w.retries = budgeted{budget}
				if c.breakers {
					w.router.breakers, err = retry.NewBreakers(retry.BreakerOptions{})
					is.NoErr(err)
				}
				w.start(t)
				wholes := 0
				for range requests {
					s, _, err := w.ask(t.Context(), promptOf("p", 1), apartTokens)
					is.NoErr(s.check(err))
					if err == nil {
						wholes++
					}
				}
				sent := len(w.engines.seen()) + len(w.engines.prefills)
				is.True(sent <= c.parts*requests+requests/10+budgetSlack)
				is.True(!c.breakers || wholes > requests*9/10)
			})
		})
	}
}

// budgetSlack is the burst of a retry budget and what it earns in the seconds
// that the requests take.
const budgetSlack = 40

// breakHalf lets every other engine fail everything.
func (w *world) breakHalf() {
	dead := map[string]bool{"e1": true, "e3": true, "e5": true, "e7": true}
	w.engines.of = func(engine string) act {
		if dead[engine] {
			return act{rejected, 0}
		}
		return act{whole, 0}
	}
	w.engines.prefill = func(_ context.Context, engine string) error {
		if dead[engine] {
			return sendError(engine, true, errTest)
		}
		return nil
	}
}

type budgeted struct{ *retry.Budget }

func (budgeted) Backoff(int) time.Duration { return 0 }
