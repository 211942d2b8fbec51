package origin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// ReplicaCount is the number of replicas of each record: of three, one may be lost.
	ReplicaCount = 3
	// writeTimeout bounds the time that the first event of a stream waits for its replicas: ten round trips
	// between failure domains.
	writeTimeout = 30 * time.Millisecond
	// askTimeout bounds a call that asks a replica, and copyTimeout one that sends it the records of a host.
	askTimeout  = 80 * time.Millisecond
	copyTimeout = time.Second
	// copySize is the number of records in one message.
	copySize = 500
	// RetryAfter is when a caller may come back with a stream whose version is unknown: another host may know
	// it, and this one may by then.
	RetryAfter = 100 * time.Millisecond
)

// Finding is what a replica knows of a stream and its service.
type Finding struct {
	// Record is the stream's; found is set if there is one.
	Record Record
	Found  bool
	// Versions are those of the service that were listed within the time that was asked for, and Noted those listed ones that the
	// store has noted, as far as the replica knows.
	Versions, Noted []string
	// Age is for how long the replica has kept records and followed the list.
	Age time.Duration
}

// Peers calls the registries of other hosts at their peer addresses.
type Peers interface {
	Write(ctx context.Context, addr string, records []Record) error
	Find(ctx context.Context, addr string, q Query) (Finding, error)
}

// Query asks for the version of a stream of a service. MaxAge is how long ago the stream may have begun.
type Query struct {
	ID, Service string
	MaxAge      time.Duration
}

// Source is what the version of a stream was known by.
type Source string

// The sources of a version.
const (
	SourceHost    Source = "host"    // this host's own record
	SourceReplica Source = "replica" // another host's
	SourceSingle  Source = "single"  // the service has had no other version
	SourceNone    Source = "unknown" // none; the stream must not go on
)

// Observer records metrics. It must be safe for concurrent use.
type Observer interface {
	// VersionAsked counts a stream that a caller took up, by what its version was known by.
	VersionAsked(service string, s Source)
	// OriginWritten counts a stream that was written to its replicas; acknowledged is set if a majority
	// answered in time.
	OriginWritten(service string, acknowledged bool)
	// BegunUnnoted counts a stream that begins although the store may have noted no version of its service.
	BegunUnnoted(service string)
}

// Options configures a Registry. All fields are required.
type Options struct {
	// Self is this host's peer address.
	Self    string
	Table   *Table
	History *History
	Peers   Peers
	// Replicas returns the peer addresses of the replicas of a stream, alike at all hosts with the same list.
	Replicas func(id string) []string
	// Ledger is read if nobody has a record of a stream.
	Ledger   *Ledger
	Observer Observer
	Clock    state.Clock
	Log      *slog.Logger
}

// Registry writes and looks up the versions of streams. It is safe for concurrent use.
type Registry struct{ o Options }

// New returns an error if an option is missing.
func New(o Options) (*Registry, error) {
	if o.Self == "" || o.Table == nil || o.History == nil || o.Peers == nil || o.Replicas == nil || o.Ledger == nil || o.Observer == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("origin: a field of Options is missing; set all of them")
	}
	r := &Registry{o}
	o.Ledger.askPeers = r.askNoted
	return r, nil
}

// UnknownError reports that the version that began a stream isn't known.
type UnknownError struct {
	Query
	// Versions are those that may have begun it.
	Versions []string
}

// Error implements error.
func (e *UnknownError) Error() string {
	if e.ID == "" {
		return fmt.Sprintf("the request doesn't name the attempt that brought the stream's first event, and service %q has had versions %q; name it in Resumes, or ask again from the start", e.Service, e.Versions)
	}
	return fmt.Sprintf("the version that began stream %s at service %q isn't known here (of %q); send the request again, another host may know it, or ask again from the start", e.ID, e.Service, e.Versions)
}

// Writing is a record on its way to the replicas.
type Writing struct {
	r       *Registry
	service string
	// done receives true if a majority has the record.
	done chan bool
}

// Begin remembers a stream whose first event has come, and writes it to the replicas if its service has had several
// versions. Wait must be called before the caller gets the first event.
func (r *Registry) Begin(rec Record) *Writing {
	r.o.Table.Put(rec)
	if len(r.o.History.Versions(rec.Service, Retention)) < 2 {
		return nil
	}
	w := &Writing{r: r, service: rec.Service, done: make(chan bool, 1)}
	go w.write(rec, r.o.Replicas(rec.ID))
	return w
}

// write sends the record and reports whether a majority of the replicas has it.
func (w *Writing) write(rec Record, replicas []string) {
	errs := make(chan error, len(replicas))
	for _, addr := range replicas {
		if addr == w.r.o.Self {
			errs <- nil
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
			defer cancel()
			errs <- w.r.o.Peers.Write(ctx, addr, []Record{rec})
		}()
	}
	written := 0
	for range replicas {
		if <-errs == nil {
			written++
		}
		if written > len(replicas)/2 {
			w.done <- true
			return
		}
	}
	w.done <- false
}

// Wait waits until a majority of the replicas has the record, at most for writeTimeout. Without a majority the
// stream begins all the same: a host that finds no record doesn't let it go on at another version. It does nothing on nil.
func (w *Writing) Wait(ctx context.Context) {
	if w == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	select {
	case ok := <-w.done:
		w.r.o.Observer.OriginWritten(w.service, ok)
	case <-ctx.Done():
		w.r.o.Observer.OriginWritten(w.service, false)
	}
}

// Update replaces the list of versions. The streams that this host began while a service had one version are written to
// their replicas once it has a second one.
func (r *Registry) Update(l Listing) {
	for _, service := range r.o.History.Update(l) {
		records := r.o.Table.OfService(service)
		r.o.Log.Info("runners of several versions serve", "service", service, "versions", l[service], "streams", len(records))
		go r.copyToReplicas(records)
	}
	r.o.Ledger.retain(l)
	r.o.Ledger.Wake()
}

// copyToReplicas sends records to their replicas, in few messages.
func (r *Registry) copyToReplicas(records []Record) {
	byReplica := map[string][]Record{}
	for _, rec := range records {
		for _, addr := range r.o.Replicas(rec.ID) {
			if addr != r.o.Self {
				byReplica[addr] = append(byReplica[addr], rec)
			}
		}
	}
	for addr, all := range byReplica {
		for part := range slices.Chunk(all, copySize) {
			ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
			err := r.o.Peers.Write(ctx, addr, part)
			cancel()
			if err != nil {
				r.o.Log.Info("streams not written to a replica of their versions", "replica", addr, "streams", len(part), "cause", err.Error())
				break
			}
		}
	}
}

// AwaitNoted waits until the store has noted a listed version of a service. It reports false, and counts a stream, if streams
// wait for that no longer.
func (r *Registry) AwaitNoted(ctx context.Context, service string) bool {
	if r.o.Ledger.AwaitNoted(ctx, service) {
		return true
	}
	r.o.Observer.BegunUnnoted(service)
	r.o.Log.Warn("stream begins at a version that the store hasn't noted", "service", service, "versions", r.o.History.Versions(service, 0))
	return false
}

// Find answers another host that looks a stream up.
func (r *Registry) Find(q Query) Finding {
	f := Finding{Versions: r.o.History.Versions(q.Service, q.MaxAge), Noted: r.o.Ledger.Noted(q.Service), Age: min(r.o.Table.Age(), r.o.History.Age())}
	f.Record, f.Found = r.o.Table.Get(q.ID)
	return f
}

// Version returns the version that began a stream, or an *UnknownError.
func (r *Registry) Version(ctx context.Context, q Query) (string, error) {
	l := &lookup{r: r, q: q}
	version, source := l.run(ctx)
	r.o.Observer.VersionAsked(q.Service, source)
	r.o.Log.Info("version of a resumed stream", "resumes", q.ID, "service", q.Service, "runner_version", version, "known_by", string(source), "versions", l.versions, "replicas", l.answered, "age", l.age)
	if source == SourceNone {
		return "", &UnknownError{Query: q, Versions: l.versions}
	}
	return version, nil
}
