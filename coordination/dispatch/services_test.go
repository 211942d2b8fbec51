package dispatch_test

import (
	"context"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// callFault is what a service runner does to one call.
type callFault int

const (
	callDone callFault = iota
	// callUnreached: the connection can't be made.
	callUnreached
	// callRefused: it answers that it won't take the work.
	callRefused
	// callLost: it runs and its answer is lost.
	callLost
	// callSlow: it runs and answers after slowCall.
	callSlow
	// callForeign: it runs and answers another attempt.
	callForeign
	// callHung: it neither runs nor answers until the attempt is given up.
	callHung
)

const (
	slowCall = 10 * time.Second
	// hungCall is when the client of the services gives a call up.
	hungCall = 30 * time.Second
)

// services are all runners of a plain service.
type services struct {
	// plan holds the faults of the calls in their order.
	plan []callFault

	mu    sync.Mutex
	calls []upstream.Call
	// runs counts executions by key.
	runs map[string]int
	// cut counts calls that were given up while they ran.
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

// heal ends the plan.
func (s *services) clearPlan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = nil
}

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

func (s *services) runCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}
