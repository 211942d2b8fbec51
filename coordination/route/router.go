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
	// SmallServiceRunners is the largest number of runners of a service that are
	// all compared.
	SmallServiceRunners = 16
	// sampledRunners is how many runners of a larger service are sampled.
	sampledRunners = 2
	// maxHolders is how many holders are kept per prefix, and how many holders of
	// the prompt's prefixes are compared.
	maxHolders = 8
	// maxCandidates bounds the candidates of one choice: the runners of a small
	// service, or the holders, the sampled runners and the affinity engine of
	// a larger one.
	maxCandidates = SmallServiceRunners + maxHolders + sampledRunners + 1
)

// Breakers holds the circuit breakers of the upstreams.
type Breakers interface {
	// Ready reports whether a request may be sent to the upstream now.
	Ready(upstream string) bool
}

// Options configures a Router. Zero values select the defaults.
type Options struct {
	// Clock is required.
	Clock state.Clock
	// Seed makes the sampling of runners repeatable.
	Seed uint64
	// Breakers is optional; without it no runner is removed by a breaker.
	Breakers Breakers
	// BackoffUntil returns when the backoff ends that a runner has asked for,
	// during which it must get no new requests; zero if it isn't backing off.
	// Optional.
	BackoffUntil func(r *snapshot.Runner) time.Time
	// Scorers run after the built-in ones, for example an operator's policies.
	Scorers []Scorer
	// PrefixIndexEntries bounds the index of prompt prefixes; default 32768.
	PrefixIndexEntries int
	// CrossDomainPenalty is added to the score of runners in another failure
	// domain than the query's; default 3 ms.
	CrossDomainPenalty time.Duration
	// LoadBound is the multiple of the candidates' mean backlog above which an
	// engine is no longer preferred for its cached prefix; default 1.5.
	LoadBound float64
	// DelayWeight is the weight of a second by which other requests are delayed,
	// relative to a second of this request; default 0.3.
	DelayWeight float64
	// DefaultSpeeds are assumed for an engine that hasn't reported any.
	DefaultSpeeds Speeds
	// RetryAfter is set in a NoRunnerError unless the end of a runner's backoff
	// is known; default 2 s.
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
	draws          atomic.Uint64 // how many random numbers were drawn
	seed           uint64
	prefixes       *prefixIndex
	index          sharedIndex
	scratch        sync.Pool
}

// New returns a router, or an error that names the invalid option.
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

// scratch is the pooled working memory of one Pick.
type scratch struct {
	candidates [maxCandidates]Candidate
	matches    [maxHolders]prefixMatch
}

// Pick chooses a runner for q from the view. It returns a *NoRunnerError if no
// runner passes the filters. It allocates nothing unless q.Explain is set.
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

// best returns the position of the candidate with the lowest score. The scan starts
// at a random position, so that ties are spread over the candidates.
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

// draw returns the next number of the pseudorandom sequence (splitmix64).
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

// whyChosen returns the reason of a choice for operators.
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
