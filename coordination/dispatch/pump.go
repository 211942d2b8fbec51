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
	errLate = errors.New("the deadline passed before the first token; the attempt was ended")
)

// pump moves the events of one attempt into the sink.
type pump struct {
	g *generation
	e *entered
	// lastToken is the time of the last token, in Unix nanoseconds; 0 before the
	// first.
	lastToken atomic.Int64
	// accepted is set once the engine has taken the attempt.
	accepted bool
}

func (p *pump) run(ctx context.Context, m upstream.Generate) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go p.watch(ctx, stop)
	err := p.pump(ctx, m)
	if cause := context.Cause(ctx); err != nil && (cause == errStalled || cause == errLate) {
		return cause
	}
	return err
}

func (p *pump) pump(ctx context.Context, m upstream.Generate) error {
	s, err := p.g.d.o.Engines.Generate(ctx, p.e.Runner.Upstream, m)
	if err != nil {
		return err
	}
	defer s.Close()
	p.accepted = true
	check := stream.NewChecker(m.Attempt, len(m.Given))
	defer p.count(check)
	finish := ""
	give := func(e upstream.Event) {
		p.observe()
		finish = e.Finish
		if e.Text != "" || finish == "" { // an empty last event is no token
			p.g.sink.Append(e.Text)
		}
	}
	for {
		e, err := s.Next()
		if err == nil {
			err = check.Accept(e, give)
		}
		// The last token says that it is the last; the end mark adds nothing to
		// that, so its loss is no reason to have more computed.
		if finish != "" && (err != nil || check.Whole()) {
			p.g.sink.Finish(finish)
			return nil
		}
		if errors.Is(err, io.EOF) {
			return stream.ErrCut
		}
		if err != nil {
			return err
		}
	}
}

// observe notes a token. Only tokens count as a sign of life: an engine that
// repeats itself or answers somebody else gives this caller nothing.
func (p *pump) observe() {
	now := p.g.d.o.Clock.Now()
	if p.lastToken.Swap(now.UnixNano()) != 0 {
		return
	}
	p.g.grant.FirstToken()
	p.e.ticket.PrefillDone()
	p.e.attempt.FirstToken(now.Sub(p.e.started))
}

func (p *pump) count(c *stream.Checker) {
	n := c.Counts()
	p.g.d.o.Meter.Count(CountForeignEvents, n.Foreign)
	p.g.d.o.Meter.Count(CountDoubledEvents, n.Doubled)
	p.g.d.o.Meter.Count(CountReordered, n.Reordered)
}

// stillRuns reports whether the engine may go on with a failed attempt unless it
// is told.
func (p *pump) stillRuns(ctx context.Context, err error) bool {
	if ctx.Err() != nil || err == errStalled || err == errLate {
		return true
	}
	return p.accepted && err != stream.ErrCut
}

// watch ends the attempt when the engine is silent for too long, or when the
// deadline passes before anything was given.
func (p *pump) watch(ctx context.Context, stop context.CancelCauseFunc) {
	limit, byDeadline := p.g.firstLimit()
	end := p.e.started.Add(limit)
	why := errStalled
	if byDeadline {
		why = errLate
	}
	for {
		if last := p.lastToken.Load(); last != 0 {
			end = time.Unix(0, last).Add(p.g.d.o.StallTimeout)
			why = errStalled
		}
		wait := end.Sub(p.g.d.o.Clock.Now())
		if wait <= 0 {
			stop(why)
			return
		}
		if p.g.d.o.Clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}
