package lease

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"
)

// Acquire waits until the lease is held or ctx ends; the error is that of ctx. It polls three times
// in a TTL, or as often as PollInterval says; failed polls are retried at the same interval.
func (l *Lease) Acquire(ctx context.Context) error {
	if err := l.awaitFirstPoll(ctx); err != nil {
		return err
	}
	for {
		held, err := l.TryAcquire(ctx)
		if held {
			l.opts.Log.Info("lease acquired", "lease", l.opts.Name, "holder", l.opts.Holder.String())
			return nil
		}
		if err != nil && ctx.Err() == nil {
			l.opts.Log.Debug("lease acquisition failed; it is retried", "lease", l.opts.Name, "error", err)
		}
		if err := l.awaitNextPoll(ctx); err != nil {
			return err
		}
	}
}

// awaitFirstPoll delays the first poll until this host is one of the few that poll often, or one
// PollInterval has passed: if all hosts that start together polled at once, these polls would cost
// as much as minutes of regular ones.
func (l *Lease) awaitFirstPoll(ctx context.Context) error {
	if l.opts.PollInterval == nil {
		return nil
	}
	startedAt := l.opts.Clock.Now()
	for {
		every := l.opts.PollInterval()
		if every <= l.opts.TTL || l.opts.Clock.Now().Sub(startedAt) >= every-every/jitterDivisor {
			return nil
		}
		if err := l.opts.Clock.Sleep(ctx, firstPollCheckInterval); err != nil {
			return err
		}
	}
}

// firstPollCheckInterval is how often a host that has just started evaluates PollInterval. It is short,
// so that a holder that restarts resumes almost at once.
const firstPollCheckInterval = 200 * time.Millisecond

// awaitNextPoll waits until the next poll of a waiter is due.
func (l *Lease) awaitNextPoll(ctx context.Context) error {
	polledAt := l.opts.Clock.Now()
	for {
		if err := l.opts.Clock.Sleep(ctx, l.jitteredInterval()); err != nil {
			return err
		}
		if l.opts.PollInterval == nil {
			return nil
		}
		every := l.opts.PollInterval()
		if l.opts.Clock.Now().Sub(polledAt) >= every-every/jitterDivisor {
			return nil
		}
	}
}

// jitteredInterval returns the time until the next renewal, or until a waiter next checks whether a
// poll is due: a third of the TTL, less jitter.
func (l *Lease) jitteredInterval() time.Duration { return l.jitter(l.opts.TTL / callsPerTTL) }

// jitter shortens d by up to a fifth at random, so that the calls of hosts that started together spread
// out.
func (l *Lease) jitter(d time.Duration) time.Duration {
	return d - time.Duration(l.opts.Rand.Int64N(int64(d)/jitterDivisor+1))
}

// jitterDivisor is the divisor of an interval that gives its largest jitter.
const jitterDivisor = 5

// Run acquires the lease and calls work with a context that is cancelled with cause ErrLost once the
// lease is lost; it then waits for work to return and acquires the lease again. Run returns the error
// of work if work returns on its own, and nil if ctx ends. It releases the lease in both cases.
func (l *Lease) Run(ctx context.Context, work func(context.Context) error) error {
	for {
		if err := l.Acquire(ctx); err != nil {
			return nil
		}
		workEnded, err := l.hold(ctx, work)
		if workEnded || ctx.Err() != nil {
			l.releaseOnExit(ctx)
			return err
		}
		l.opts.Log.Warn("lease lost", "lease", l.opts.Name, "holder", l.opts.Holder.String())
	}
}

// hold runs work while it renews the lease. workEnded reports whether work returned on its own; err
// is then its error.
func (l *Lease) hold(ctx context.Context, work func(context.Context) error) (workEnded bool, err error) {
	workCtx, cancelWork := context.WithCancelCause(ctx)
	defer cancelWork(nil)
	renewCtx, stopRenewing := context.WithCancel(ctx)
	defer stopRenewing()
	var g conc.WaitGroup
	var workErr error
	g.Go(func() {
		defer stopRenewing()
		workErr = work(workCtx)
	})
	lost := l.renewUntilLost(renewCtx)
	if lost {
		cancelWork(ErrLost)
	}
	g.Wait()
	if lost || ctx.Err() != nil {
		return false, nil
	}
	return true, workErr
}

// renewUntilLost renews the lease until it is lost (true) or ctx ends (false).
func (l *Lease) renewUntilLost(ctx context.Context) bool {
	for {
		if err := l.opts.Clock.Sleep(ctx, l.jitteredInterval()); err != nil {
			return false
		}
		err := l.renewWithinTTL(ctx)
		if ctx.Err() != nil {
			return false
		}
		if errors.Is(err, ErrLost) || !l.Held() {
			return true
		}
	}
}

// renewWithinTTL bounds the renewal by what is left of the TTL, but at least a third of it, so that a
// call that hangs doesn't delay the detection of an expired lease.
func (l *Lease) renewWithinTTL(ctx context.Context) error {
	left := l.opts.TTL - l.opts.Clock.Now().Sub(l.currentTerm().renewedAt)
	ctx, cancel := context.WithTimeout(ctx, max(left, l.opts.TTL/callsPerTTL))
	defer cancel()
	return l.Renew(ctx)
}

// releaseOnExit tries to release the lease once; if the store doesn't answer, the lease expires.
func (l *Lease) releaseOnExit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.opts.TTL/callsPerTTL)
	defer cancel()
	if err := l.Release(ctx); err != nil {
		l.opts.Log.Debug("lease not released; it expires after its TTL", "lease", l.opts.Name, "error", err)
	}
}
