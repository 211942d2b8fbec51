package forward

import (
	"context"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/state"
)

const (
	// maxDirectTokens bounds the prompts that are computed at an engine that decodes: eight of its
	// chunks of 512 tokens, a quarter of the smallest chunk of an engine that only prefills.
	maxDirectTokens = 4096
	// directQueueWait is the longest predicted wait for a direct prefill: the time of about one
	// short prompt at an engine that decodes. With more, streams there would be slowed down by
	// one prompt after the other.
	directQueueWait = 40 * time.Millisecond
	// maxDirectCandidates bounds the engines whose owners are queried for a direct prefill.
	maxDirectCandidates = 2
	// directModel is appended to the service's name for forecasts of direct prefills at engines that
	// only decode. They compute prompts more slowly than others, so their durations are learned apart.
	directModel = "/direct"
)

// PhaseDirect is a request whose prompt is computed by the engine that decodes it, although the
// service has engines that only prefill.
const PhaseDirect Phase = "direct"

// chooseDirect chooses an engine that decodes for the whole of an urgent request with a short
// prompt; the choice has no runner if the prompt is to be computed by an engine that only prefills.
// There it would wait for long prompts, which engines don't interrupt: one of 17,000 tokens takes
// 150 to 350 ms, most of an objective of 500 ms. Engines that decode compute a short prompt between
// the tokens of their streams.
func (d *Dispatcher) chooseDirect(ctx context.Context, r *Request, rec *record) choice {
	if !r.mayPrefillDirectly() || !d.gaps.allowDirect(r.Service, d.o.Clock.Now()) {
		return choice{}
	}
	prompt := backlog.Prompt(newColdPrompt(r.Generation))
	limit := r.ArrivedAt.Add(r.Route.Objective).Sub(d.o.Clock.Now())
	excluded := slices.Clone(rec.tried)
	for range maxDirectCandidates {
		runner := d.o.Placer.ChooseForDecode(rec.pool(r), "", "", excluded)
		if runner == nil {
			break
		}
		ask := d.prefillAsk(r, runner, prompt, directQueueWait, limit)
		if runner.Instance.Role == state.RoleDecode {
			ask.Prefill.Service += directModel
		}
		c := candidate{runner, d.o.Gate.Enter(ctx, d.withMemory(r, ask))}
		if c.Reservation != nil {
			res := newReservation(c, nil)
			res.holdsMemory = d.knowsMemory(r)
			d.noteReservation(rec, PhaseDirect, res.kind)
			return choice{Runner: runner, reservation: res, forPrefill: true}
		}
		rec.addStep(runner.Instance, "place", refusalOutcome(c), c.Forecast.Finish, nil)
		excluded = append(excluded, runner.Instance.ID)
	}
	return choice{}
}

// mayPrefillDirectly reports whether the request is of the most urgent of several levels and its
// prompt is short, and the pauses of its stream are limited.
func (r *Request) mayPrefillDirectly() bool {
	return r.Route.EventGap > 0 && r.Contention.Levels > 1 && r.Contention.Level == 0 && r.Generation.PromptTokens <= maxDirectTokens
}
