package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Defaults and growth factor of the delays between attempts.
const (
	defaultFirstDelay = 20 * time.Millisecond
	defaultMaxDelay   = 2 * time.Second
	delayGrowth       = 2
)

// Delays creates the exponential delays with jitter between the attempts of requests. It is
// safe for concurrent use.
type Delays struct {
	first, max time.Duration

	mu  sync.Mutex
	rnd *rand.Rand
}

// NewDelays returns delays that start at first and double up to limit; zero or less selects
// 20 ms and 2 s. The jitter is drawn from rnd.
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
	b.RandomizationFactor = 0 // Next adds the jitter, from rnd
	b.Reset()
	return &Delay{source: d, exponential: b}
}

// Delay is the sequence of delays of one request. It is not safe for concurrent use.
type Delay struct {
	source      *Delays
	exponential *backoff.ExponentialBackOff
}

// Next returns the delay before the next attempt, at random between half of the current
// exponential delay and the whole of it.
func (d *Delay) Next() time.Duration {
	full := d.exponential.NextBackOff()
	d.source.mu.Lock()
	defer d.source.mu.Unlock()
	return full/2 + time.Duration(d.source.rnd.Int64N(int64(full/2)+1))
}
