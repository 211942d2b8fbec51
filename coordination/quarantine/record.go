package quarantine

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// record is what is known of one request.
type record struct {
	// at is when it was made.
	at      time.Time
	crashes []exposure
	own     bool
	// released requests are held again by any crash.
	released bool
}

// exposure is one crash at which a request ran.
type exposure struct {
	Evidence
	settled, proven bool
	at              time.Time
}

// ended is a run that crashed.
type ended struct {
	// at is when it was made.
	at       time.Time
	suspects []Digest
	// explained runs had a request that is held: the others have nothing to do with it.
	explained bool
}

// last is the index of the last crash that is known of a run, or -1.
func (r *record) last(run state.InstanceID) int {
	for i := len(r.crashes) - 1; i >= 0; i-- {
		if r.crashes[i].run() == run {
			return i
		}
	}
	return -1
}

// sameMoment reports whether a crash at a time belongs to the moment of the last one that the
// request was at although a copy had been answered.
func (r *record) sameMoment(now time.Time) bool {
	for i := len(r.crashes) - 1; i >= 0; i-- {
		if r.crashes[i].proven {
			return now.Sub(r.crashes[i].at) < moment
		}
	}
	return false
}

// weight is how much speaks against the request.
func (r *record) weight() int {
	sum := 0
	for _, x := range r.crashes {
		if x.proven || x.settled {
			sum += settledWeight
			continue
		}
		sum += freshWeight
	}
	return sum
}

// evidence is the crashes as operators see them.
func (r *record) evidence() []Evidence {
	out := make([]Evidence, 0, len(r.crashes))
	for _, x := range r.crashes {
		out = append(out, x.Evidence)
	}
	return out
}
