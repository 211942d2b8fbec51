package origin

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// lookup is one search for the version of a stream.
type lookup struct {
	r *Registry
	q Query
	// versions are those that were seen, and age is the longest time for which somebody has looked.
	versions []string
	age      time.Duration

	// answers receives one answer of each replica, of which some are outstanding.
	answers     chan answer
	outstanding int
	// answered is the number of replicas that answered, and lacking that of those among them that have no record and would
	// have it.
	answered, lacking int
	// latest is the record of the latest attempt, if one was found.
	latest Record
	found  bool
}

// answer is a replica's.
type answer struct {
	Finding
	err error
}

// run returns the version and what it is known by.
func (l *lookup) run(ctx context.Context) (string, Source) {
	own := l.r.Find(l.q)
	if own.Found {
		return own.Record.Version, SourceHost
	}
	l.add(own)
	replicas := l.r.o.Replicas(cmp.Or(l.q.ID, l.q.Service)) // some hosts that tell what they have seen, if no stream is named
	ctx, cancel := context.WithTimeout(ctx, 2*askTimeout)
	defer cancel()
	l.ask(ctx, replicas)
	majority := len(replicas)/2 + 1
	l.collect(majority, majority)
	// Lists and replicas may not know yet a version that has just come; the store does. Without the store all replicas must lack
	// the record: a host that reaches no majority of them begins a stream all the same.
	if !l.found && len(l.versions) <= 1 && !l.addLedger(ctx) {
		l.collect(majority, len(replicas))
		if !l.found && l.lacking < len(replicas) {
			return "", SourceNone
		}
	}
	switch {
	case l.found:
		return l.latest.Version, SourceReplica
	case len(l.versions) == 1 && l.age >= l.q.MaxAge:
		return l.versions[0], SourceSingle
	default:
		return "", SourceNone
	}
}

// add notes what a host has seen.
func (l *lookup) add(f Finding) {
	l.age = max(l.age, f.Age)
	l.addVersions(f.Versions)
}

func (l *lookup) addVersions(versions []string) {
	for _, v := range versions {
		if !slices.Contains(l.versions, v) {
			l.versions = append(l.versions, v)
		}
	}
}

// addLedger notes the versions that the store has of the service, and reports whether it has a note. A note tells of streams of
// Retention, also if the hosts that were there then are gone.
func (l *lookup) addLedger(ctx context.Context) bool {
	versions, err := l.r.o.Ledger.Read(ctx, l.q.Service)
	if err != nil {
		l.r.o.Log.Info("versions of a service not read from the store", "service", l.q.Service, "cause", err.Error())
		return false
	}
	if l.q.MaxAge <= Retention {
		l.age = l.q.MaxAge
	}
	l.addVersions(versions)
	return true
}

// ask asks the replicas.
func (l *lookup) ask(ctx context.Context, replicas []string) {
	l.answers, l.outstanding = make(chan answer, len(replicas)), len(replicas)
	for _, addr := range replicas {
		if addr == l.r.o.Self {
			l.answers <- answer{Finding: l.r.Find(l.q)}
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			f, err := l.r.o.Peers.Find(ctx, addr, l.q)
			l.answers <- answer{f, err}
		}()
	}
}

// collect reads answers until toFind replicas have answered and one of them has a record, or toLack replicas lack one, or all have
// answered. Records of several attempts may be found; the latest one is at each majority.
func (l *lookup) collect(toFind, toLack int) {
	for l.outstanding > 0 && !(l.found && l.answered >= toFind) && l.lacking < toLack {
		a := <-l.answers
		l.outstanding--
		if a.err != nil {
			continue
		}
		l.answered++
		l.add(a.Finding)
		if a.Found && (!l.found || a.Record.Attempt > l.latest.Attempt) {
			l.latest, l.found = a.Record, true
		}
		if !a.Found && a.Age >= l.q.MaxAge {
			l.lacking++ // one that started later may have lost the record
		}
	}
}
