package order

import (
	"sync"
	"time"
)

// sendTracker tracks, for each engine, which orders this host may still send and
// whether one that it sent may still arrive. It outlives the lease, because a planner
// that has lost the lease must still know which orders it sent.
type sendTracker struct {
	mu      sync.Mutex
	engines map[string]*engineSendState
}

// engineSendState is the state of a sendTracker for one engine.
type engineSendState struct {
	// inStep is true from before the object is read until after the order is sent.
	inStep bool
	// minFence is the lowest fence that this host may still send.
	minFence uint64
	// mayArriveUntil is the time from which no order whose outcome is unknown can
	// still arrive.
	mayArriveUntil time.Time
	// step is the state that steps keep; only the step that set inStep uses it.
	step stepState
}

func newSendTracker() *sendTracker { return &sendTracker{engines: map[string]*engineSendState{}} }

// engineState returns the state of an engine, created if necessary. s.mu must be held.
func (s *sendTracker) engineState(engine string) *engineSendState {
	e := s.engines[engine]
	if e == nil {
		e = &engineSendState{}
		s.engines[engine] = e
	}
	return e
}

// beginStep reserves the engine for one step, before its object is read. It returns
// nil while another step is in progress.
func (s *sendTracker) beginStep(engine string) *stepState {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engineState(engine)
	if e.inStep {
		return nil
	}
	e.inStep = true
	return &e.step
}

// endStep ends the reservation of beginStep.
func (s *sendTracker) endStep(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engineState(engine).inStep = false
}

// raiseMinFence forbids sending orders with a fence below fence.
func (s *sendTracker) raiseMinFence(engine string, fence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engineState(engine)
	e.minFence = max(e.minFence, fence)
}

// maySend reports whether an order with this fence may still be sent.
func (s *sendTracker) maySend(engine string, fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fence >= s.engineState(engine).minFence
}

// recordUnanswered records that an order sent without an answer may arrive until
// the given time.
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

// release forbids sending orders with a fence below fence, unless a step is in
// progress or an order may still arrive. It reports whether it did.
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
