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

// Why this host ended an attempt.
var (
	// errStalled says that an engine went silent.
	errStalled = errors.New("the engine gave no token for longer than the stall timeout; the attempt was ended")
	// errLate says that the deadline passed; that is no failure of the engine.
	errDeadline = errors.New("the deadline passed before the first token; the attempt was ended")
)

// pump moves the events of one attempt into the sink.
type pump struct {
	g *generation
	e *activeAttempt
	// lastToken is the time of the last token, in Unix nanoseconds; 0 before the
	// first.
	lastToken atomic.Int64
	// accepted is set once the engine has taken the attempt.
	accepted bool
}

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
		if e.Text != "" || finish == "" { // an empty last event is no token
			p.g.sink.Append(e.Text)
		}
	}
	for {
		e, err := s.Next()
		if err == nil {
			err = check.Accept(e, deliver)
		}
		// The last token says that it is the last; the end mark adds nothing to
		// that, so its loss is no reason to have more computed.
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

// observe notes a token. Only tokens count as a sign of life: an engine that
// repeats itself or answers somebody else gives this caller nothing.
func (p *pump) noteToken() {
	now := p.g.d.o.Clock.Now()
	if p.lastToken.Swap(now.UnixNano()) != 0 {
		return
	}
	p.g.grant.FirstToken()
	p.e.ticket.Prefilled()
	p.e.observer.FirstToken(now.Sub(p.e.started))
}

func (p *pump) countAnomalies(c *stream.Checker) {
	n := c.Counts()
	p.g.d.o.Meter.Count(CountForeignEvents, n.Foreign)
	p.g.d.o.Meter.Count(CountDuplicateEvents, n.Duplicate)
	p.g.d.o.Meter.Count(CountReordered, n.Reordered)
}

// stillRuns reports whether the engine may go on with a failed attempt unless it
// is told.
func (p *pump) mayStillRun(ctx context.Context, err error) bool {
	if ctx.Err() != nil || err == errStalled || err == errDeadline {
		return true
	}
	return p.accepted && err != stream.ErrTruncated
}

// watch ends the attempt when the engine is silent for too long, or when the
// deadline passes before anything was given.
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
