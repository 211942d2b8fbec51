package quarantine

import "time"

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

// weight is how much speaks against the request.
func (r *record) weight() int {
	sum := 0
	var last time.Time
	for _, x := range r.crashes {
		switch {
		case !x.proven && !x.settled:
			sum += freshWeight
		case !x.proven:
			sum += settledWeight
		case last.IsZero() || x.at.Sub(last) >= moment:
			sum += settledWeight
			last = x.at
		}
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
