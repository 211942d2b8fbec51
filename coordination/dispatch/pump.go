package dispatch

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/stream"
	"github.com/thymerack/thymerack/coordination/upstream"
)

// The reasons for which this host ends an attempt.
var (
	// errStalled means that an engine sent no token for too long.
	errStalled = errors.New("the engine gave no token for longer than the stall timeout; the attempt was ended")
	// errDeadline means that the deadline passed, which isn't a failure of the engine.
	errDeadline = errors.New("the deadline passed before the first token; the attempt was ended")
)

// pump copies the tokens of one attempt to the sink.
type pump struct {
	g *generation
	e *activeAttempt
	// lastToken is the time of the last token, in Unix nanoseconds; 0 before the first one.
	lastToken atomic.Int64
	// accepted is set once the engine has accepted the attempt.
	accepted bool
}

// run makes the attempt and enforces its timeouts. It returns nil once the answer is complete.
func (p *pump) run(ctx context.Context, m upstream.Generate) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go p.enforceTimeouts(ctx, stop)
	err := p.copyEvents(ctx, m)
	if cause := context.Cause(ctx); err != nil && (cause == errStalled || cause == errDeadline) {
		return cause
	}
	return err
}

// copyEvents sends the request and copies its tokens until the answer is complete or the
// stream fails.
func (p *pump) copyEvents(ctx context.Context, m upstream.Generate) error {
	s, err := p.g.d.o.Engines.Generate(ctx, p.e.Runner.Upstream, m)
	if err != nil {
		return err
	}
	defer s.Close()
	p.accepted = true
	check := stream.NewChecker(m.Attempt, len(m.Given))
	defer p.countAnomalies(check)
	finish := ""
	deliver := func(e upstream.Event) {
		p.noteToken()
		finish = e.Finish
		if e.Text != "" || finish == "" { // an empty last event has no token
			p.g.sink.Append(e.Text)
		}
	}
	for {
		e, err := s.Next()
		if err == nil {
			err = check.Accept(e, deliver)
		}
		// The last token carries the finish reason, so the answer is complete even if the end
		// mark is missing: a retry would only repeat the work.
		if finish != "" && (err != nil || check.Complete()) {
			p.g.sink.Finish(finish)
			return nil
		}
		if errors.Is(err, io.EOF) {
			return stream.ErrTruncated
		}
		if err != nil {
			return err
		}
	}
}

// noteToken records the arrival of a token. Duplicates and events of other attempts don't
// postpone the stall timeout, since they don't advance the answer.
func (p *pump) noteToken() {
	now := p.g.d.o.Clock.Now()
	if p.lastToken.Swap(now.UnixNano()) != 0 {
		return
	}
	p.g.grant.FirstToken()
	p.e.ticket.PrefillDone()
	p.e.observer.FirstToken(now.Sub(p.e.started))
}

// countAnomalies adds the irregular events of the stream to the counters.
func (p *pump) countAnomalies(c *stream.Checker) {
	n := c.Counts()
	p.g.d.o.Meter.Count(CountForeignEvents, n.Foreign)
	p.g.d.o.Meter.Count(CountDuplicateEvents, n.Duplicate)
	p.g.d.o.Meter.Count(CountReordered, n.Reordered)
}

// mayStillRun reports whether the engine may continue a failed attempt unless it is told to
// cancel it.
func (p *pump) mayStillRun(ctx context.Context, err error) bool {
	if ctx.Err() != nil || err == errStalled || err == errDeadline {
		return true
	}
	return p.accepted && err != stream.ErrTruncated
}

// enforceTimeouts ends the attempt if the engine sends no token for too long, or if the
// deadline passes before the answer has started.
func (p *pump) enforceTimeouts(ctx context.Context, stop context.CancelCauseFunc) {
	limit, byDeadline := p.g.firstTokenTimeout()
	end := p.e.started.Add(limit)
	cause := errStalled
	if byDeadline {
		cause = errDeadline
	}
	for {
		if last := p.lastToken.Load(); last != 0 {
			end = time.Unix(0, last).Add(p.g.d.o.StallTimeout)
			cause = errStalled
		}
		wait := end.Sub(p.g.d.o.Clock.Now())
		if wait <= 0 {
			stop(cause)
			return
		}
		if p.g.d.o.Clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}
