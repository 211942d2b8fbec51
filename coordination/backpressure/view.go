package backpressure

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// Leaving reports whether a run has said that it leaves.
func (r *Registry) Leaving(id state.InstanceID) bool {
	known := r.run(id)
	return known != nil && known.leaving.Load()
}

// Limit is how many requests a second a run takes of all hosts together, if it names a limit.
func (r *Registry) Limit(id state.InstanceID) (rate float64, limited bool) {
	known := r.run(id)
	if known == nil {
		return 0, false
	}
	l := known.limit.Load()
	if l == nil {
		return 0, false
	}
	return l.rate, true
}

// CloseUntil notes that the limit of a run leaves nothing for this host until then.
func (r *Registry) CloseUntil(id state.InstanceID, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.run(id)
	if known == nil {
		return
	}
	if l := known.limit.Load(); l != nil {
		closed := *l
		closed.opensAt = until
		known.limit.Store(&closed)
	}
}

// OpensAt is when a run takes a request of this host again, by its limit and the rest that it
// asked for; zero if it does now, as far as is known here.
func (r *Registry) OpensAt(id state.InstanceID) time.Time {
	known := r.run(id)
	if known == nil {
		return time.Time{}
	}
	now := r.o.Clock.Now()
	at := known.pausedUntil(now)
	if l := known.limit.Load(); l != nil && l.opensAt.After(now) && l.opensAt.After(at) {
		at = l.opensAt
	}
	return at
}

// BackoffUntil is the end of the rest that a run asked this host for; zero if it wants none now.
func (r *Registry) BackoffUntil(id state.InstanceID) time.Time {
	known := r.run(id)
	if known == nil {
		return time.Time{}
	}
	return known.restsUntil(r.o.Clock.Now())
}

// PausedUntil is BackoffUntil, or the end of the trial after a rest while a request of this host is
// on its way to the run.
func (r *Registry) PausedUntil(id state.InstanceID) time.Time {
	known := r.run(id)
	if known == nil {
		return time.Time{}
	}
	return known.pausedUntil(r.o.Clock.Now())
}

func (k *run) pausedUntil(now time.Time) time.Time {
	if trial := k.trialUntil.Load(); k.unproven.Load() && trial != nil && trial.After(now) {
		return *trial
	}
	return k.restsUntil(now)
}

// AwaitsTrial reports whether a run asked for rest and took nothing of this host since.
func (r *Registry) AwaitsTrial(id state.InstanceID) bool {
	known := r.run(id)
	return known != nil && known.unproven.Load()
}

// AllowTrial asks to send a request to a run. After a rest one request is let through to find out
// whether the runner takes work again; those that waited for it don't all come at once.
func (r *Registry) AllowTrial(id state.InstanceID) bool {
	known := r.run(id)
	if known == nil || !known.unproven.Load() {
		return true
	}
	now := r.o.Clock.Now()
	before := known.trialUntil.Load()
	if before != nil && before.After(now) {
		return false
	}
	until := now.Add(trialFor)
	return known.trialUntil.CompareAndSwap(before, &until)
}

func (k *run) restsUntil(now time.Time) time.Time {
	if until := k.restUntil.Load(); until != nil && now.Before(*until) {
		return *until
	}
	return time.Time{}
}

// Counts are the runs that ask something at present.
type Counts struct{ Limited, Leaving, BackingOff int }

// Count counts them.
func (r *Registry) Count() Counts {
	var out Counts
	now := r.o.Clock.Now()
	for _, known := range *r.runs.Load() {
		if known.limit.Load() != nil {
			out.Limited++
		}
		if known.leaving.Load() {
			out.Leaving++
		}
		if !known.restsUntil(now).IsZero() {
			out.BackingOff++
		}
	}
	return out
}
