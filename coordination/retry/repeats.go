package retry

// Repeats bounds what hosts send again: ordinary repeats by a budget that is earned steadily, so
// that they can't amplify an overload, and runs that go on elsewhere, as their engine is lost or
// leaves, by what a window allows. These come together, and each is an answer that is under way.
// It is safe for concurrent use.
type Repeats struct {
	steady *Budget
	window *WindowBudget
}

// NewRepeats joins two budgets of one host. The window's bound counts both kinds, and must leave
// room below what the service agreement allows for repeats that arrive later than they were
// allowed, as when they wait for a place.
func NewRepeats(steady *Budget, window *WindowBudget) *Repeats { return &Repeats{steady, window} }

// CountRequest notes a request of the service.
func (r *Repeats) CountRequest(service string) {
	r.steady.CountRequest(service)
	r.window.CountRequest(service)
}

// Allow takes an ordinary repeat.
func (r *Repeats) Allow(service string) bool {
	if !r.steady.Allow(service) {
		return false
	}
	r.window.Note(service)
	return true
}

// AllowMove takes the sending of a run that goes on elsewhere.
func (r *Repeats) AllowMove(service string) bool {
	return r.window.Allow(service) || r.Allow(service)
}
