package scale

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/state"
)

const (
	// pollEvery is how often the holder compares numbers with the plan; it costs no call.
	pollEvery = 250 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = time.Second
	// settle is how long the number of runners must stand before the first plan: when a
	// deployment starts, its runners list themselves within a heartbeat (1.2 s).
	settle = 1200 * time.Millisecond
	// unknownFor is how long what hangs on the number of runners waits for a need that can't
	// be read from the store.
	unknownFor = 10 * time.Second
	// askAgain is the pause after an order that failed, and dryFor how long a failure domain
	// counts as without spot runners after the platform had none.
	askAgain = time.Second
	dryFor   = 2 * time.Second
	// drainsFor is how long a runner that was ordered to go may still be listed: it drains for some
	// seconds, at times for many.
	drainsFor = 15 * time.Second
	// spotSlack is how many spot runners of a failure domain may be missing or too many for
	// nothing to be ordered: single ones crash and are back by themselves.
	spotSlack = 2
	// lateBoots is how many times the time of a boot ordered runners may take to be listed
	// before others are ordered in their place.
	lateBoots = 2
)

// ErrUnavailable says that there are no runners of the kind to be had at present.
var ErrUnavailable = errors.New("no runners of that kind are to be had there now; order others, or again later")

// Platform takes orders. An order may have been taken although Order returns an error other than
// ErrUnavailable.
type Platform interface {
	// Order asks for a number of runners under the term of that number; permit is asked last
	// before the bytes leave.
	Order(ctx context.Context, term uint64, service string, p Place, desired int, permit func() error) error
}

// Options configure a Manager. All fields are required.
type Options struct {
	Platform Platform
	Lease    *lease.Lease
	Needs    Needs
	Clock    state.Clock
	Log      *slog.Logger
	// Services lists the services whose numbers may be ordered.
	Services func() []state.ServiceSpec
	// Instances lists all of a service's runners, also those that leave.
	Instances func(service string) []state.Instance
	// NeedShare is the number of runners that carry the load, as a share of those that a
	// deployment starts with.
	NeedShare float64
	// QuietUntil is before when no caller comes, as at the first start of a deployment; zero if
	// that isn't known.
	QuietUntil time.Time
}

// Manager orders numbers of runners while it holds the lease. Hold alone uses it, but for
// Resizing.
type Manager struct {
	o        Options
	services map[string]*service
	// resizing is set for services whose number of runners is about to change, for those who
	// ask from elsewhere.
	resizing sync.Map
}

// service is what is known of one service in a term.
type service struct {
	begun time.Time
	// need is the number of runners that carry the load; 0 until it is known. base is what it was
	// worked out from, and keptIn the store's epoch in which that was last known to be kept.
	need   int
	base   int
	keptIn uint64
	// counted is how many runners were listed when last they were counted, since when.
	counted int
	since   time.Time
	// ordered are the numbers ordered in this term, and when.
	ordered    Numbers
	orderedAt  map[Place]time.Time
	repeatedAt map[Place]time.Time
	// drained are the runners that were ordered to drain and may still be listed.
	drained map[Place]drainOrder
	// reclaimed are the places whose runners are being taken back, and were ordered again.
	reclaimed map[Place]bool
	// dryUntil is until when a failure domain counts as without spot runners, and pauseUntil
	// when a place may be ordered for again.
	dryUntil   map[string]time.Time
	pauseUntil map[Place]time.Time
}

func newService(now time.Time) *service {
	return &service{
		begun: now, ordered: Numbers{}, orderedAt: map[Place]time.Time{}, repeatedAt: map[Place]time.Time{},
		drained: map[Place]drainOrder{}, reclaimed: map[Place]bool{}, dryUntil: map[string]time.Time{}, pauseUntil: map[Place]time.Time{},
	}
}

// drainOrder is a number of runners that were ordered to drain; after until they are gone.
type drainOrder struct {
	n     int
	until time.Time
}

// New validates the options.
func New(o Options) (*Manager, error) {
	if o.Platform == nil || o.Lease == nil || o.Needs.Store == nil || o.Clock == nil || o.Log == nil || o.Services == nil || o.Instances == nil || o.NeedShare <= 0 {
		return nil, errors.New("scale: a field of Options is missing; set all of them")
	}
	return &Manager{o: o}, nil
}

// Hold orders numbers for one term of the lease, until ctx ends with it.
func (m *Manager) Hold(ctx context.Context) {
	m.services = map[string]*service{}
	for {
		for _, spec := range m.o.Services() {
			m.serve(ctx, spec)
		}
		if m.o.Clock.Sleep(ctx, pollEvery) != nil {
			return
		}
	}
}

// Resizing reports whether many of a service's runners are about to leave by what this host has
// ordered, or is about to order for the first time in a term.
func (m *Manager) Resizing(service string) bool {
	_, is := m.resizing.Load(service)
	return is
}

// noteResizing notes whether runners that take work are about to leave, or nothing of the plan
// takes work yet. Those that are still to come needn't be waited for.
func (m *Manager) noteResizing(service string, plan, serving Numbers) {
	arrived := false
	for p, n := range serving {
		if n > plan[p]+spotSlack {
			m.resizing.Store(service, true)
			return
		}
		arrived = arrived || (n > 0 && plan[p] > 0)
	}
	if arrived {
		m.resizing.Delete(service)
	}
}

// serve compares one service's numbers with the plan.
func (m *Manager) serve(ctx context.Context, spec state.ServiceSpec) {
	s := m.services[spec.Name]
	if s == nil {
		s = newService(m.o.Clock.Now())
		m.services[spec.Name] = s
		m.resizing.Store(spec.Name, true)
	}
	now := m.o.Clock.Now()
	serving, listed := count(m.o.Instances(spec.Name))
	if !m.known(ctx, spec.Name, s, serving, now) || m.o.Lease.HoldingOff() {
		if now.Sub(s.begun) > unknownFor {
			m.resizing.Delete(spec.Name)
		}
		return
	}
	l := look{spec: spec, plan: s.plan(spec, serving, now), serving: maps.Clone(serving), listed: listed, now: now}
	for _, p := range places(spec.Scale) {
		m.approach(ctx, s, l, p)
	}
	m.noteResizing(spec.Name, l.plan, serving)
}

// plan is the plan for what there is. What can't be had now stays ordered, and is asked for
// again once it may be had.
func (s *service) plan(spec state.ServiceSpec, serving Numbers, now time.Time) Numbers {
	limited := s.limited(serving, spec, now)
	plan := Plan(Wish{Spec: *spec.Scale, Need: s.need, Limited: limited})
	for d := range limited {
		if p := (Place{d, Spot}); plan[p] < s.ordered[p] {
			plan[p] = s.ordered[p]
			s.pauseUntil[p] = later(s.pauseUntil[p], s.dryUntil[d])
		}
	}
	return plan
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// count counts a service's runners by place: those that take work, and all that are listed.
func count(instances []state.Instance) (serving, listed Numbers) {
	serving, listed = Numbers{}, Numbers{}
	for _, i := range instances {
		p := Place{i.FailureDomain, OnDemand}
		if i.Spot {
			p.Kind = Spot
		}
		listed[p]++
		if !i.Draining {
			serving[p]++
		}
	}
	return serving, listed
}

// places are those of a service, spot runners first: what replaces others is ordered before
// they are drained.
func places(s *state.ScaleSpec) []Place {
	domains := byPrice(*s)
	var out []Place
	for _, kind := range kinds {
		for _, d := range domains {
			out = append(out, Place{d, kind})
		}
	}
	return out
}

// known reports whether the service's need is known. The first holder takes it from what the
// deployment starts with, once that has stood for a moment, and keeps it for the others.
func (m *Manager) known(ctx context.Context, name string, s *service, serving Numbers, now time.Time) bool {
	if s.need > 0 {
		m.keepAgain(ctx, name, s)
		return true
	}
	if n := serving.total(); n == 0 || n != s.counted {
		s.counted, s.since = n, now
		return false
	}
	if now.Sub(s.since) < settle {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	base, err := m.o.Needs.First(ctx, name, s.counted)
	if err != nil {
		m.o.Log.Warn("number of runners at the start not read; tried again", "service", name, "cause", err.Error())
		s.since = now
		return false
	}
	s.base, s.keptIn = base, m.o.Lease.Epoch()
	s.need = max(1, int(m.o.NeedShare*float64(base)+0.5))
	m.o.Log.Info("need of a new term", "service", name, "need", s.need, "at_start", base, "listed", s.counted)
	return true
}

// keepAgain keeps the number at the start again once the store was restored from an older copy.
func (m *Manager) keepAgain(ctx context.Context, name string, s *service) {
	epoch := m.o.Lease.Epoch()
	if epoch <= s.keptIn {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := m.o.Needs.First(ctx, name, s.base); err != nil {
		m.o.Log.Warn("number of runners at the start not kept again; tried again", "service", name, "cause", err.Error())
		return
	}
	s.keptIn = epoch
}

// limited bounds the spot runners of failure domains where no more are to be had.
func (s *service) limited(serving Numbers, spec state.ServiceSpec, now time.Time) map[string]int {
	out := map[string]int{}
	for d := range spec.Scale.DomainPrices {
		p := Place{d, Spot}
		late := s.ordered[p] > serving[p] && now.Sub(s.orderedAt[p]) > lateBoots*spec.Scale.Boot
		if now.Before(s.dryUntil[d]) || late {
			out[d] = serving[p]
		}
	}
	return out
}
