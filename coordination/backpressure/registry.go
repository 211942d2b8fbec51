package backpressure

import (
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// unlistedTTL is how long the advice of a run is kept after the run was last listed:
	// entries of live runners are missing from the list for some seconds around an outage
	// of the store.
	unlistedTTL = time.Minute
	// maxRuns bounds the runs in the registry: twice the largest fleet, since a release may
	// replace every run of it.
	maxRuns = 4096
	// minBroadcastInterval is the shortest time between two broadcasts of the limit of one
	// run. An unchanged limit is broadcast again after renewInterval, for hosts that have
	// started since or missed the broadcast.
	minBroadcastInterval = 250 * time.Millisecond
	renewInterval        = 2 * time.Second
	// ownPrecedence is how long an answer to this host takes precedence over notices of
	// other hosts: about the time in which the other hosts learn of the same limit.
	ownPrecedence = 300 * time.Millisecond
	// backoffJitter is the largest share of a backoff by which it is prolonged at random,
	// so that hosts that were turned away together don't return together.
	backoffJitter = 0.1
	// trialTimeout is how long the first request after a backoff keeps the other requests
	// of this host from the runner if it isn't answered earlier.
	trialTimeout = 250 * time.Millisecond
	// unreadableLogInterval is the shortest time between two log lines on unreadable fields
	// of one run.
	unreadableLogInterval = 10 * time.Second
)

// Observer counts advice.
type Observer interface {
	// ObserveAdvice counts advice of kind k that a runner of the service has given.
	ObserveAdvice(service string, k Kind)
}

// Notice is advice of a run to all hosts, as broadcast by a host that received it.
type Notice struct {
	Instance state.InstanceID
	Service  string
	// Kind is KindLimit, with Limit in requests per second, KindLifted or KindLeaving.
	Kind  Kind
	Limit float64
}

// Options configures a Registry. All fields are required.
type Options struct {
	Clock    state.Clock
	Log      *slog.Logger
	Observer Observer
	// Broadcast sends a notice to all hosts, which may include this one. It must not block.
	Broadcast func(Notice)
	// OnLeaving is called when a run first becomes known to be leaving. It may call the
	// registry.
	OnLeaving func(id state.InstanceID)
}

// Registry holds the advice of the runners that this host knows of. It is safe for
// concurrent use, and reading it takes no lock.
type Registry struct {
	o Options

	mu sync.Mutex // held by writers
	// runs contains the runs that have given any advice. Writers replace the whole map.
	runs atomic.Pointer[map[state.InstanceID]*runState]
}

// runState is the advice of one run. Its fields are replaced under the registry's lock,
// except for trialUntil, which AllowTrial replaces without it.
type runState struct {
	service string
	limit   atomic.Pointer[limit]
	// backoffUntil is the end of the latest backoff; nil if there was none.
	backoffUntil atomic.Pointer[time.Time]
	// needsTrial is set by a backoff and cleared when the runner accepts a request that was
	// sent after the backoff ended. trialUntil is the time until which a request of this
	// host is under way as a trial.
	needsTrial atomic.Bool
	trialUntil atomic.Pointer[time.Time]
	leaving    atomic.Bool

	// listedAt is when the run was last listed, broadcastAt when its limit was last
	// broadcast by any host, and unreadableLoggedAt when its unreadable fields were last
	// logged.
	listedAt, broadcastAt, unreadableLoggedAt time.Time
}

// limit is the request rate that a run accepts from all hosts together, per second.
type limit struct {
	rate float64
	// learnedAt is when the limit was last confirmed by an answer or a notice, and
	// answeredAt when an answer to this host last contained it; zero if none has.
	learnedAt, answeredAt time.Time
	// opensAt is when this host may send its next request; zero if it may do so at once.
	opensAt time.Time
}

// New returns an error if an option is missing.
func New(o Options) (*Registry, error) {
	if o.Clock == nil || o.Log == nil || o.Observer == nil || o.Broadcast == nil || o.OnLeaving == nil {
		return nil, errors.New("backpressure: a field of Options is nil; set all of them")
	}
	r := &Registry{o: o}
	r.runs.Store(&map[state.InstanceID]*runState{})
	return r, nil
}

// Record applies the advice in an answer of a run. sentAt is when the request left this
// host. ofRequest is false for calls of the system's own, such as probes. If the answer to
// such a call contains no limit, that doesn't lift one, since a limit counts only requests.
func (r *Registry) Record(i *state.Instance, sentAt time.Time, a Advice, ofRequest bool) {
	if !a.nonEmpty() && r.lookup(i.ID) == nil {
		return
	}
	leaving := false
	for _, n := range r.record(i, sentAt, a, ofRequest) {
		r.o.Broadcast(n)
		leaving = leaving || n.Kind == KindLeaving
	}
	if leaving {
		r.o.OnLeaving(i.ID)
	}
}

// record applies the advice and returns the notices to broadcast.
func (r *Registry) record(i *state.Instance, sentAt time.Time, a Advice, ofRequest bool) (notices []Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	run := r.lookupOrCreate(i.ID, i.Service, now)
	before := run.limit.Load()
	switch {
	case a.Limited:
		r.setLimit(i.ID, run, limit{rate: a.Limit, learnedAt: now, answeredAt: now})
		if run.shouldBroadcast(now, before == nil || before.rate != a.Limit) {
			notices = append(notices, Notice{i.ID, i.Service, KindLimit, a.Limit})
		}
	case ofRequest && len(a.Unreadable) == 0 && before != nil && sentAt.After(before.learnedAt):
		// Answers can arrive out of order. Only one whose request was sent after the limit
		// was last confirmed is known to be newer.
		r.clearLimit(i.ID, run)
		notices = append(notices, Notice{i.ID, i.Service, KindLifted, 0})
	}
	if a.Leaving && r.setLeaving(i.ID, run, "an answer") {
		notices = append(notices, Notice{i.ID, i.Service, KindLeaving, 0})
	}
	switch until := run.backoffUntil.Load(); {
	case a.Backoff > 0:
		r.setBackoff(i, run, now, a.Backoff)
	case ofRequest && until != nil && sentAt.After(*until):
		run.needsTrial.Store(false)
	}
	r.reportUnreadable(i, run, now, a.Unreadable)
	return notices
}

// shouldBroadcast reports whether the limit is to be broadcast now, and sets broadcastAt if
// so.
func (s *runState) shouldBroadcast(now time.Time, changed bool) bool {
	wait := renewInterval
	if changed {
		wait = minBroadcastInterval
	}
	if !s.broadcastAt.IsZero() && now.Sub(s.broadcastAt) < wait {
		return false
	}
	s.broadcastAt = now
	return true
}

// HandleNotice applies a notice of a host. A limit that a recent answer to this host
// contained takes precedence over it.
func (r *Registry) HandleNotice(n Notice) {
	if r.applyNotice(n) {
		r.o.OnLeaving(n.Instance)
	}
}

// applyNotice applies a notice and reports whether it is the first to say that the run is
// leaving. Kinds that it doesn't know, from other versions, are ignored.
func (r *Registry) applyNotice(n Notice) (newlyLeaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	run := r.lookupOrCreate(n.Instance, n.Service, now)
	before := run.limit.Load()
	own := before != nil && now.Sub(before.answeredAt) < ownPrecedence
	switch n.Kind {
	case KindLimit:
		run.broadcastAt = now
		if !own {
			r.setLimit(n.Instance, run, limit{rate: n.Limit, learnedAt: now})
		}
	case KindLifted:
		if before != nil && !own {
			r.clearLimit(n.Instance, run)
		}
	case KindLeaving:
		return r.setLeaving(n.Instance, run, "another host")
	}
	return false
}

// lookup returns the state of a run, or nil if there is none.
func (r *Registry) lookup(id state.InstanceID) *runState { return (*r.runs.Load())[id] }

// lookupOrCreate returns the state of a run and creates it if there is none; r.mu is held.
func (r *Registry) lookupOrCreate(id state.InstanceID, service string, now time.Time) *runState {
	if run := r.lookup(id); run != nil {
		return run
	}
	runs := maps.Clone(*r.runs.Load())
	if len(runs) >= maxRuns {
		delete(runs, leastRecentlyListed(runs))
	}
	runs[id] = &runState{service: service, listedAt: now}
	r.runs.Store(&runs)
	return runs[id]
}

// leastRecentlyListed returns the run that has not been listed for the longest time.
func leastRecentlyListed(runs map[state.InstanceID]*runState) state.InstanceID {
	var out state.InstanceID
	var at time.Time
	for id, run := range runs {
		if at.IsZero() || run.listedAt.Before(at) {
			out, at = id, run.listedAt
		}
	}
	return out
}

// setLimit stores a limit. A change of the rate is logged and counted; an unchanged rate
// keeps opensAt.
func (r *Registry) setLimit(id state.InstanceID, run *runState, next limit) {
	before := run.limit.Load()
	same := before != nil && before.rate == next.rate
	if same {
		next.opensAt = before.opensAt
	}
	if before != nil && next.answeredAt.IsZero() {
		next.answeredAt = before.answeredAt
	}
	run.limit.Store(&next)
	if same {
		return
	}
	attrs := []any{"instance", id, "service", run.service, "per_second", next.rate, "own_answer", next.answeredAt.Equal(next.learnedAt)}
	if before != nil {
		attrs = append(attrs, "before", before.rate)
	}
	r.o.Log.Info("runner set a limit", attrs...)
	r.o.Observer.ObserveAdvice(run.service, KindLimit)
}

// clearLimit removes a limit that the runner no longer sets.
func (r *Registry) clearLimit(id state.InstanceID, run *runState) {
	before := run.limit.Swap(nil)
	r.o.Log.Info("runner lifted its limit", "instance", id, "service", run.service, "before", before.rate, "heard_last", r.o.Clock.Now().Sub(before.learnedAt))
	r.o.Observer.ObserveAdvice(run.service, KindLifted)
}

// setLeaving marks a run as leaving and reports whether that is new. The mark is never
// removed: a runner that stays after all restarts as a new run.
func (r *Registry) setLeaving(id state.InstanceID, run *runState, source string) bool {
	if run.leaving.Swap(true) {
		return false
	}
	r.o.Log.Info("runner is leaving", "instance", id, "service", run.service, "heard_of", source)
	r.o.Observer.ObserveAdvice(run.service, KindLeaving)
	return true
}

// setBackoff starts a backoff. A later backoff that would end earlier doesn't shorten the
// present one.
func (r *Registry) setBackoff(i *state.Instance, run *runState, now time.Time, backoff time.Duration) {
	until := now.Add(backoff + time.Duration(rand.Float64()*backoffJitter*float64(backoff)))
	before := run.backoffUntil.Load()
	if before != nil && !until.After(*before) {
		return
	}
	run.backoffUntil.Store(&until)
	run.trialUntil.Store(nil)
	run.needsTrial.Store(true)
	r.o.Observer.ObserveAdvice(i.Service, KindBackoff)
	if before == nil || now.After(*before) {
		r.o.Log.Info("runner asked for a backoff", "instance", i.ID, "service", i.Service, "for", backoff)
	}
}

// reportUnreadable counts unreadable fields and logs them at a limited rate.
func (r *Registry) reportUnreadable(i *state.Instance, run *runState, now time.Time, fields []Field) {
	for _, f := range fields {
		r.o.Observer.ObserveAdvice(i.Service, KindUnreadable)
		if run.unreadableLoggedAt.IsZero() || now.Sub(run.unreadableLoggedAt) >= unreadableLogInterval {
			run.unreadableLoggedAt = now
			r.o.Log.Warn("unreadable advice of a runner ignored; earlier advice stays in force, check the runner's version", "instance", i.ID, "service", i.Service, "field", f.Name, "value", f.Value)
		}
	}
}

// UpdateListed takes a new list of instances and removes the runs that have been missing from it for
// longer than unlistedTTL. Its cost grows with the runs that have given advice, not with the list.
func (r *Registry) UpdateListed(listed func(id state.InstanceID) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(*r.runs.Load()) == 0 {
		return
	}
	now := r.o.Clock.Now()
	for id, run := range *r.runs.Load() {
		if listed(id) {
			run.listedAt = now
		}
	}
	runs := maps.Clone(*r.runs.Load())
	maps.DeleteFunc(runs, func(_ state.InstanceID, run *runState) bool { return now.Sub(run.listedAt) > unlistedTTL })
	r.runs.Store(&runs)
}
