package replay

import (
	"github.com/thymerack/thymerack/coordination/route"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// path chooses the engines of a call in the way of the setup.
func (h *host) path(c *call) (route.Path, error) {
	q := c.query(route.PartWhole)
	if h.fleet.setup.Chooser == ChooseByRouter {
		return h.router.PickPath(h.keeper.View(), &q)
	}
	first := h.naive(route.PartWhole)
	if first != nil {
		return route.Path{Prefill: route.Choice{Runner: first}}, nil
	}
	first = h.naive(route.PartPrefill)
	if first == nil {
		return route.Path{}, &route.NoRunnerError{Service: service, Reason: route.ReasonNoRole}
	}
	return route.Path{Split: true, Prefill: route.Choice{Runner: first}}, nil
}

// decoder chooses the engine of the decode half.
func (h *host) decoder(_ *call, q *route.Query) (route.Choice, error) {
	if h.fleet.setup.Chooser == ChooseByRouter {
		return h.router.Pick(h.keeper.View(), q)
	}
	if n := h.naive(route.PartDecode); n != nil {
		return route.Choice{Runner: n}, nil
	}
	return route.Choice{}, &route.NoRunnerError{Service: service, Reason: route.ReasonNoRole}
}

// naive chooses by turn or by the host's own requests in flight; a mixed engine
// serves whole requests only.
func (h *host) naive(p route.Part) *snapshot.Runner {
	runners := h.keeper.View().RunnersOf(service)
	var best *snapshot.Runner
	h.turn++
	for i := range runners {
		n := runners[(i+h.turn)%len(runners)]
		if !n.TakesWork() || n.Target.Role != roleOf(p) {
			continue
		}
		if h.fleet.setup.Chooser == ChooseRoundRobin {
			return n
		}
		if best == nil || n.InFlight.Load().Requests < best.InFlight.Load().Requests {
			best = n
		}
	}
	return best
}

func roleOf(p route.Part) state.Role {
	switch p {
	case route.PartPrefill:
		return state.RolePrefill
	case route.PartDecode:
		return state.RoleDecode
	default:
		return state.RoleMixed
	}
}
