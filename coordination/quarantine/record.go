package quarantine

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// record is what is known of one request.
type record struct {
	// createdAt is when it was made.
	createdAt time.Time
	crashes   []recordedCrash
	local     bool
	// released requests are held again by any crash.
	released bool
	// crashesAtRelease is how many crashes there were when another was found to have been at all of them
	// and at more; 0 for none. Any further one holds the request again.
	crashesAtRelease int
}

// recordedCrash is one crash at which a request ran.
type recordedCrash struct {
	Evidence
	longRunning, answeredBefore bool
	at                          time.Time
}

// weight is how much the crash speaks against the request.
func (c recordedCrash) weight() int {
	if c.answeredBefore || c.longRunning {
		return reducedWeight
	}
	return fullWeight
}

// crashedRun is a run that crashed.
type crashedRun struct {
	// createdAt is when it was made.
	createdAt time.Time
	suspects  []Digest
	// heldSuspects are the requests that ran there and are held: it says nothing against others
	// while they are.
	heldSuspects []Digest
}

// explainedByOther reports whether a request other than that one is held for the crash.
func (c *crashedRun) explainedByOther(d Digest) bool {
	return c != nil && slices.ContainsFunc(c.heldSuspects, func(held Digest) bool { return held != d })
}

// addHeldSuspect notes a request that ran there and is held.
func (c *crashedRun) addHeldSuspect(d Digest) {
	if !slices.Contains(c.heldSuspects, d) {
		c.heldSuspects = append(c.heldSuspects, d)
	}
}

// lastCrashOf is the index of the lastCrashOf crash that is known of a run, or -1.
func (r *record) lastCrashOf(run state.InstanceID) int {
	for i := len(r.crashes) - 1; i >= 0; i-- {
		if r.crashes[i].run() == run {
			return i
		}
	}
	return -1
}

// inCurrentBurst reports whether a crash at a time belongs to the moment of the last one that the
// request was at although a copy had been answered.
func (r *record) inCurrentBurst(now time.Time) bool {
	for i := len(r.crashes) - 1; i >= 0; i-- {
		if r.crashes[i].answeredBefore {
			return now.Sub(r.crashes[i].at) < burstWindow
		}
	}
	return false
}

// strictlyCovers reports whether the request was at all the crashes of another, two or more, and at
// others besides.
func (r *record) strictlyCovers(runs []state.InstanceID) bool {
	own := r.runs()
	return len(runs) > 1 && len(own) > len(runs) && !slices.ContainsFunc(runs, func(run state.InstanceID) bool { return !slices.Contains(own, run) })
}

// runs are those of the crashes, each once.
func (r *record) runs() []state.InstanceID {
	var out []state.InstanceID
	for _, c := range r.crashes {
		if !slices.Contains(out, c.run()) {
			out = append(out, c.run())
		}
	}
	return out
}

// evidence is the crashes as operators see them.
func (r *record) evidence() []Evidence {
	out := make([]Evidence, 0, len(r.crashes))
	for _, c := range r.crashes {
		out = append(out, c.Evidence)
	}
	return out
}
