package platform

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"github.com/thymerack/thymerack/transport/wallclock"
)

var (
	errOwnLimit = errors.New("this host's own limit of calls a second is used up; raise it or send less")
	errHeld     = errors.New("the platform limits this host and asked it to wait; try again later")
	errOpen     = errors.New("the breaker is open after consecutive failures; wait for it to try again")
)

// gate decides whether an attempt may go to the network.
type gate struct {
	// all limits every call; ordinary limits those without a claim to the
	// reserved share, which is what keeps that share free.
	all, ordinary *rate.Limiter
	wait          time.Duration
	breaker       *gobreaker.TwoStepCircuitBreaker[struct{}]
	clock         wallclock.Clock
	// heldUntil is the time, in Unix nanoseconds, before which the platform wants
	// no ordinary call.
	heldUntil atomic.Int64
}

// maxHoldSeconds bounds how long one answer may hold this host back.
const maxHoldSeconds = 5

// hold keeps ordinary calls back for d.
func (g *gate) hold(d time.Duration) {
	g.heldUntil.Store(g.clock.Now().Add(d).UnixNano())
}

func newGate(o Options) *gate {
	open := 1 - o.ReservedShare
	return &gate{
		all:      rate.NewLimiter(rate.Limit(o.CallsPerSecond), o.Burst),
		ordinary: rate.NewLimiter(rate.Limit(o.CallsPerSecond*open), max(1, int(float64(o.Burst)*open))),
		wait:     o.LimitWait,
		breaker: gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
			Name:        "platform",
			MaxRequests: 1,
			Timeout:     o.BreakFor,
			ReadyToTrip: func(n gobreaker.Counts) bool { return int(n.ConsecutiveFailures) >= o.BreakAfter },
			IsExcluded:  func(err error) bool { return errors.Is(err, errNoVerdict) },
		}),
	}
}

// errNoVerdict tells the breaker that an attempt says nothing of the platform.
var errNoVerdict = errors.New("the caller gave up")

// pass is leave to make one attempt.
type pass struct {
	// probing is true while the breaker only lets single attempts through to
	// see whether the platform is back; such an attempt must not wait long.
	probing bool
	// done tells the breaker the outcome; it must be called once.
	done func(error)
}

// enter waits for the rate limit, for a while, and asks the breaker.
func (g *gate) enter(ctx context.Context, reserved bool) (pass, error) {
	if g.breaker.State() == gobreaker.StateOpen {
		return pass{}, errOpen
	}
	if !reserved && g.clock.Now().UnixNano() < g.heldUntil.Load() {
		return pass{}, errHeld
	}
	if err := g.limit(ctx, reserved); err != nil {
		return pass{}, err
	}
	done, err := g.breaker.Allow()
	if err != nil {
		return pass{}, errOpen
	}
	return pass{probing: g.breaker.State() != gobreaker.StateClosed, done: done}, nil
}

func (g *gate) limit(ctx context.Context, reserved bool) error {
	now := g.clock.Now()
	all := g.all.ReserveN(now, 1)
	delay := all.DelayFrom(now)
	if !reserved {
		ordinary := g.ordinary.ReserveN(now, 1)
		delay = max(delay, ordinary.DelayFrom(now))
		if delay > g.wait {
			ordinary.CancelAt(now)
		}
	}
	if delay > g.wait {
		all.CancelAt(now)
		return errOwnLimit
	}
	if delay == 0 {
		return nil
	}
	return g.clock.Sleep(ctx, delay)
}
