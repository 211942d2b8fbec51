package route

import (
	"errors"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// Path is the way of a model request: one engine for all of it, or one for its
// prefill and another for its decode.
type Path struct {
	// Split tells which of the two it is.
	Split bool
	// Prefill is the engine of the whole request, or of the prefill.
	Prefill Choice
	// Decode is the engine of the decode; only for a split path.
	Decode Choice
}

// PickPath chooses the way with the earliest predicted finish; q.Part is
// ignored. It returns a *NoRunnerError if there is neither.
func (r *Router) PickPath(v *snapshot.View, q *Query) (Path, error) {
	whole, err := r.pickPart(v, q, PartWhole)
	if !r.splits(v, q.Service) {
		return Path{Prefill: whole}, err
	}
	split, splitErr := r.pickSplit(v, q)
	if splitErr != nil {
		return Path{Prefill: whole}, err
	}
	if err == nil && whole.Score <= split.Prefill.Score+split.Decode.Score {
		return Path{Prefill: whole}, nil
	}
	return split, nil
}

func (r *Router) pickSplit(v *snapshot.View, q *Query) (Path, error) {
	first, err := r.pickPart(v, q, PartPrefill)
	if err != nil {
		return Path{}, err
	}
	decode, err := r.pickPart(v, q, PartDecode)
	if err != nil {
		return Path{}, err
	}
	return Path{Split: true, Prefill: first, Decode: decode}, nil
}

func (r *Router) pickPart(v *snapshot.View, q *Query, p Part) (Choice, error) {
	if q.Part == p {
		return r.Pick(v, q)
	}
	part := *q
	part.Part = p
	return r.Pick(v, &part)
}

// splits reports whether the service has engines that serve one part only.
func (r *Router) splits(v *snapshot.View, service string) bool {
	return r.indexFor(v, r.clock.Now()).hasSplitRoles[service]
}

// AsNoRunnerError reports whether err says that no runner could be chosen.
func AsNoRunnerError(err error) (*NoRunnerError, bool) {
	var none *NoRunnerError
	ok := errors.As(err, &none)
	return none, ok
}
