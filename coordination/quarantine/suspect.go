package quarantine

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// LongRunningAfter is how long a request must have been at its runner, with its answer begun, to
// count as long-running. A request that crashes its runner does so when it begins to run, a few
// tenths of a second after it was sent.
const LongRunningAfter = time.Second

// Suspect is a request that ran at a runner when the runner crashed.
type Suspect struct {
	Digest Digest
	// Parts are the digests of the shared parts of its prompt. A host reports them as suspects of their own.
	Parts []Digest
	// RequestID is the request id of the caller's attempt.
	RequestID string
	// SentAt is when the request was sent to the runner, by the clock of the host that has the
	// Suspect: it is converted when a notice arrives.
	SentAt time.Time
	// LongRunning says that the request had been at the runner for LongRunningAfter and its answer
	// had begun.
	LongRunning bool
	// AnsweredBefore says that the reporting host had recently seen a copy of the request answered.
	AnsweredBefore bool
}

// withParts returns the suspects and, after those with the same LongRunning, their parts, each part once.
func withParts(suspects []Suspect) []Suspect {
	out := make([]Suspect, 0, 2*len(suspects))
	for _, longRunning := range []bool{false, true} {
		reported := map[Digest]bool{}
		for _, s := range suspects {
			if s.LongRunning == longRunning {
				out = append(out, s.as(s.Digest))
			}
		}
		// The first parts come before the further ones, so that a request with many can't displace those of others.
		for n, more := 0, true; more; n++ {
			more = false
			for _, s := range suspects {
				if s.LongRunning != longRunning || n >= len(s.Parts) {
					continue
				}
				more = true
				if part := s.Parts[n]; !reported[part] {
					reported[part] = true
					out = append(out, s.as(part))
				}
			}
		}
	}
	return out
}

// as returns the suspect that is reported for one of the digests of a request.
func (s Suspect) as(d Digest) Suspect {
	return Suspect{Digest: d, RequestID: s.RequestID, SentAt: s.SentAt, LongRunning: s.LongRunning}
}

// Crash is the crash of one run of a runner, with the requests that one host had there.
type Crash struct {
	Run state.InstanceID
	// Host is the host that reports the crash, and At the time of day at which it noticed the
	// crash.
	Host     string
	At       time.Time
	Suspects []Suspect
}

// Evidence is a crash that counts against a request, as shown to operators.
type Evidence struct {
	Runner string `json:"runner"`
	// Born is when the run of the runner began, in Unix milliseconds; 0 if unknown.
	Born int64 `json:"born,omitempty"`
	// RequestID is the request id of the caller's attempt that ran, and Host the host that sent it.
	RequestID string    `json:"request_id"`
	Host      string    `json:"host"`
	At        time.Time `json:"at"`
	// Trial says that the request was sent while it was held, as a trial.
	Trial bool `json:"trial,omitempty"`
}

func (e Evidence) run() state.InstanceID { return state.InstanceID{Name: e.Runner, Born: e.Born} }
