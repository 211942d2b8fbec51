package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// tokenInterval is the time between two events of an engine.
const tokenInterval = 5 * time.Millisecond

// fault is what an engine does to one attempt.
type fault int

const (
	noFault fault = iota
	// unreached: the connection can't be made.
	unreached
	// rejected: an error answer in place of a stream.
	rejected
	// unaccepted: no answer to the request at all.
	unaccepted
	// The following happen at event number at.
	cut
	broken
	duplicated
	swapped
	missing
	foreign
	foreignForever
	earlyEnd
	silent
	// unended: the connection ends after the last token, before the end mark.
	noEndMark
	endTwice
	faultCount
)

// act is one attempt's fault.
type plannedFault struct {
	fault fault
	at    int
}

// engines are all engines of a fleet. They give the text that follows from the
// prompt and go on after the tokens given.
type engines struct {
	// plan holds the acts of the attempts in their order; whole ones follow.
	plan []plannedFault
	// of, if set, decides by engine instead.
	faultOf func(engine string) plannedFault
	// prefill, if set, is the outcome of prefills.
	prefill func(ctx context.Context, engine string) error

	open atomic.Int64

	mu        sync.Mutex
	attempts  []received
	prefills  []received
	cancelled []string
}

// seen is one attempt as an engine saw it.
type received struct {
	engine string
	upstream.Generate
}

func (e *engines) next(engine string, g upstream.Generate) plannedFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, received{engine, g})
	if e.faultOf != nil {
		return e.faultOf(engine)
	}
	if len(e.plan) == 0 {
		return plannedFault{noFault, 0}
	}
	a := e.plan[0]
	e.plan = e.plan[1:]
	return a
}

func (e *engines) receivedAttempts() []received {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]received(nil), e.attempts...)
}

var errInjected = errors.New("made to fail by the test")

func sendError(engine string, maybeSent bool, err error) error {
	return &upstream.SendError{Upstream: engine, MaybeSent: maybeSent, Cause: err}
}

func (e *engines) Generate(ctx context.Context, u state.Upstream, g upstream.Generate) (upstream.Stream, error) {
	a := e.next(u.Name, g)
	switch a.fault {
	case unreached:
		return nil, sendError(u.Name, false, errInjected)
	case rejected:
		return nil, sendError(u.Name, true, errInjected)
	case unaccepted:
		<-ctx.Done()
		return nil, sendError(u.Name, true, ctx.Err())
	}
	e.open.Add(1)
	s := &fakeStream{e: e, ctx: ctx, engine: u.Name, closed: make(chan struct{})}
	s.steps = stepsOf(g, a)
	return s, nil
}

func (e *engines) Prefill(ctx context.Context, u state.Upstream, g upstream.Generate) (upstream.KV, error) {
	e.mu.Lock()
	e.prefills = append(e.prefills, received{u.Name, g})
	e.mu.Unlock()
	if e.prefill != nil {
		if err := e.prefill(ctx, u.Name); err != nil {
			return upstream.KV{}, err
		}
	}
	return upstream.KV{Source: u.Name, Handle: "kv"}, nil
}

func (e *engines) Cancel(_ context.Context, _ state.Upstream, attempt string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, attempt)
	return nil
}

// step is one event, an error or, with neither, endless silence.
type step struct {
	event *upstream.Event
	err   error
	// forever repeats the event without end.
	forever bool
}

// script lists the steps of one attempt.
func stepsOf(g upstream.Generate, a plannedFault) []step {
	var steps []step
	add := func(e upstream.Event) { steps = append(steps, step{event: &e}) }
	total := lengthOf(g.Prompt.Text)
	event := func(i int) upstream.Event {
		e := upstream.Event{Attempt: g.Attempt, Seq: i, Text: tokenOf(g.Prompt.Text, i)}
		if i == total-1 {
			e.Finish = "stop"
		}
		if i >= total {
			// An answer whose tokens were all given gets an empty last event.
			e.Text, e.Finish = "", "stop"
		}
		return e
	}
	other := upstream.Event{Attempt: "of-another", Text: "of another "}
	first := len(g.Given)
	last := max(total-1, first)
	for i := first; i <= last; i++ {
		if i-first != a.at {
			add(event(i))
			continue
		}
		switch a.fault {
		case cut:
			return append(steps, step{err: io.EOF})
		case broken:
			return append(steps, step{err: sendError("engine", true, errInjected)})
		case silent:
			return append(steps, step{})
		case foreignForever:
			other.Seq = i
			return append(steps, step{event: &other, forever: true})
		case duplicated:
			add(event(i))
		case foreign:
			other.Seq = i
			add(other)
		case earlyEnd:
			add(upstream.Event{End: true})
		case swapped:
			if i < last {
				add(event(i + 1))
				add(event(i))
				i++
				continue
			}
		case missing:
			continue
		}
		add(event(i))
	}
	if a.fault == noEndMark {
		return append(steps, step{err: io.EOF})
	}
	add(upstream.Event{End: true})
	if a.fault == endTwice {
		add(upstream.Event{End: true})
	}
	return append(steps, step{err: io.EOF})
}

// tokens is one stream.
type fakeStream struct {
	e      *engines
	ctx    context.Context
	engine string
	steps  []step
	once   sync.Once
	closed chan struct{}
}

func (s *fakeStream) Next() (upstream.Event, error) {
	if s.steps[0].err != nil {
		return upstream.Event{}, s.steps[0].err
	}
	if s.steps[0].event == nil {
		return upstream.Event{}, s.wait(time.Hour)
	}
	if err := s.wait(tokenInterval); err != nil {
		return upstream.Event{}, err
	}
	now := s.steps[0]
	if !now.forever {
		s.steps = s.steps[1:]
	}
	return *now.event, nil
}

func (s *fakeStream) wait(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-s.closed:
		return io.EOF
	case <-s.ctx.Done():
		return sendError(s.engine, true, s.ctx.Err())
	}
}

func (s *fakeStream) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.e.open.Add(-1)
	})
}

// promptOf makes a prompt whose answer has n tokens.
func promptOf(name string, n int) string { return name + " " + strconv.Itoa(n) }

func lengthOf(prompt string) int {
	_, n, _ := strings.Cut(prompt, " ")
	total, _ := strconv.Atoi(n)
	return total
}

func tokenOf(prompt string, i int) string {
	name, _, _ := strings.Cut(prompt, " ")
	return name + ":" + strconv.Itoa(i) + " "
}

// sink takes an answer and notes what an answer must not show.
type sink struct {
	mu      sync.Mutex
	prompt  string
	tokens  []string
	finish  string
	problem error
}

var _ dispatch.Sink = (*sink)(nil)

func (s *sink) Tokens() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens[:len(s.tokens):len(s.tokens)]
}

func (s *sink) Append(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want := tokenOf(s.prompt, len(s.tokens)); s.finish != "" || token != want {
		s.problem = fmt.Errorf("token %d is %q, not %q (finish %q)", len(s.tokens), token, want, s.finish)
	}
	s.tokens = append(s.tokens, token)
}

func (s *sink) Finish(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finish != "" || len(s.tokens) != lengthOf(s.prompt) || reason != "stop" {
		s.problem = fmt.Errorf("finish %q after %d tokens of %d (finish %q)", reason, len(s.tokens), lengthOf(s.prompt), s.finish)
	}
	s.finish = reason
}

// check compares the answer with the oracle: the text that the prompt
// determines, whole if Generate said so, else a part of it and a refusal.
func (s *sink) check(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.problem != nil {
		return s.problem
	}
	if err == nil {
		if s.finish == "" {
			return fmt.Errorf("called whole after %d tokens without an end", len(s.tokens))
		}
		return nil
	}
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) || refusal.Reason == "" || refusal.Message == "" {
		return fmt.Errorf("given up without a refusal that names the remedy: %w", err)
	}
	if s.finish != "" {
		return fmt.Errorf("finished and refused: %w", err)
	}
	if refusal.NotRun && len(s.tokens) > 0 {
		return fmt.Errorf("said to be not run after %d tokens", len(s.tokens))
	}
	return nil
}
