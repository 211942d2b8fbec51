package replay

import (
	"container/list"
	"errors"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/route"
	"github.com/thymerack/thymerack/state"
)

// Model is the time model of an engine: continuous batching, with a chunk of
// prompts computed beside each decode step. It is that of standin/engine, with
// one addition: MixedSlowdown.
type Model struct {
	PrefillTokensPerSecond float64
	ChunkTokens            int
	StepBase, StepPerSeq   time.Duration
	MaxBatch               int
	// RoleSlowdown divides the speed of the work that isn't the role's own.
	RoleSlowdown float64
	// MixedSlowdown divides the speeds of an engine that does both; an
	// assumption, 1 for none.
	MixedSlowdown float64
	// SlowFactor is by how much a slow engine is slower than it reports.
	SlowFactor  float64
	CacheTokens int
	// TransferTokensPerSecond is the speed of KV transfers.
	TransferTokensPerSecond float64
	// RoleChange is how long a change of role takes once the engine is empty.
	RoleChange time.Duration
	// ReportEvery and ReportLag are the period and age of load reports.
	ReportEvery, ReportLag time.Duration
	// CacheEventLag is the age of cache events when they are told.
	CacheEventLag time.Duration
}

// DefaultModel returns the constants of standin/engine.
func DefaultModel() Model {
	return Model{
		PrefillTokensPerSecond: 8000, ChunkTokens: 512,
		StepBase: 12 * time.Millisecond, StepPerSeq: 400 * time.Microsecond, MaxBatch: 32,
		RoleSlowdown: 4, MixedSlowdown: 1.15, SlowFactor: 3,
		CacheTokens: 200_000, TransferTokensPerSecond: 76_000,
		RoleChange: 3 * time.Second, ReportEvery: 500 * time.Millisecond, ReportLag: time.Second,
		CacheEventLag: time.Second,
	}
}

// errLost says that the engine is gone.
var errLost = errors.New("the engine was lost; try another")

// sequence is one request at an engine.
type sequence struct {
	prefixes []uint64
	// pending are prompt tokens to compute, left are tokens to give.
	pending, left int
	priority      int
	prefillOnly   bool
	imported      bool
	started       bool
	token         func()
	done          func()
	failed        func(error)
	over          bool
}

// engine is a fake engine.
type engine struct {
	loop   *loop
	model  *Model
	name   string
	domain string
	runs   int // the incarnation

	target   state.Target
	lost     bool
	slow     bool
	changing bool
	stepping bool
	waiting  []*sequence
	ready    []*sequence
	running  []*sequence
	cache    *prefixCache
	// cacheEvents were not told yet; cacheCleared means that a gap precedes them.
	cacheEvents  []route.CacheEvent
	cacheCleared bool
}

func newEngine(l *loop, m *Model, name, domain string, t state.Target) *engine {
	e := &engine{loop: l, model: m, name: name, domain: domain, target: t}
	e.clearCache()
	return e
}

// clearCache empties the cache, as a new run or role does.
func (e *engine) clearCache() {
	e.cache = newPrefixCache(e.model.CacheTokens/blockTokens, func(prefix uint64, number int, evicted bool) {
		e.cacheEvents = append(e.cacheEvents, route.CacheEvent{Prefix: prefix, Blocks: number, Evicted: evicted})
	})
	e.cacheCleared = true
	e.cacheEvents = nil
}

// submit accepts a sequence, or returns errLost.
func (e *engine) submit(s *sequence) error {
	if e.lost || e.changing {
		return errLost
	}
	e.waiting = insert(e.waiting, s)
	e.step()
	return nil
}

// insert keeps the list in order of priority, equal ones in order of arrival.
func insert(list []*sequence, s *sequence) []*sequence {
	at, _ := slices.BinarySearchFunc(list, s.priority, func(o *sequence, p int) int {
		if o.priority >= p {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, s)
}

// cancel drops a sequence without telling its caller.
func (e *engine) cancel(s *sequence) {
	s.over = true
	e.forget(s)
}

func (e *engine) forget(s *sequence) {
	drop := func(list []*sequence) []*sequence {
		if i := slices.Index(list, s); i >= 0 {
			return slices.Delete(list, i, i+1)
		}
		return list
	}
	e.waiting, e.ready, e.running = drop(e.waiting), drop(e.ready), drop(e.running)
}

// portion is the part of a step that computes a prompt.
type portion struct {
	seq    *sequence
	tokens int
}

// step starts the next pass if none is under way and there is work.
func (e *engine) step() {
	if e.stepping || e.lost || e.changing {
		return
	}
	for len(e.running) < e.model.MaxBatch && len(e.ready) > 0 {
		e.running = append(e.running, e.ready[0])
		e.ready = slices.Delete(e.ready, 0, 1)
	}
	prefill, computed := e.planPrefill()
	decode := slices.Clone(e.running)
	if len(prefill)+len(decode) == 0 {
		return
	}
	e.stepping = true
	runs := e.runs
	e.loop.after(e.duration(computed, len(decode)), func() {
		if e.runs == runs {
			e.finish(prefill, decode)
		}
	})
}

// planPrefill chooses the prompt tokens of the next pass.
func (e *engine) planPrefill() ([]portion, int) {
	var out []portion
	room := e.model.ChunkTokens
	places := e.model.MaxBatch - len(e.running) - len(e.ready)
	for _, s := range e.waiting {
		if room == 0 {
			break
		}
		if !s.prefillOnly {
			if places <= 0 {
				continue
			}
			places--
		}
		e.begin(s)
		n := min(room, s.pending)
		room -= n
		out = append(out, portion{s, n})
	}
	return out, e.model.ChunkTokens - room
}

// begin takes the cached tokens off a prompt, once; one token is always computed.
func (e *engine) begin(s *sequence) {
	if s.started {
		return
	}
	s.started = true
	cached := e.cache.cached(s.prefixes)
	if s.imported {
		cached = s.pending
	}
	s.pending = max(1, s.pending-cached)
}

// speeds are the prefill tokens a second and the seconds of a decode step.
func (e *engine) speeds(batch int) (prefill, step float64) {
	m := e.model
	prefill = m.PrefillTokensPerSecond
	step = (m.StepBase + time.Duration(batch)*m.StepPerSeq).Seconds()
	switch e.target.Role {
	case state.RoleDecode:
		prefill /= m.RoleSlowdown
	case state.RolePrefill:
		step *= m.RoleSlowdown
	default:
		prefill /= m.MixedSlowdown
		step *= m.MixedSlowdown
	}
	return prefill, step
}

func (e *engine) duration(tokens, batch int) time.Duration {
	prefill, step := e.speeds(batch)
	seconds := float64(tokens) / prefill
	if batch > 0 {
		seconds += step
	}
	if e.slow {
		seconds *= e.model.SlowFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

func (e *engine) finish(prefill []portion, decode []*sequence) {
	e.stepping = false
	for _, s := range decode {
		if !s.over {
			e.produce(s)
		}
	}
	for _, p := range prefill {
		if !p.seq.over {
			e.computed(p)
		}
	}
	e.step()
}

func (e *engine) computed(p portion) {
	s := p.seq
	s.pending -= p.tokens
	if s.pending > 0 {
		return
	}
	e.cache.add(s.prefixes)
	e.forget(s)
	if s.prefillOnly {
		s.over = true
		s.done()
		return
	}
	e.ready = insert(e.ready, s)
	e.produce(s)
}

func (e *engine) produce(s *sequence) {
	s.left--
	s.token()
	if s.left <= 0 && !s.over {
		s.over = true
		e.forget(s)
		s.done()
	}
}

// lose ends the engine with all that it has.
func (e *engine) lose() {
	e.lost = true
	e.runs++
	e.stepping = false
	all := slices.Concat(e.waiting, e.ready, e.running)
	e.waiting, e.ready, e.running = nil, nil, nil
	e.clearCache()
	for _, s := range all {
		s.over = true
		s.failed(errLost)
	}
}

// restart brings a lost engine back.
func (e *engine) restart() { e.lost = false }

// change carries out an order and calls settled; the engine must be empty.
func (e *engine) change(t state.Target, settled func()) {
	e.changing = true
	e.loop.after(e.model.RoleChange, func() {
		e.changing = false
		e.target = t
		e.clearCache()
		settled()
	})
}

// report is the load at this moment.
func (e *engine) report() state.LoadReport {
	prefill, step := e.speeds(len(e.running))
	r := state.LoadReport{
		Engine: e.name, Incarnation: e.incarnation(), TakenAt: e.loop.Now(), Shown: e.target, Changing: e.changing,
		DecodeRunning: int64(len(e.running)), PrefillTokensPerSecond: prefill, DecodeStepMillis: step * 1000,
	}
	for _, s := range slices.Concat(e.waiting, e.ready, e.running) {
		r.PrefillBacklogTokens += int64(s.pending)
		r.DecodeBacklogTokens += int64(s.left)
	}
	return r
}

func (e *engine) incarnation() string { return string(rune('a' + e.runs)) }

// prefixCache is an engine's cache of prompt blocks, least recently used out.
type prefixCache struct {
	capacity int
	// notify is told of every change; optional.
	notify func(prefix uint64, block int, evicted bool)
	recent *list.List
	blocks map[uint64]*list.Element
}

// block is a cached block, named by the prefix that it ends, number blocks long.
type block struct {
	prefix uint64
	number int
}

func newPrefixCache(blocks int, notify func(uint64, int, bool)) *prefixCache {
	return &prefixCache{capacity: blocks, recent: list.New(), blocks: map[uint64]*list.Element{}, notify: notify}
}

// cached returns how many leading tokens are cached and marks them used.
func (c *prefixCache) cached(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && c.blocks[prefixes[n]] != nil {
		n++
	}
	c.touch(prefixes[:n])
	return n * blockTokens
}

// touch marks blocks used, the longest prefix first.
func (c *prefixCache) touch(prefixes []uint64) {
	for _, p := range slices.Backward(prefixes) {
		c.recent.MoveToFront(c.blocks[p])
	}
}

func (c *prefixCache) add(prefixes []uint64) {
	for i, p := range prefixes {
		if c.blocks[p] == nil {
			c.blocks[p] = c.recent.PushFront(block{p, i + 1})
			c.notify(p, i+1, false)
		}
	}
	c.touch(prefixes)
	for c.recent.Len() > c.capacity {
		b := c.recent.Remove(c.recent.Back()).(block)
		delete(c.blocks, b.prefix)
		c.notify(b.prefix, b.number, true)
	}
}
