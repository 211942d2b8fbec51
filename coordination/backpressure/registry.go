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
	// keepUnlisted is how long what a run asked is kept once the list lacks it: entries of
	// living runners are missing for some seconds around an outage of the store.
	keepUnlisted = time.Minute
	// mostRuns bounds the runs that are kept: twice the largest fleet, for a release that
	// replaces all of it.
	mostRuns = 4096
	// tellEvery bounds how often a host tells the others of one run's limit, and renewEvery is
	// how often what holds on is told again, to hosts that start or missed it.
	tellEvery  = 250 * time.Millisecond
	renewEvery = 2 * time.Second
	// ownWord is how long this host's own hearing of a limit outweighs the others' word:
	// about the time in which they come to it.
	ownWord = 300 * time.Millisecond
	// restSpread is the part of a rest by which it is taken longer at most, so that hosts that
	// were turned away together don't come back together.
	restSpread = 0.1
	// trialFor is how long the first request after a rest keeps the runner from others of this
	// host, if it isn't answered before.
	trialFor = 250 * time.Millisecond
	// unreadableEvery bounds the log lines on what a run writes and nobody can read.
	unreadableEvery = 10 * time.Second
)

// Observer counts advices.
type Observer interface {
	ObserveAdvice(service string, k Kind)
}

// Notice is what a run asks of all hosts, told by one that heard it.
type Notice struct {
	Instance state.InstanceID
	Service  string
	// Kind is KindLimit, with the limit, KindLifted or KindLeaving.
	Kind  Kind
	Limit float64
}

// Options configure a Registry. All fields are required.
type Options struct {
	Clock    state.Clock
	Log      *slog.Logger
	Observer Observer
	// Broadcast tells all hosts; this one may hear it too. It must not wait.
	Broadcast func(Notice)
	// OnLeaving is called when it becomes known that a run leaves. It may ask the registry.
	OnLeaving func()
}

// Registry is what this host knows of the runners' advices. It is safe for concurrent use, and
// reading it takes no lock.
type Registry struct {
	o Options

	mu sync.Mutex // held by writers
	// runs has the runs that ever asked something; it is replaced whole.
	runs atomic.Pointer[map[state.InstanceID]*run]
}

// run is what one run of a runner has asked. Its fields are replaced under the registry's lock.
type run struct {
	service string
	limit   atomic.Pointer[limit]
	// restUntil is zero if none was asked for.
	restUntil atomic.Pointer[time.Time]
	// unproven is set from a rest on until a request sent after it was taken; trialUntil is
	// while one of this host is on its way to find out.
	unproven   atomic.Bool
	trialUntil atomic.Pointer[time.Time]
	leaving    atomic.Bool

	// listedAt is when the run was known to be listed, toldAt when all hosts were told of its
	// limit and unreadableAt when it last wrote what can't be read.
	listedAt, toldAt, unreadableAt time.Time
}

// limit is what a run takes of all hosts together.
type limit struct {
	rate float64
	// heardAt is when it was last heard of, and ownAt when an answer to this host last named
	// it.
	heardAt, ownAt time.Time
	// opensAt is when the next request of this host may leave; zero if one may at once.
	opensAt time.Time
}

// New validates the options.
func New(o Options) (*Registry, error) {
	if o.Clock == nil || o.Log == nil || o.Observer == nil || o.Broadcast == nil || o.OnLeaving == nil {
		return nil, errors.New("backpressure: a field of Options is nil; set all of them")
	}
	r := &Registry{o: o}
	r.runs.Store(&map[state.InstanceID]*run{})
	return r, nil
}

// Record takes what an answer of a run asks. sentAt is when its request left this host. An
// answer to a call of the system's own that names no limit doesn't lift one: only requests are
// what a limit counts.
func (r *Registry) Record(i *state.Instance, sentAt time.Time, a Advice, ofRequest bool) {
	if !a.asks() && r.run(i.ID) == nil {
		return
	}
	left := false
	for _, n := range r.heard(i, sentAt, a, ofRequest) {
		r.o.Broadcast(n)
		left = left || n.Kind == KindLeaving
	}
	if left {
		r.o.OnLeaving()
	}
}

// heard takes an advice and returns what all hosts are to be told.
func (r *Registry) heard(i *state.Instance, sentAt time.Time, a Advice, ofRequest bool) (tell []Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	known := r.entry(i.ID, i.Service, now)
	before := known.limit.Load()
	switch {
	case a.Limited:
		r.limited(i.ID, known, limit{rate: a.Limit, heardAt: now, ownAt: now})
		if known.mayTell(now, before == nil || before.rate != a.Limit) {
			tell = append(tell, Notice{i.ID, i.Service, KindLimit, a.Limit})
		}
	case ofRequest && len(a.Unreadable) == 0 && before != nil && sentAt.After(before.heardAt):
		// Answers overtake each other: only one that was asked for after the limit was last
		// heard of is known to be newer.
		r.lift(i.ID, known)
		tell = append(tell, Notice{i.ID, i.Service, KindLifted, 0})
	}
	if a.Leaving && r.leaves(i.ID, known, "an answer") {
		tell = append(tell, Notice{i.ID, i.Service, KindLeaving, 0})
	}
	switch until := known.restUntil.Load(); {
	case a.Backoff > 0:
		r.rests(i, known, now, a.Backoff)
	case ofRequest && until != nil && sentAt.After(*until):
		known.unproven.Store(false)
	}
	r.unreadable(i, known, now, a.Unreadable)
	return tell
}

// mayTell reports whether all hosts should be told of the limit now.
func (k *run) mayTell(now time.Time, changed bool) bool {
	wait := renewEvery
	if changed {
		wait = tellEvery
	}
	if !k.toldAt.IsZero() && now.Sub(k.toldAt) < wait {
		return false
	}
	k.toldAt = now
	return true
}

// HandleNotice takes what another host heard. What this one has just heard itself goes before it.
func (r *Registry) HandleNotice(n Notice) {
	if r.take(n) {
		r.o.OnLeaving()
	}
}

// take takes a notice and reports whether it is news that the run leaves.
func (r *Registry) take(n Notice) (left bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	known := r.entry(n.Instance, n.Service, now)
	before := known.limit.Load()
	own := before != nil && now.Sub(before.ownAt) < ownWord
	switch n.Kind {
	case KindLimit:
		known.toldAt = now
		if !own {
			r.limited(n.Instance, known, limit{rate: n.Limit, heardAt: now})
		}
	case KindLifted:
		if before != nil && !own {
			r.lift(n.Instance, known)
		}
	case KindLeaving:
		return r.leaves(n.Instance, known, "another host")
	}
	return false
}

// run is what is known of a run, or nil.
func (r *Registry) run(id state.InstanceID) *run { return (*r.runs.Load())[id] }

// entry is what is known of a run, made if nothing is; r.mu is held.
func (r *Registry) entry(id state.InstanceID, service string, now time.Time) *run {
	if known := r.run(id); known != nil {
		return known
	}
	runs := maps.Clone(*r.runs.Load())
	if len(runs) >= mostRuns {
		delete(runs, oldest(runs))
	}
	runs[id] = &run{service: service, listedAt: now}
	r.runs.Store(&runs)
	return runs[id]
}

// oldest is the run that was listed last the longest time ago.
func oldest(runs map[state.InstanceID]*run) state.InstanceID {
	var out state.InstanceID
	var at time.Time
	for id, known := range runs {
		if at.IsZero() || known.listedAt.Before(at) {
			out, at = id, known.listedAt
		}
	}
	return out
}

// limited notes a limit.
func (r *Registry) limited(id state.InstanceID, known *run, named limit) {
	before := known.limit.Load()
	same := before != nil && before.rate == named.rate
	if same {
		named.opensAt = before.opensAt
	}
	if before != nil && named.ownAt.IsZero() {
		named.ownAt = before.ownAt
	}
	known.limit.Store(&named)
	if same {
		return
	}
	attrs := []any{"instance", id, "service", known.service, "per_second", named.rate, "own_answer", named.ownAt.Equal(named.heardAt)}
	if before != nil {
		attrs = append(attrs, "before", before.rate)
	}
	r.o.Log.Info("runner names a limit", attrs...)
	r.o.Observer.ObserveAdvice(known.service, KindLimit)
}

// lift ends a limit that isn't named any more.
func (r *Registry) lift(id state.InstanceID, known *run) {
	before := known.limit.Swap(nil)
	r.o.Log.Info("runner names no limit any more", "instance", id, "service", known.service, "before", before.rate, "heard_last", r.o.Clock.Now().Sub(before.heardAt))
	r.o.Observer.ObserveAdvice(known.service, KindLifted)
}

// leaves notes that a run leaves, and reports whether that is news. It has no way back: a
// runner that stays starts again.
func (r *Registry) leaves(id state.InstanceID, known *run, by string) bool {
	if known.leaving.Swap(true) {
		return false
	}
	r.o.Log.Info("runner says that it leaves", "instance", id, "service", known.service, "heard_of", by)
	r.o.Observer.ObserveAdvice(known.service, KindLeaving)
	return true
}

// rests notes a rest. A later, shorter one doesn't shorten what was asked before.
func (r *Registry) rests(i *state.Instance, known *run, now time.Time, rest time.Duration) {
	until := now.Add(rest + time.Duration(rand.Float64()*restSpread*float64(rest)))
	before := known.restUntil.Load()
	if before != nil && !until.After(*before) {
		return
	}
	known.restUntil.Store(&until)
	known.trialUntil.Store(nil)
	known.unproven.Store(true)
	r.o.Observer.ObserveAdvice(i.Service, KindBackoff)
	if before == nil || now.After(*before) {
		r.o.Log.Info("runner asks for rest", "instance", i.ID, "service", i.Service, "for", rest)
	}
}

func (r *Registry) unreadable(i *state.Instance, known *run, now time.Time, fields []Field) {
	for _, f := range fields {
		r.o.Observer.ObserveAdvice(i.Service, KindUnreadable)
		if known.unreadableAt.IsZero() || now.Sub(known.unreadableAt) >= unreadableEvery {
			known.unreadableAt = now
			r.o.Log.Warn("advice of a runner not readable; what was known of it holds, see its version", "instance", i.ID, "service", i.Service, "field", f.Name, "value", f.Value)
		}
	}
}

// UpdateListed takes the runs of the present list, and forgets those that it has lacked for long.
func (r *Registry) UpdateListed(list []state.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(*r.runs.Load()) == 0 {
		return
	}
	now := r.o.Clock.Now()
	for i := range list {
		if known := r.run(list[i].ID); known != nil {
			known.listedAt = now
		}
	}
	runs := maps.Clone(*r.runs.Load())
	maps.DeleteFunc(runs, func(_ state.InstanceID, known *run) bool { return now.Sub(known.listedAt) > keepUnlisted })
	r.runs.Store(&runs)
}
