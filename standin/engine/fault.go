package engine

import "fmt"

// The faults that a POST to /fault sets.
const (
	// FaultCrash ends the process at once.
	FaultCrash = "crash"
	// FaultCrashInChange ends it in the middle of the next order.
	FaultCrashInChange = "crash_in_change"
	// FaultHang takes calls and answers none; streams stall until the reset.
	FaultHang = "hang"
	// FaultSlow multiplies the duration of every step by factor.
	FaultSlow = "slow"
	// FaultDoubleEvents sends every event twice.
	FaultDoubleEvents = "double_events"
	// FaultReorderEvents swaps events in pairs.
	FaultReorderEvents = "reorder_events"
	// FaultWrongAnswer sends events of another attempt and prompt.
	FaultWrongAnswer = "wrong_answer"
	// FaultCutAfter closes streams without the end mark after tokens events.
	FaultCutAfter = "cut_after"
	// FaultReset ends every fault.
	FaultReset = "reset"
)

// crashCode is the exit code of the crash faults.
const crashCode = 3

// Fault is the body of a POST to /fault.
type Fault struct {
	Fault  string  `json:"fault"`
	Factor float64 `json:"factor,omitempty"`
	Tokens int     `json:"tokens,omitempty"`
	// Clean makes cut_after end the answer's body in good order, so that only
	// the missing end mark shows the cut.
	Clean bool `json:"clean,omitempty"`
}

// streamFaults are the faults of one stream, fixed when it starts.
type streamFaults struct {
	double   bool
	reorder  bool
	wrong    bool
	cut      bool
	cutAfter int
	cutClean bool
}

// faults holds the faults in force; the engine's mutex guards it.
type faults struct {
	crashInChange bool
	hang          bool
	factor        float64
	stream        streamFaults
	// cleared is closed by the next reset.
	cleared chan struct{}
}

func newFaults() faults {
	return faults{factor: 1, cleared: make(chan struct{})}
}

func (f *faults) slowdown() float64 { return f.factor }

// SetFault puts a fault in force.
func (e *Engine) SetFault(x Fault) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.wakeUp()
	f := &e.faults
	switch x.Fault {
	case FaultCrash:
		e.o.Exit(crashCode)
	case FaultCrashInChange:
		f.crashInChange = true
	case FaultHang:
		f.hang = true
	case FaultSlow:
		if x.Factor <= 0 {
			return &RequestError{"factor isn't positive; 2 halves the speed"}
		}
		f.factor = x.Factor
	case FaultDoubleEvents:
		f.stream.double = true
	case FaultReorderEvents:
		f.stream.reorder = true
	case FaultWrongAnswer:
		f.stream.wrong = true
	case FaultCutAfter:
		f.stream.cut = true
		f.stream.cutAfter = x.Tokens
		f.stream.cutClean = x.Clean
	case FaultReset:
		close(f.cleared)
		*f = newFaults()
	default:
		return &RequestError{fmt.Sprintf("%q is not a fault; use crash, crash_in_change, hang, slow, double_events, reorder_events, wrong_answer, cut_after or reset", x.Fault)}
	}
	return nil
}

// waitHang returns once the engine doesn't hang.
func (e *Engine) waitHang() {
	for {
		e.mu.Lock()
		hang, cleared := e.faults.hang, e.faults.cleared
		e.mu.Unlock()
		if !hang {
			return
		}
		<-cleared
	}
}

func (e *Engine) streamFaults() streamFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.stream
}
