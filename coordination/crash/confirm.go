package crash

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/thymerack/thymerack/state"
)

// maxAsked bounds the other hosts that are asked whether a run has ended: some of them may have lost the path to the same
// run.
const maxAsked = 3

// ConfirmerOptions configures a Confirmer. All fields are required.
type ConfirmerOptions struct {
	// Own finds out the status of a run over this host's own link. A refused connection is Ended.
	Own func(ctx context.Context, i *state.Instance) RunStatus
	// Siblings returns the other runs of the same service.
	Siblings func(i *state.Instance) []*state.Instance
	// Others returns the peer addresses of the other hosts, and Ask asks one of them for Conclusive.
	Others func() []string
	Ask    func(ctx context.Context, addr string, id state.InstanceID) (RunStatus, error)
}

// Confirmer finds out the status of a run with the help of other hosts: a host that is refused a connection may
// have lost its own links, so that a run has ended only if a host with working links is refused as well. It is safe
// for concurrent use.
type Confirmer struct{ o ConfirmerOptions }

// NewConfirmer returns an error if an option is missing.
func NewConfirmer(o ConfirmerOptions) (*Confirmer, error) {
	if o.Own == nil || o.Siblings == nil || o.Others == nil || o.Ask == nil {
		return nil, errors.New("crash: a field of ConfirmerOptions is missing; set all of them")
	}
	return &Confirmer{o}, nil
}

// Status returns the status of a run. It is Silent while no other host could confirm that the run has ended; a
// host without others relies on its own finding.
func (c *Confirmer) Status(ctx context.Context, i *state.Instance) RunStatus {
	own := c.o.Own(ctx, i)
	if own != Ended {
		return own
	}
	others := c.o.Others()
	if len(others) == 0 {
		return Ended
	}
	rand.Shuffle(len(others), func(n, m int) { others[n], others[m] = others[m], others[n] })
	status := Silent
	for _, addr := range others[:min(len(others), maxAsked)] {
		switch found, err := c.o.Ask(ctx, addr, i.ID); {
		case err == nil && found == Alive:
			return Silent // this host can't reach it, and others may not either
		case err == nil && found == Ended:
			status = Ended
		}
	}
	return status
}

// Conclusive returns the status of a run for another host. It is Ended only if this host reaches another run of the
// service after it was refused, or if there is none.
func (c *Confirmer) Conclusive(ctx context.Context, i *state.Instance) RunStatus {
	found := c.o.Own(ctx, i)
	if found != Ended {
		return found
	}
	siblings := c.o.Siblings(i)
	for _, n := range rand.Perm(len(siblings))[:min(len(siblings), maxAsked)] {
		if c.o.Own(ctx, siblings[n]) == Alive {
			return Ended
		}
	}
	if len(siblings) == 0 {
		return Ended
	}
	return Silent
}
