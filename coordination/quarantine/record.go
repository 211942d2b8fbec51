package quarantine

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// record has the crashes that count against one request.
type record struct {
	// createdAt is when this host created the record.
	createdAt time.Time
	crashes   []recordedCrash
	// local says that this host saw one of the crashes itself.
	local bool
	// released says that the request is on trial: the next unexplained crash holds it again.
	released bool
	// crashesAtRelease is len(crashes) at the time when the request was released as a bystander; 0
	// if it wasn't. Any further crash holds the request again.
	crashesAtRelease int
}

// recordedCrash is one crash at which a request ran. longRunning and answeredBefore are as in
// Suspect; at is when this host recorded the crash.
type recordedCrash struct {
	Evidence
	longRunning, answeredBefore bool
	at                          time.Time
}

// weight returns how much the crash counts against the request.
func (c recordedCrash) weight() int {
	if c.answeredBefore || c.longRunning {
		return reducedWeight
	}
	return fullWeight
}

// crashedRun is one run of a runner that crashed.
type crashedRun struct {
	// createdAt is when this host first recorded the crash.
	createdAt time.Time
	suspects  []Digest
	// answered are the shared parts that ran there and have been answered since.
	answered []Digest
	// heldSuspects are the requests that ran there and are held. While there are any, they explain
	// the crash to all other requests.
	heldSuspects []Digest
}

// explainedByOther reports whether a request other than d is held for the crash.
func (c *crashedRun) explainedByOther(d Digest) bool {
	return c != nil && slices.ContainsFunc(c.heldSuspects, func(held Digest) bool { return held != d })
}

// addHeldSuspect adds a held request that ran there.
func (c *crashedRun) addHeldSuspect(d Digest) {
	if !slices.Contains(c.heldSuspects, d) {
		c.heldSuspects = append(c.heldSuspects, d)
	}
}

// lastCrashOf returns the index of the last recorded crash of a run, or -1.
func (r *record) lastCrashOf(run state.InstanceID) int {
	for i := len(r.crashes) - 1; i >= 0; i-- {
		if r.crashes[i].run() == run {
			return i
		}
	}
	return -1
}

// inCurrentBurst reports whether a crash at the given time belongs to the same burst as the last
// recorded crash of a copy that was answered before.
func (r *record) inCurrentBurst(now time.Time) bool {
	for i := len(r.crashes) - 1; i >= 0; i-- {
		if r.crashes[i].answeredBefore {
			return now.Sub(r.crashes[i].at) < burstWindow
		}
	}
	return false
}

// strictlyCovers reports whether the request ran at all the crashes of another one, which must be
// two or more, and at others besides.
func (r *record) strictlyCovers(runs []state.InstanceID) bool {
	own := r.runs()
	return len(runs) > 1 && len(own) > len(runs) && !slices.ContainsFunc(runs, func(run state.InstanceID) bool { return !slices.Contains(own, run) })
}

// runs returns the runs that crashed, each once.
func (r *record) runs() []state.InstanceID {
	var out []state.InstanceID
	for _, c := range r.crashes {
		if !slices.Contains(out, c.run()) {
			out = append(out, c.run())
		}
	}
	return out
}

// evidence returns the crashes as shown to operators.
func (r *record) evidence() []Evidence {
	out := make([]Evidence, 0, len(r.crashes))
	for _, c := range r.crashes {
		out = append(out, c.Evidence)
	}
	return out
}
