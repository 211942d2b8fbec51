package engine

import (
	"context"
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// portion is the part of a step that computes a prompt.
type portion struct {
	seq    *Sequence
	tokens int
}

// step is one pass of the engine: some prompt tokens and one token for every
// sequence of the batch.
type step struct {
	prefill  []portion
	decode   []*Sequence
	duration time.Duration
}

// Run computes steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		next, wake := e.plan()
		if wake != nil {
			select {
			case <-wake:
			case <-ctx.Done():
			}
			continue
		}
		sleep(ctx, next.duration)
		e.finish(next)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// plan chooses the next step. With nothing to do it returns the channel that is
// closed when that changes.
func (e *Engine) plan() (step, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.hang {
		return step{}, e.wake
	}
	e.queue.fill(e.o.MaxBatch)
	next := step{decode: slices.Clone(e.queue.running)}
	room := e.o.PrefillChunkTokens
	places := e.o.MaxBatch - len(e.queue.running) - len(e.queue.ready)
	for _, s := range e.queue.waiting {
		if room == 0 {
			break
		}
		if !s.prefillOnly {
			if places <= 0 {
				continue
			}
			places--
		}
		e.start(s)
		tokens := min(room, s.pending)
		room -= tokens
		next.prefill = append(next.prefill, portion{s, tokens})
	}
	if len(next.prefill) == 0 && len(next.decode) == 0 {
		return step{}, e.wake
	}
	next.duration = e.duration(e.o.PrefillChunkTokens-room, len(next.decode))
	return next, nil
}

// start takes the cached tokens off a prompt, once. One token is always
// computed, since the first output token comes from it.
func (e *Engine) start(s *Sequence) {
	if s.started {
		return
	}
	s.started = true
	cached := e.cache.cachedTokens(s.prefixes)
	if s.imported {
		cached = max(cached, s.prompt)
	}
	e.stats.CachedTokens += int64(min(cached, s.pending))
	s.pending = max(1, s.pending-cached)
}

// duration is how long a step takes in the present role.
func (e *Engine) duration(prefillTokens, batch int) time.Duration {
	prefill, decode := e.speeds(batch)
	seconds := float64(prefillTokens) / prefill
	if batch > 0 {
		seconds += decode.Seconds()
	}
	return time.Duration(seconds * e.faults.slowdown() * float64(time.Second))
}

// speeds returns the prefill tokens a second and the decode step in the present
// role.
func (e *Engine) speeds(batch int) (float64, time.Duration) {
	prefill := e.o.PrefillTokensPerSecond
	decode := e.o.DecodeBase + time.Duration(batch)*e.o.DecodePerSequence
	switch e.target.Role {
	case state.RoleDecode:
		prefill /= e.o.RoleSlowdown
	case state.RolePrefill:
		decode = time.Duration(float64(decode) * e.o.RoleSlowdown)
	}
	return prefill, decode
}

// finish applies a step to the sequences that are still there after it.
func (e *Engine) finish(done step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range done.decode {
		if slices.Contains(e.queue.running, s) {
			e.produce(s)
		}
	}
	for _, p := range done.prefill {
		if slices.Contains(e.queue.waiting, p.seq) {
			e.computed(p)
		}
	}
}

// computed counts prompt tokens; a whole prompt is cached and gives its first
// token.
func (e *Engine) computed(p portion) {
	e.stats.PrefillTokens += int64(p.tokens)
	p.seq.pending -= p.tokens
	if p.seq.pending > 0 {
		return
	}
	e.cache.add(p.seq.prefixes)
	e.queue.remove(p.seq)
	if p.seq.prefillOnly {
		p.seq.close(Done)
		return
	}
	e.queue.ready = insert(e.queue.ready, p.seq)
	e.produce(p.seq)
}

// produce gives a sequence its next token and ends it after the last.
func (e *Engine) produce(s *Sequence) {
	e.stats.DecodeTokens++
	if s.produce() {
		e.queue.remove(s)
		s.close(Done)
	}
}
