package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// CrashReporter is told of work that broke off at an upstream without its end.
type CrashReporter interface {
	// ReportBroken doesn't wait.
	ReportBroken(u state.Upstream, s quarantine.Suspect)
}

// Quarantine knows the requests that crash what runs them.
type Quarantine interface {
	// Held returns why a request may reach no upstream, or nil.
	Held(d quarantine.Digest) *quarantine.Hold
	// Answered notes that an upstream has answered the request whole.
	Answered(d quarantine.Digest)
}

// held returns the refusal of a request that crashes what runs it, or nil.
func (d *Dispatcher) checkQuarantine(r *Request) *Refusal {
	hold := d.o.Quarantine.Held(r.Digest)
	if hold == nil {
		return nil
	}
	why := &quarantine.HeldError{Digest: r.Digest, Crashes: len(hold.Evidence)}
	return &Refusal{Reason: ReasonCrashes, Message: why.Error(), Cause: why}
}

// isHeld reports whether err is the refusal of a request that is held.
func isQuarantined(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Reason == ReasonCrashes
}

// noteBroken notes that an attempt broke off at its upstream, which may have crashed under
// it; answering says that a part of the answer had arrived. That the caller left or the
// deadline passed says nothing, nor does an upstream that refused or got nothing.
func (d *Dispatcher) reportBroken(ctx context.Context, r *Request, e *activeAttempt, err error, answering bool) {
	var failed *upstream.SendError
	if ctx.Err() != nil || errors.Is(err, errDeadline) || (errors.As(err, &failed) && (!failed.MaybeSent || failed.Refused)) {
		return
	}
	d.o.Crashes.ReportBroken(e.Runner.Upstream, quarantine.Suspect{
		Digest: r.Digest, RequestID: r.ID, SentAt: e.started,
		Settled: answering && d.since(e.started) >= quarantine.SettledAfter,
	})
}

func (d *Dispatcher) since(t time.Time) time.Duration { return d.o.Clock.Now().Sub(t) }
