package platform

import (
	"fmt"
	"sync"
	"time"
)

// The faults that a POST to /fault sets.
const (
	// FaultDown answers no call: mode "refuse" cuts the connection at once,
	// mode "hang" holds it until the reset.
	FaultDown = "down"
	// FaultSlow delays every call by delay_ms.
	FaultSlow = "slow"
	// FaultLoseAnswers lets the next count writes take effect and cuts their
	// connections.
	FaultLoseAnswers = "lose_answers"
	// FaultWatchGap makes every watch see a gap once.
	FaultWatchGap = "watch_gap"
	// FaultStaleHosts freezes the host list.
	FaultStaleHosts = "stale_hosts"
	// FaultReset ends every fault.
	FaultReset = "reset"
)

// The modes of FaultDown.
const (
	ModeRefuse = "refuse"
	ModeHang   = "hang"
)

// Fault is the body of a POST to /fault.
type Fault struct {
	Fault       string `json:"fault"`
	Mode        string `json:"mode,omitempty"`
	DelayMillis int    `json:"delay_ms,omitempty"`
	Count       int    `json:"count,omitempty"`
}

// faults holds the faults in force.
type faults struct {
	mu          sync.Mutex
	down        string
	delay       time.Duration
	loseAnswers int
	// cleared is closed by the next reset; outage when the platform goes down,
	// and it stays closed until the reset.
	cleared chan struct{}
	outage  chan struct{}
}

func newFaults() *faults {
	return &faults{cleared: make(chan struct{}), outage: make(chan struct{})}
}

// set puts a fault of the call path in force.
func (f *faults) set(x Fault) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch x.Fault {
	case FaultDown:
		if x.Mode != ModeRefuse && x.Mode != ModeHang {
			return fmt.Errorf("%q is not a mode of %s; use %s or %s", x.Mode, FaultDown, ModeRefuse, ModeHang)
		}
		if f.down == "" {
			close(f.outage)
		}
		f.down = x.Mode
	case FaultSlow:
		f.delay = time.Duration(x.DelayMillis) * time.Millisecond
	case FaultLoseAnswers:
		f.loseAnswers = x.Count
	case FaultReset:
		if f.down != "" {
			f.outage = make(chan struct{})
		}
		f.down = ""
		f.delay = 0
		f.loseAnswers = 0
		close(f.cleared)
		f.cleared = make(chan struct{})
	default:
		return fmt.Errorf("%q is not a fault; use %s, %s, %s, %s, %s or %s", x.Fault,
			FaultDown, FaultSlow, FaultLoseAnswers, FaultWatchGap, FaultStaleHosts, FaultReset)
	}
	return nil
}

// present returns the mode of an outage, empty for none, and the channel that
// the reset closes.
func (f *faults) present() (string, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.cleared
}

// slowness is the delay of every call.
func (f *faults) slowness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

// outages returns the channel that is closed during the present or next outage.
func (f *faults) outages() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

// loseAnswer reports whether the answer of a write that took effect is lost.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseAnswers == 0 {
		return false
	}
	f.loseAnswers--
	return true
}
