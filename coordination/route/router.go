package route

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Bounds of one choice.
const (
	// SmallServiceRunners is the largest service whose runners are all compared.
	SmallServiceRunners = 16
	// sampledRunners is how many runners of a large service are drawn.
	sampledRunners = 2
	// maxHolders is how many holders of the prompt's prefix are compared.
	maxHolders = 8
	// maxCandidates bounds the candidates of one choice.
	maxCandidates = SmallServiceRunners + maxHolders + sampledRunners + 1
)

// Breakers tells which upstreams' circuit breakers let a request through.
type Breakers interface {
	// Ready reports whether a request may be sent to the upstream now.
	Ready(upstream string) bool
}

// Options configure a Router. Zero values stand for the defaults.
type Options struct {
	// Clock is required.
	Clock state.Clock
	// Seed makes sampling repeatable.
	Seed uint64
	// Breakers is optional.
	Breakers Breakers
	// BackoffUntil is the end of the rest that a runner asked for; zero if it wants none.
	// Optional.
	BackoffUntil func(r *snapshot.Runner) time.Time
	// Scorers are added to the built-in ones, for example an operator's policy.
	Scorers []Scorer
	// PrefixIndexEntries bounds the index of prompt prefixes; default 32768.
	PrefixIndexEntries int
	// CrossDomainPenalty is added for a runner of another failure domain; default 3 ms.
	CrossDomainPenalty time.Duration
	// LoadBound limits how far above the candidates' mean backlog an engine may
	// be and still be preferred for its cached prefix; default 1.5.
	LoadBound float64
	// DelayWeight is how much a second of delay to another request counts next
	// to one of this request; default 0.3.
	DelayWeight float64
	// DefaultSpeeds are the speeds assumed of an engine that never reported.
	DefaultSpeeds Speeds
	// RetryAfter is told when no runner can be chosen; default 2 s.
	RetryAfter time.Duration
}

// Router chooses runners. It is safe for concurrent use.
type Router struct {
	clock          state.Clock
	engineScorers  []Scorer
	serviceScorers []Scorer
	breakerFilter  breakerReady
	backoffFilter  notBackingOff
	retryAfter     time.Duration
	defaultSpeeds  Speeds
	draws          atomic.Uint64
	seed           uint64
	prefixes       *prefixIndex
	index          sharedIndex
	scratch        sync.Pool
}

// New returns a router, or an error that names the wrong option.
func New(o Options) (*Router, error) {
	if o.Clock == nil {
		return nil, fmt.Errorf("route: Options.Clock is nil; pass a state.Clock")
	}
	if o.PrefixIndexEntries < 0 || o.LoadBound < 0 || o.CrossDomainPenalty < 0 {
		return nil, fmt.Errorf("route: a negative option; leave PrefixIndexEntries, LoadBound and CrossDomainPenalty zero for the defaults")
	}
	o.setDefaults()
	r := &Router{
		clock: o.Clock, seed: o.Seed, breakerFilter: breakerReady{o.Breakers}, backoffFilter: notBackingOff{o.BackoffUntil}, retryAfter: o.RetryAfter,
		defaultSpeeds: o.DefaultSpeeds, prefixes: newPrefixIndex(o.PrefixIndexEntries),
	}
	r.engineScorers = append([]Scorer{cachedPrefix{o.LoadBound}, predictedTime{}, delayToOthers{o.DelayWeight}, nearDomain{o.CrossDomainPenalty}}, o.Scorers...)
	r.serviceScorers = append([]Scorer{leastInFlight{}, nearDomain{o.CrossDomainPenalty}}, o.Scorers...)
	r.scratch.New = func() any { return &scratch{} }
	return r, nil
}

func (o *Options) setDefaults() {
	if o.PrefixIndexEntries == 0 {
		o.PrefixIndexEntries = 1 << 15
	}
	if o.CrossDomainPenalty == 0 {
		o.CrossDomainPenalty = 3 * time.Millisecond
	}
	if o.LoadBound == 0 {
		o.LoadBound = 1.5
	}
	if o.DelayWeight == 0 {
		o.DelayWeight = 0.3
	}
	if o.RetryAfter == 0 {
		o.RetryAfter = 2 * time.Second
	}
	o.DefaultSpeeds = o.DefaultSpeeds.withDefaults()
}

// scratch is the working memory of one Pick.
type scratch struct {
	candidates [maxCandidates]Candidate
	matches    [maxHolders]prefixMatch
}

// Pick chooses a runner, or returns a *NoRunnerError. It allocates nothing
// unless q.Explain is set.
func (r *Router) Pick(v *snapshot.View, q *Query) (Choice, error) {
	now := r.clock.Now()
	all := v.RunnersOf(q.Service)
	if len(all) == 0 {
		return Choice{}, &NoRunnerError{q.Service, ReasonUnknownService, r.retryAfter}
	}
	s := r.scratch.Get().(*scratch)
	defer r.scratch.Put(s)
	x := r.indexFor(v, now)
	matches := r.prefixes.findHolders(q, s.matches[:0])
	cs := r.gatherCandidates(v, x, q, all, matches, s.candidates[:0])
	if len(cs) == 0 {
		x = r.rebuild(v, now)
		cs = r.gatherCandidates(v, x, q, all, matches, s.candidates[:0])
	}
	if len(cs) == 0 {
		return r.noRunner(q, all)
	}
	r.scoreCandidates(cs, q, now, all[0].Kind)
	best := r.best(cs)
	return r.newChoice(cs, best, q, all, now), nil
}

// best scores the candidates and returns the position of the lowest score. Ties
// go to a random candidate.
func (r *Router) best(cs []Candidate) int {
	offset := int(r.draw() % uint64(len(cs)))
	best := offset
	for j := offset + 1; j < len(cs); j++ {
		if cs[j].Score < cs[best].Score {
			best = j
		}
	}
	for j := range offset {
		if cs[j].Score < cs[best].Score {
			best = j
		}
	}
	return best
}

// draw returns the next number of the sampling sequence (splitmix64).
func (r *Router) draw() uint64 {
	x := r.seed + r.draws.Add(1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func (r *Router) newChoice(cs []Candidate, best int, q *Query, all []*snapshot.Runner, now time.Time) Choice {
	c := &cs[best]
	out := Choice{
		Runner: c.Runner, FirstToken: c.FirstToken, Finish: c.Finish,
		CachedTokens: c.CachedTokens, Score: c.Score, Why: whyChosen(cs, c),
	}
	if q.Explain {
		out.Candidates = r.explain(cs, q, all, now)
	}
	return out
}

func whyChosen(cs []Candidate, c *Candidate) string {
	switch {
	case len(cs) == 1:
		return "it is the only candidate"
	case c.Runner.Kind == state.KindService:
		return "it has the fewest requests in flight, nearer failure domains preferred"
	case c.CachedTokens > 0:
		return "it has the lowest predicted time, with part of the prompt in its cache"
	default:
		return "it has the lowest predicted time"
	}
}
