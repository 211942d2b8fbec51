package lease

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"
)

// Acquire waits until the lease is held or ctx ends. It looks three times in a
// TTL, or as often as LookEvery says; a platform that gives no answer is asked again
// at the same pace.
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
			l.opts.Log.Debug("lease not readable", "lease", l.opts.Name, "error", err)
		}
		if err := l.awaitNextPoll(ctx); err != nil {
			return err
		}
	}
}

// awaitFirstPoll waits before the first look until this host is one of the few that look often, or
// its first pause is over: the first looks of all hosts that start together would cost as much
// as their looks of minutes.
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

// firstPollCheckInterval is how often a host that has just started asks whether it is its turn to look: a
// holder that restarts goes on almost at once.
const firstPollCheckInterval = 200 * time.Millisecond

// awaitNextPoll waits until a waiter's next look is due.
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

// jitteredInterval is the time between two renewals, or two questions of a waiter whether a look
// is due: a third of the TTL.
func (l *Lease) jitteredInterval() time.Duration { return l.jitter(l.opts.TTL / callsPerTTL) }

// jitter takes up to a fifth off, so that hosts that started together drift apart.
func (l *Lease) jitter(d time.Duration) time.Duration {
	return d - time.Duration(l.opts.Rand.Int64N(int64(d)/jitterDivisor+1))
}

// jitterDivisor is the part of a pause by which hosts drift apart.
const jitterDivisor = 5

// Run acquires the lease and calls work with a context that is cancelled with
// cause ErrLost once the lease is lost; it then waits for work to return and
// acquires again. Run returns when work returns by itself, with its error, or
// when ctx ends, with nil; it releases the lease in both cases.
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

// hold runs work while the lease is renewed. over is true if work ended by itself.
func (l *Lease) hold(ctx context.Context, work func(context.Context) error) (workEnded bool, err error) {
	workCtx, cancelWork := context.WithCancelCause(ctx)
	defer cancelWork(nil)
	renewCtx, stopRenewing := context.WithCancel(ctx)
	defer stopRenewing()
	var g conc.WaitGroup
	var result error
	g.Go(func() {
		defer stopRenewing()
		result = work(workCtx)
	})
	lost := l.renewUntilLost(renewCtx)
	if lost {
		cancelWork(ErrLost)
	}
	g.Wait()
	if lost || ctx.Err() != nil {
		return false, nil
	}
	return true, result
}

// renewUntilLost renews until the lease is lost (true) or ctx ends (false).
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

// renewWithinTTL bounds the renewal by what is left of the TTL, so that a call that
// hangs can't keep the belief alive.
func (l *Lease) renewWithinTTL(ctx context.Context) error {
	left := l.opts.TTL - l.opts.Clock.Now().Sub(l.currentTerm().renewedAt)
	ctx, cancel := context.WithTimeout(ctx, max(left, l.opts.TTL/callsPerTTL))
	defer cancel()
	return l.Renew(ctx)
}

// releaseOnExit tries once; a platform that doesn't answer leaves the lease to lapse.
func (l *Lease) releaseOnExit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.opts.TTL/callsPerTTL)
	defer cancel()
	if err := l.Release(ctx); err != nil {
		l.opts.Log.Debug("lease not released", "lease", l.opts.Name, "error", err)
	}
}
