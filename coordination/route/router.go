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
	// SmallFleet is the largest service whose runners are all compared.
	SmallFleet = 16
	// sampled is how many runners of a large service are drawn.
	sampled = 2
	// maxHolders is how many holders of the prompt's prefix are compared.
	maxHolders = 8
	// maxCandidates bounds the candidates of one choice.
	maxCandidates = SmallFleet + maxHolders + sampled + 1
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
	// CacheEntries bounds the index of prompt prefixes; default 32768.
	CacheEntries int
	// FarPenalty is added for a runner of another failure domain; default 3 ms.
	FarPenalty time.Duration
	// LoadBound limits how far above the candidates' mean backlog an engine may
	// be and still be preferred for its cached prefix; default 1.5.
	LoadBound float64
	// DelayShare is how much a second of delay to another request counts next
	// to one of this request; default 0.3.
	DelayShare float64
	// Defaults are the speeds assumed of an engine that never reported.
	Defaults Speeds
	// RetryAfter is told when no runner can be chosen; default 2 s.
	RetryAfter time.Duration
}

// Router chooses runners. It is safe for concurrent use.
type Router struct {
	clock    state.Clock
	engine   []Scorer
	service  []Scorer
	breaker  breakerReady
	awake    awake
	retry    time.Duration
	defaults Speeds
	draws    atomic.Uint64
	seed     uint64
	cache    *cacheIndex
	index    indexHolder
	scratch  sync.Pool
}

// New returns a router, or an error that names the wrong option.
func New(o Options) (*Router, error) {
	if o.Clock == nil {
		return nil, fmt.Errorf("route: Options.Clock is nil; pass a state.Clock")
	}
	if o.CacheEntries < 0 || o.LoadBound < 0 || o.FarPenalty < 0 {
		return nil, fmt.Errorf("route: a negative option; leave CacheEntries, LoadBound and FarPenalty zero for the defaults")
	}
	o.setDefaults()
	r := &Router{
		clock: o.Clock, seed: o.Seed, breaker: breakerReady{o.Breakers}, awake: awake{o.BackoffUntil}, retry: o.RetryAfter,
		defaults: o.Defaults, cache: newCacheIndex(o.CacheEntries),
	}
	r.engine = append([]Scorer{cachedPrefix{o.LoadBound}, predictedTime{}, considerate{o.DelayShare}, nearDomain{o.FarPenalty}}, o.Scorers...)
	r.service = append([]Scorer{leastInFlight{}, nearDomain{o.FarPenalty}}, o.Scorers...)
	r.scratch.New = func() any { return &scratch{} }
	return r, nil
}

func (o *Options) setDefaults() {
	if o.CacheEntries == 0 {
		o.CacheEntries = 1 << 15
	}
	if o.FarPenalty == 0 {
		o.FarPenalty = 3 * time.Millisecond
	}
	if o.LoadBound == 0 {
		o.LoadBound = 1.5
	}
	if o.DelayShare == 0 {
		o.DelayShare = 0.3
	}
	if o.RetryAfter == 0 {
		o.RetryAfter = 2 * time.Second
	}
	o.Defaults = o.Defaults.orDefault()
}

// scratch is the working memory of one Pick.
type scratch struct {
	candidates [maxCandidates]Candidate
	holders    [maxHolders]holding
}

// Pick chooses a runner, or returns a *NoRunnerError. It allocates nothing
// unless q.Explain is set.
func (r *Router) Pick(v *snapshot.View, q *Query) (Choice, error) {
	now := r.clock.Now()
	all := v.RunnersOf(q.Service)
	if len(all) == 0 {
		return Choice{}, &NoRunnerError{q.Service, ReasonUnknownService, r.retry}
	}
	s := r.scratch.Get().(*scratch)
	defer r.scratch.Put(s)
	x := r.indexFor(v, now)
	holders := r.cache.find(q, s.holders[:0])
	cs := r.gather(v, x, q, all, holders, s.candidates[:0])
	if len(cs) == 0 {
		x = r.rebuild(v, now)
		cs = r.gather(v, x, q, all, holders, s.candidates[:0])
	}
	if len(cs) == 0 {
		return r.none(q, all)
	}
	r.predict(cs, q, now, all[0].Kind)
	best := r.best(cs)
	return r.choice(cs, best, q, all, now), nil
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

func (r *Router) choice(cs []Candidate, best int, q *Query, all []*snapshot.Runner, now time.Time) Choice {
	c := &cs[best]
	out := Choice{
		Runner: c.Runner, FirstToken: c.FirstToken, Finish: c.Finish,
		CachedTokens: c.CachedTokens, Score: c.Score, Why: why(cs, c),
	}
	if q.Explain {
		out.Candidates = r.explain(cs, q, all, now)
	}
	return out
}

func why(cs []Candidate, c *Candidate) string {
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
