package backpressure

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// Leaving reports whether a run has said that it leaves.
func (r *Registry) Leaving(id state.InstanceID) bool {
	run := r.lookup(id)
	return run != nil && run.leaving.Load()
}

// Limit is how many requests a second a run takes of all hosts together, if it names a limit.
func (r *Registry) Limit(id state.InstanceID) (rate float64, limited bool) {
	run := r.lookup(id)
	if run == nil {
		return 0, false
	}
	l := run.limit.Load()
	if l == nil {
		return 0, false
	}
	return l.rate, true
}

// CloseUntil notes that the limit of a run leaves nothing for this host until then.
func (r *Registry) CloseUntil(id state.InstanceID, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.lookup(id)
	if run == nil {
		return
	}
	if l := run.limit.Load(); l != nil {
		closed := *l
		closed.opensAt = until
		run.limit.Store(&closed)
	}
}

// OpensAt is when a run takes a request of this host again, by its limit and the rest that it
// asked for; zero if it does now, as far as is known here.
func (r *Registry) OpensAt(id state.InstanceID) time.Time {
	run := r.lookup(id)
	if run == nil {
		return time.Time{}
	}
	now := r.o.Clock.Now()
	at := run.pausedUntil(now)
	if l := run.limit.Load(); l != nil && l.opensAt.After(now) && l.opensAt.After(at) {
		at = l.opensAt
	}
	return at
}

// BackoffUntil is the end of the rest that a run asked this host for; zero if it wants none now.
func (r *Registry) BackoffUntil(id state.InstanceID) time.Time {
	run := r.lookup(id)
	if run == nil {
		return time.Time{}
	}
	return run.currentBackoff(r.o.Clock.Now())
}

// PausedUntil is BackoffUntil, or the end of the trial after a rest while a request of this host is
// on its way to the run.
func (r *Registry) PausedUntil(id state.InstanceID) time.Time {
	run := r.lookup(id)
	if run == nil {
		return time.Time{}
	}
	return run.pausedUntil(r.o.Clock.Now())
}

func (s *runState) pausedUntil(now time.Time) time.Time {
	if trial := s.trialUntil.Load(); s.needsTrial.Load() && trial != nil && trial.After(now) {
		return *trial
	}
	return s.currentBackoff(now)
}

// AwaitsTrial reports whether a run asked for rest and took nothing of this host since.
func (r *Registry) AwaitsTrial(id state.InstanceID) bool {
	run := r.lookup(id)
	return run != nil && run.needsTrial.Load()
}

// AllowTrial asks to send a request to a run. After a rest one request is let through to find out
// whether the runner takes work again; those that waited for it don't all come at once.
func (r *Registry) AllowTrial(id state.InstanceID) bool {
	run := r.lookup(id)
	if run == nil || !run.needsTrial.Load() {
		return true
	}
	now := r.o.Clock.Now()
	before := run.trialUntil.Load()
	if before != nil && before.After(now) {
		return false
	}
	until := now.Add(trialTimeout)
	return run.trialUntil.CompareAndSwap(before, &until)
}

func (s *runState) currentBackoff(now time.Time) time.Time {
	if until := s.backoffUntil.Load(); until != nil && now.Before(*until) {
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
		if !known.currentBackoff(now).IsZero() {
			out.BackingOff++
		}
	}
	return out
}
