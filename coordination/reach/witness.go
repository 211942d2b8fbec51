package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// witnessTimeout bounds an attempt to connect to another runner: ten round trips between failure domains and a
	// handshake. Another host waits for the outcome.
	witnessTimeout = 30 * time.Millisecond
	// maxWitnesses bounds the runners that are tried: one of them may have ended as well.
	maxWitnesses = 3
)

// WitnessOptions configures a Witness. All fields are required.
type WitnessOptions struct {
	Tracker *Tracker
	// Runners returns the runners of a service that accept requests.
	Runners func(service string) []*state.Instance
	// Connect makes a connection to a runner over this host's own link and closes it.
	Connect func(ctx context.Context, i *state.Instance) error
	Clock   state.Clock
}

// Witness finds out whether a failed attempt of this host says anything of the runner. A host that has
// just lost all its links doesn't know of it: its first refused connection looks like the end of a run, and two
// such hosts would confirm it to each other. Therefore a refusal counts only if the host connects to another
// runner of the service after it. It is safe for concurrent use.
type Witness struct {
	o WitnessOptions

	mu sync.Mutex
	// connectedAt is when the last attempt began that connected to another runner, by service.
	connectedAt map[string]time.Time
}

// NewWitness returns an error if an option is missing.
func NewWitness(o WitnessOptions) (*Witness, error) {
	if o.Tracker == nil || o.Runners == nil || o.Connect == nil || o.Clock == nil {
		return nil, errors.New("reach: a field of WitnessOptions is missing; set all of them")
	}
	return &Witness{o: o, connectedAt: map[string]time.Time{}}, nil
}

// Conclusive reports whether the failure of an attempt to connect to a runner, which began at the time, says
// anything of the runner.
func (w *Witness) Conclusive(ctx context.Context, failed *state.Instance, e Evidence, began time.Time) bool {
	if e != EvidenceRefused {
		return !w.o.Tracker.Inconclusive(failed.Service, e, began)
	}
	if w.o.Tracker.LostMost(failed.Service) {
		return false
	}
	if w.connectedSince(failed.Service, began) {
		return true
	}
	others := w.others(failed)
	if len(others) == 0 {
		return !w.o.Tracker.Inconclusive(failed.Service, e, began)
	}
	for _, i := range others {
		if w.connects(ctx, i) {
			return true
		}
	}
	return false
}

func (w *Witness) connectedSince(service string, since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connectedAt[service].After(since)
}

// others returns a few other runners of the service in a random order, those in the runner's failure domain
// first: the links to a domain may be lost together. Runners whose links are lost already can't tell anything new.
func (w *Witness) others(failed *state.Instance) []*state.Instance {
	runners := w.o.Runners(failed.Service)
	var near, far []*state.Instance
	for _, n := range rand.Perm(len(runners)) {
		i := runners[n]
		if i.ID == failed.ID || w.o.Tracker.State(i.ID) != Direct {
			continue
		}
		if i.FailureDomain == failed.FailureDomain {
			near = append(near, i)
		} else if len(far) < maxWitnesses {
			far = append(far, i)
		}
		if len(near) == maxWitnesses {
			break
		}
	}
	all := append(near, far...)
	return all[:min(len(all), maxWitnesses)]
}

// connects reports whether this host connects to a runner, and records when it began to.
func (w *Witness) connects(ctx context.Context, i *state.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	began := w.o.Clock.Now()
	if w.o.Connect(ctx, i) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connectedAt[i.Service] = began
	return true
}
