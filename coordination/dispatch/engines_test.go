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

// tokenInterval is the time between two events of a stream.
const tokenInterval = 5 * time.Millisecond

// fault is a failure that an engine simulates in one attempt.
type fault int

const (
	// noFault: the attempt succeeds.
	noFault fault = iota
	// unreached: the connection can't be established.
	unreached
	// rejected: an error response instead of a stream.
	rejected
	// unaccepted: no response at all.
	unaccepted
	// cut: the connection ends. The faults from cut to silent occur at event number
	// plannedFault.at.
	cut
	// broken: the connection fails.
	broken
	// duplicated: the event is sent twice.
	duplicated
	// swapped: the event is sent after the next one.
	swapped
	// missing: the event isn't sent.
	missing
	// foreign: an event of another attempt is sent before this one.
	foreign
	// foreignForever: only events of another attempt are sent from here on.
	foreignForever
	// earlyEnd: an end mark is sent before the event.
	earlyEnd
	// silent: the connection stays open without further events.
	silent
	// noEndMark: the connection ends after the last token, before the end mark.
	noEndMark
	// endTwice: the end mark is sent twice.
	endTwice
	// faultCount is the number of faults.
	faultCount
)

// plannedFault is the fault of one attempt and the number of the event at which it occurs.
type plannedFault struct {
	fault fault
	at    int
}

// engines simulates all engines of a fleet. The answer to a prompt is determined by the
// prompt; a resumed attempt continues after the given tokens.
type engines struct {
	// plan lists the faults of the attempts in order; later attempts succeed.
	plan []plannedFault
	// faultOf, if set, returns the fault by engine instead.
	faultOf func(engine string) plannedFault
	// prefill, if set, returns the result of a prefill.
	prefill func(ctx context.Context, engine string) error

	// open is the number of open streams.
	open atomic.Int64

	mu        sync.Mutex
	attempts  []received
	prefills  []received
	cancelled []string
}

// received is one attempt as its engine received it.
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

// step is one event, an error or, if neither is set, silence.
type step struct {
	event *upstream.Event
	err   error
	// forever repeats the event endlessly.
	forever bool
}

// stepsOf returns the steps of one attempt.
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
			// If all tokens were given already, the engine sends an empty last event.
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

// fakeStream is the stream of one attempt.
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

// promptOf returns a prompt whose answer has n tokens.
func promptOf(name string, n int) string { return name + " " + strconv.Itoa(n) }

// lengthOf returns the number of tokens in the answer to a prompt.
func lengthOf(prompt string) int {
	_, n, _ := strings.Cut(prompt, " ")
	total, _ := strconv.Atoi(n)
	return total
}

// tokenOf returns token i of the answer to a prompt.
func tokenOf(prompt string, i int) string {
	name, _, _ := strings.Cut(prompt, " ")
	return name + ":" + strconv.Itoa(i) + " "
}

// sink receives an answer and records a deviation from the expected one in problem.
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

// check compares the answer with the one that the prompt determines: it must be complete if
// err is nil, and otherwise a prefix of it with a *dispatch.Refusal.
func (s *sink) check(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.problem != nil {
		return s.problem
	}
	if err == nil {
		if s.finish == "" {
			return fmt.Errorf("Generate returned nil after %d tokens without a finish reason", len(s.tokens))
		}
		return nil
	}
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) || refusal.Reason == "" || refusal.Message == "" {
		return fmt.Errorf("failed without a refusal that names the remedy: %w", err)
	}
	if s.finish != "" {
		return fmt.Errorf("the answer was both finished and refused: %w", err)
	}
	if refusal.NotRun && len(s.tokens) > 0 {
		return fmt.Errorf("refused as not run after %d tokens", len(s.tokens))
	}
	return nil
}
