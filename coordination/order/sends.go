package order

import (
	"sync"
	"time"
)

// sendTracker remembers, for each engine, whether an order of this host may still
// arrive. It outlives the lease: a planner that lost it must know what it sent.
type sendTracker struct {
	mu      sync.Mutex
	engines map[string]*engineSendState
}

type engineSendState struct {
	// inStep is true from before the object is read until after the order is sent.
	inStep bool
	// minFence is the lowest fence that this host may still send.
	minFence uint64
	// mayArriveUntil is when an order whose outcome is unknown has arrived or never will.
	mayArriveUntil time.Time
	// step is the memory of the step that holds busy.
	step stepState
}

func newSendTracker() *sendTracker { return &sendTracker{engines: map[string]*engineSendState{}} }

func (s *sendTracker) engineState(engine string) *engineSendState {
	e := s.engines[engine]
	if e == nil {
		e = &engineSendState{}
		s.engines[engine] = e
	}
	return e
}

// begin claims the engine for one step, before anything is read. It returns nil
// while another step holds it.
func (s *sendTracker) begin(engine string) *stepState {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engineState(engine)
	if e.inStep {
		return nil
	}
	e.inStep = true
	return &e.step
}

func (s *sendTracker) endStep(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engineState(engine).inStep = false
}

// raiseMinFence promises that no order below fence will be sent.
func (s *sendTracker) raiseMinFence(engine string, fence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engineState(engine)
	e.minFence = max(e.minFence, fence)
}

// maySend reports whether the order with that fence may be sent once more.
func (s *sendTracker) maySend(engine string, fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fence >= s.engineState(engine).minFence
}

// recordUnanswered notes that an order may still arrive until then.
func (s *sendTracker) recordUnanswered(engine string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.engineState(engine); until.After(e.mayArriveUntil) {
		e.mayArriveUntil = until
	}
}

// mayStillArrive reports whether an order of this host may still arrive.
func (s *sendTracker) mayStillArrive(engine string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.engineState(engine).mayArriveUntil)
}

// release raises the floor to fence if no order is being sent or may still
// arrive, and reports whether it did.
func (s *sendTracker) release(engine string, fence uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engineState(engine)
	if e.inStep || now.Before(e.mayArriveUntil) {
		return false
	}
	e.minFence = max(e.minFence, fence)
	return true
}
