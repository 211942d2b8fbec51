package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the delay between attempts.
const (
	defaultFirstDelay = 20 * time.Millisecond
	defaultMaxDelay   = 2 * time.Second
	delayGrowth       = 2
)

// Delays gives the jittered delays before repeated attempts. It is safe for
// concurrent use.
type Delays struct {
	first, max time.Duration

	mu  sync.Mutex
	rnd *rand.Rand
}

// NewDelays returns delays that start at about first and grow up to limit; zero
// stands for 20 ms and 2 s.
func NewDelays(first, limit time.Duration, rnd *rand.Rand) *Delays {
	if first <= 0 {
		first = defaultFirstDelay
	}
	if limit <= 0 {
		limit = defaultMaxDelay
	}
	return &Delays{first: first, max: limit, rnd: rnd}
}

// Start returns the sequence of delays of one request.
func (d *Delays) Start() *Delay {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = d.first
	b.MaxInterval = d.max
	b.Multiplier = delayGrowth
	b.RandomizationFactor = 0 // the jitter is drawn from the given source
	b.Reset()
	return &Delay{source: d, exponential: b}
}

// Delay is the sequence of delays of one request; it is for one goroutine.
type Delay struct {
	source      *Delays
	exponential *backoff.ExponentialBackOff
}

// Next returns the delay before the next attempt, between half and the whole of
// a value that grows.
func (d *Delay) Next() time.Duration {
	full := d.exponential.NextBackOff()
	d.source.mu.Lock()
	defer d.source.mu.Unlock()
	return full/2 + time.Duration(d.source.rnd.Int64N(int64(full/2)+1))
}
