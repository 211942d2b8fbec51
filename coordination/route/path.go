package route

import (
	"errors"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// Path is the choice of engines for a model request: one for all of it, or one for
// the prefill and another one for the decode.
type Path struct {
	// Split reports whether prefill and decode run on different engines.
	Split bool
	// Prefill is the choice for the whole request, or for the prefill of a split one.
	Prefill Choice
	// Decode is the choice for the decode; set only if Split is.
	Decode Choice
}

// PickPath returns the path with the lowest score, whole or split; q.Part is
// ignored. It returns a *NoRunnerError if neither is possible.
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
	prefill, err := r.pickPart(v, q, PartPrefill)
	if err != nil {
		return Path{}, err
	}
	decode, err := r.pickPart(v, q, PartDecode)
	if err != nil {
		return Path{}, err
	}
	return Path{Split: true, Prefill: prefill, Decode: decode}, nil
}

func (r *Router) pickPart(v *snapshot.View, q *Query, p Part) (Choice, error) {
	if q.Part == p {
		return r.Pick(v, q)
	}
	part := *q
	part.Part = p
	return r.Pick(v, &part)
}

// splits reports whether the service has engines that serve only one part.
func (r *Router) splits(v *snapshot.View, service string) bool {
	return r.indexFor(v, r.clock.Now()).hasSplitRoles[service]
}

// AsNoRunnerError returns the *NoRunnerError in err's chain, if there is one.
func AsNoRunnerError(err error) (*NoRunnerError, bool) {
	var none *NoRunnerError
	ok := errors.As(err, &none)
	return none, ok
}
