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
func (l *Lessor) Acquire(ctx context.Context) error {
	if err := l.awaitTurn(ctx); err != nil {
		return err
	}
	for {
		held, err := l.Try(ctx)
		if held {
			l.opts.Log.Info("lease acquired", "lease", l.opts.Name, "holder", l.opts.Holder.String())
			return nil
		}
		if err != nil && ctx.Err() == nil {
			l.opts.Log.Debug("lease not readable", "lease", l.opts.Name, "error", err)
		}
		if err := l.untilDue(ctx); err != nil {
			return err
		}
	}
}

// awaitTurn waits before the first look until this host is one of the few that look often, or
// its first pause is over: the first looks of all hosts that start together would cost as much
// as their looks of minutes.
func (l *Lessor) awaitTurn(ctx context.Context) error {
	if l.opts.LookEvery == nil {
		return nil
	}
	began := l.opts.Clock.Now()
	for {
		every := l.opts.LookEvery()
		if every <= l.opts.TTL || l.opts.Clock.Now().Sub(began) >= every-every/spreadPart {
			return nil
		}
		if err := l.opts.Clock.Sleep(ctx, turnPoll); err != nil {
			return err
		}
	}
}

// turnPoll is how often a host that has just started asks whether it is its turn to look: a
// holder that restarts goes on almost at once.
const turnPoll = 200 * time.Millisecond

// untilDue waits until a waiter's next look is due.
func (l *Lessor) untilDue(ctx context.Context) error {
	looked := l.opts.Clock.Now()
	for {
		if err := l.opts.Clock.Sleep(ctx, l.pause()); err != nil {
			return err
		}
		if l.opts.LookEvery == nil {
			return nil
		}
		every := l.opts.LookEvery()
		if l.opts.Clock.Now().Sub(looked) >= every-every/spreadPart {
			return nil
		}
	}
}

// pause is the time between two renewals, or two questions of a waiter whether a look
// is due: a third of the TTL.
func (l *Lessor) pause() time.Duration { return l.spread(l.opts.TTL / callsPerTTL) }

// spread takes up to a fifth off, so that hosts that started together drift apart.
func (l *Lessor) spread(whole time.Duration) time.Duration {
	return whole - time.Duration(l.opts.Rand.Int64N(int64(whole)/spreadPart+1))
}

// spreadPart is the part of a pause by which hosts drift apart.
const spreadPart = 5

// Run acquires the lease and calls work with a context that is cancelled with
// cause ErrLost once the lease is lost; it then waits for work to return and
// acquires again. Run returns when work returns by itself, with its error, or
// when ctx ends, with nil; it releases the lease in both cases.
func (l *Lessor) Run(ctx context.Context, work func(context.Context) error) error {
	for {
		if err := l.Acquire(ctx); err != nil {
			return nil
		}
		over, err := l.hold(ctx, work)
		if over || ctx.Err() != nil {
			l.releaseAtEnd(ctx)
			return err
		}
		l.opts.Log.Warn("lease lost", "lease", l.opts.Name, "holder", l.opts.Holder.String())
	}
}

// hold runs work while the lease is renewed. over is true if work ended by itself.
func (l *Lessor) hold(ctx context.Context, work func(context.Context) error) (over bool, err error) {
	held, lose := context.WithCancelCause(ctx)
	defer lose(nil)
	renewing, stop := context.WithCancel(ctx)
	defer stop()
	var g conc.WaitGroup
	var result error
	g.Go(func() {
		defer stop()
		result = work(held)
	})
	lost := l.keep(renewing)
	if lost {
		lose(ErrLost)
	}
	g.Wait()
	if lost || ctx.Err() != nil {
		return false, nil
	}
	return true, result
}

// keep renews until the lease is lost (true) or ctx ends (false).
func (l *Lessor) keep(ctx context.Context) bool {
	for {
		if err := l.opts.Clock.Sleep(ctx, l.pause()); err != nil {
			return false
		}
		err := l.renewInTime(ctx)
		if ctx.Err() != nil {
			return false
		}
		if errors.Is(err, ErrLost) || !l.Held() {
			return true
		}
	}
}

// renewInTime bounds the renewal by what is left of the TTL, so that a call that
// hangs can't keep the belief alive.
func (l *Lessor) renewInTime(ctx context.Context) error {
	left := l.opts.TTL - l.opts.Clock.Now().Sub(l.present().renewedAt)
	ctx, cancel := context.WithTimeout(ctx, max(left, l.opts.TTL/callsPerTTL))
	defer cancel()
	return l.Renew(ctx)
}

// releaseAtEnd tries once; a platform that doesn't answer leaves the lease to lapse.
func (l *Lessor) releaseAtEnd(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.opts.TTL/callsPerTTL)
	defer cancel()
	if err := l.Release(ctx); err != nil {
		l.opts.Log.Debug("lease not released", "lease", l.opts.Name, "error", err)
	}
}
