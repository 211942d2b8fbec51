package quarantine

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// LongRunningAfter is how long a request must have been at its runner, and its answer have begun,
// for it to be settled. A request that crashes its runner does so when it begins to run, some
// tenths of a second after it was sent.
const LongRunningAfter = time.Second

// Suspect is a request that ran at a runner when that crashed.
type Suspect struct {
	Digest Digest
	// RequestID is that of the caller's attempt.
	RequestID string
	// SentAt is when it was sent to the runner, by the clock of the host that knows it here.
	SentAt time.Time
	// LongRunning says that its answer had been coming for a while.
	LongRunning bool
	// AnsweredBefore says that a copy of the request was answered before.
	AnsweredBefore bool
}

// Crash is the end of one run of a runner, with what a host had there.
type Crash struct {
	Run state.InstanceID
	// Host is the one that tells, At the time of day at which it noticed.
	Host     string
	At       time.Time
	Suspects []Suspect
}

// Evidence is a crash that is held against a request, as operators see it.
type Evidence struct {
	Runner string `json:"runner"`
	// Born is when the run of the runner began, in Unix milliseconds; 0 if it isn't known.
	Born int64 `json:"born,omitempty"`
	// RequestID is the caller's attempt that ran, and Host the one that sent it.
	RequestID string    `json:"request_id"`
	Host      string    `json:"host"`
	At        time.Time `json:"at"`
}

func (e Evidence) run() state.InstanceID { return state.InstanceID{Name: e.Runner, Born: e.Born} }
