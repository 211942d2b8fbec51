package dispatch_test

import (
	"context"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// callFault is a failure that a service runner simulates in one call.
type callFault int

const (
	// callDone: the call runs and is answered.
	callDone callFault = iota
	// callUnreached: the connection can't be established.
	callUnreached
	// callRefused: the runner responds that it doesn't accept the call.
	callRefused
	// callLost: the call runs and its answer is lost.
	callLost
	// callSlow: the call runs and is answered after slowCall.
	callSlow
	// callForeign: the call runs, but the answer carries another attempt's id.
	callForeign
	// callHung: the call neither runs nor is answered until the attempt is cancelled.
	callHung
)

const (
	slowCall = 10 * time.Second
	// hungCall is the time after which the client of the services cancels a call.
	hungCall = 30 * time.Second
)

// services simulates all runners of a plain service.
type services struct {
	// plan lists the faults of the calls in order; later calls succeed.
	plan []callFault

	mu    sync.Mutex
	calls []upstream.Call
	// runs counts the executions by key.
	runs map[string]int
	// abandoned counts the calls that were cancelled before they were answered.
	abandoned int
}

func (s *services) Call(ctx context.Context, u state.Upstream, c upstream.Call) (upstream.Answer, error) {
	switch f := s.next(c); f {
	case callUnreached:
		return upstream.Answer{}, sendError(u.Name, false, errInjected)
	case callRefused:
		return upstream.Answer{}, &upstream.SendError{Upstream: u.Name, MaybeSent: true, Refused: true, Cause: errInjected}
	case callHung:
		select {
		case <-ctx.Done():
		case <-time.After(hungCall):
		}
		return upstream.Answer{}, s.abandon(u.Name, ctx)
	case callLost:
		s.run(c.Key)
		return upstream.Answer{}, sendError(u.Name, true, errInjected)
	case callForeign:
		s.run(c.Key)
		return upstream.Answer{Attempt: "of-another", Status: 200, Body: []byte("another's")}, nil
	case callSlow:
		s.run(c.Key)
		select {
		case <-ctx.Done():
			return upstream.Answer{}, s.abandon(u.Name, ctx)
		case <-time.After(slowCall):
		}
	default:
		s.run(c.Key)
	}
	return upstream.Answer{Attempt: c.Attempt, Status: 200, Body: []byte("done " + c.Key)}, nil
}

func (s *services) next(c upstream.Call) callFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
	if len(s.plan) == 0 {
		return callDone
	}
	f := s.plan[0]
	s.plan = s.plan[1:]
	return f
}

// clearPlan lets all further calls succeed.
func (s *services) clearPlan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = nil
}

// abandon counts a cancelled call and returns its error.
func (s *services) abandon(name string, ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned++
	return sendError(name, true, context.Cause(ctx))
}

func (s *services) run(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[key]++
}

// runCount returns how often the call with the key ran.
func (s *services) runCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}
