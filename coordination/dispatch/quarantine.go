package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// CrashReporter receives requests that broke off at an upstream before they were complete.
type CrashReporter interface {
	// ReportBroken reports that the request broke off at u. It doesn't block.
	ReportBroken(u state.Upstream, s quarantine.Suspect)
}

// Quarantine knows the requests that crash upstreams.
type Quarantine interface {
	// Held returns the hold of a request that must not reach any upstream, or nil.
	Held(d quarantine.Digest) *quarantine.Hold
	// ReportAnswered reports that an upstream has answered the request completely.
	ReportAnswered(d quarantine.Digest)
}

// checkQuarantine returns the refusal of a quarantined request, or nil.
func (d *Dispatcher) checkQuarantine(r *Request) *Refusal {
	hold := d.o.Quarantine.Held(r.Digest)
	if hold == nil {
		return nil
	}
	why := &quarantine.HeldError{Digest: r.Digest, Crashes: len(hold.Evidence)}
	return &Refusal{Reason: ReasonCrashes, Message: why.Error(), Cause: why}
}

// isQuarantined reports whether err is the refusal of a quarantined request.
func isQuarantined(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Reason == ReasonCrashes
}

// reportBroken reports an attempt that broke off at its upstream, which may have crashed
// because of it. answering is true if part of the answer had arrived. Nothing is reported if
// the caller cancelled the request, the deadline passed, or the upstream refused the request
// or never received it.
func (d *Dispatcher) reportBroken(ctx context.Context, r *Request, e *activeAttempt, err error, answering bool) {
	var failed *upstream.SendError
	if ctx.Err() != nil || errors.Is(err, errDeadline) || (errors.As(err, &failed) && (!failed.MaybeSent || failed.Refused)) {
		return
	}
	d.o.Crashes.ReportBroken(e.Runner.Upstream, quarantine.Suspect{
		Digest: r.Digest, RequestID: r.ID, SentAt: e.started,
		LongRunning: answering && d.since(e.started) >= quarantine.LongRunningAfter,
	})
}

func (d *Dispatcher) since(t time.Time) time.Duration { return d.o.Clock.Now().Sub(t) }
