package backpressure

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// Leaving reports whether a run has announced that it is leaving.
func (r *Registry) Leaving(id state.InstanceID) bool {
	run := r.lookup(id)
	return run != nil && run.leaving.Load()
}

// Limit returns the number of requests per second that a run accepts from all hosts
// together; limited is false if it sets no limit.
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

// CloseUntil records that the limit of a run admits no request of this host before the
// given time.
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

// OpensAt returns when a run accepts the next request of this host, by its limit and its
// backoff; zero if it accepts one now, as far as this host knows.
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

// BackoffUntil returns the end of the backoff that a run asked this host for; zero if there
// is none now.
func (r *Registry) BackoffUntil(id state.InstanceID) time.Time {
	run := r.lookup(id)
	if run == nil {
		return time.Time{}
	}
	return run.currentBackoff(r.o.Clock.Now())
}

// PausedUntil returns the end of the trial while the trial request of this host is under
// way, and otherwise the same as BackoffUntil.
func (r *Registry) PausedUntil(id state.InstanceID) time.Time {
	run := r.lookup(id)
	if run == nil {
		return time.Time{}
	}
	return run.pausedUntil(r.o.Clock.Now())
}

// pausedUntil implements PausedUntil.
func (s *runState) pausedUntil(now time.Time) time.Time {
	if trial := s.trialUntil.Load(); s.needsTrial.Load() && trial != nil && trial.After(now) {
		return *trial
	}
	return s.currentBackoff(now)
}

// AwaitsTrial reports whether a run needs a trial: it asked for a backoff and has accepted
// no request of this host since.
func (r *Registry) AwaitsTrial(id state.InstanceID) bool {
	run := r.lookup(id)
	return run != nil && run.needsTrial.Load()
}

// AllowTrial reports whether a request may be sent to a run. After a backoff it admits one
// request at a time as a trial, until the runner accepts one, so that the requests that
// waited for the end of the backoff aren't all sent at once.
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

// currentBackoff returns the end of the backoff; zero if there is none now.
func (s *runState) currentBackoff(now time.Time) time.Time {
	if until := s.backoffUntil.Load(); until != nil && now.Before(*until) {
		return *until
	}
	return time.Time{}
}

// Counts is the number of runs that set a limit, are leaving or have this host back off at
// present.
type Counts struct{ Limited, Leaving, BackingOff int }

// Count returns the present counts.
func (r *Registry) Count() Counts {
	var out Counts
	now := r.o.Clock.Now()
	for _, run := range *r.runs.Load() {
		if run.limit.Load() != nil {
			out.Limited++
		}
		if run.leaving.Load() {
			out.Leaving++
		}
		if !run.currentBackoff(now).IsZero() {
			out.BackingOff++
		}
	}
	return out
}
