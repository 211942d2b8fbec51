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
	// versions are those that were seen, age is the longest time for which somebody has looked, and answered
	// the number of replicas that told.
	versions []string
	age      time.Duration
	answered int
}

// run returns the version and what it is known by.
func (l *lookup) run(ctx context.Context) (string, Source) {
	own := l.r.Find(l.q)
	if own.Found {
		return own.Record.Version, SourceHost
	}
	l.add(own)
	replicas := l.r.o.Replicas(cmp.Or(l.q.ID, l.q.Service)) // some hosts that tell what they have seen, if no stream is named
	if rec, found := l.ask(ctx, replicas); found {
		return rec.Version, SourceReplica
	}
	if len(l.versions) > 1 {
		return "", SourceNone
	}
	// Lists and replicas may not know yet a version that has just come. The store does; without it, a majority of the replicas
	// would have the record.
	if noted := l.addLedger(ctx); !noted && l.answered <= len(replicas)/2 {
		return "", SourceNone
	}
	if len(l.versions) != 1 || l.age < l.q.MaxAge {
		return "", SourceNone
	}
	return l.versions[0], SourceSingle
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
// Retention, so that the hosts that were there then may be gone.
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

// ask asks the replicas, until a majority has answered, or all have. Records of several attempts may be found; the latest
// one is at each majority.
func (l *lookup) ask(ctx context.Context, replicas []string) (Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type answer struct {
		Finding
		err error
	}
	answers := make(chan answer, len(replicas))
	for _, addr := range replicas {
		if addr == l.r.o.Self {
			answers <- answer{Finding: l.r.Find(l.q)}
			continue
		}
		go func() {
			f, err := l.r.o.Peers.Find(ctx, addr, l.q)
			answers <- answer{f, err}
		}()
	}
	var latest Record
	found, told, majority := false, 0, len(replicas)/2+1
	for range replicas {
		a := <-answers
		if a.err != nil {
			continue
		}
		told++
		l.add(a.Finding)
		if a.Found && (!found || a.Record.Attempt > latest.Attempt) {
			latest, found = a.Record, true
		}
		if a.Age >= l.q.MaxAge {
			l.answered++ // one that started later may have lost the record
		}
		if found && told >= majority || l.answered >= majority {
			break
		}
	}
	return latest, found
}
