package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/thymerack/thymerack/coordination/origin"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// Origins knows which version of its runner's software began each stream.
type Origins interface {
	// Begin remembers a stream whose first event has come. The result's Wait is called before the caller gets that
	// event.
	Begin(r origin.Record) *origin.Writing
	// Version returns the version that began a stream, or an *origin.UnknownError.
	Version(ctx context.Context, q origin.Query) (string, error)
	// AwaitNoted waits until the store has noted a listed version of a service. It reports false if streams wait for that no
	// longer.
	AwaitNoted(ctx context.Context, service string) bool
}

const (
	// defaultStreamTime bounds the age of a stream whose route has no time-out: callers wait for 15 s at most.
	defaultStreamTime = 15 * time.Second
	// streamTimeSlack is added to that time: clients' clocks, and the way to a host and back.
	streamTimeSlack = 5 * time.Second
)

// errVersionGone is the cause of the refusal of a stream whose version has no runner any more.
var errVersionGone = errors.New("no runner of the version that began the stream is left; ask again from the start")

// bindVersion binds a request that takes a stream up to the version that began it. It returns the refusal of one whose
// version isn't known, or has no runner that accepts work.
func (d *Dispatcher) bindVersion(ctx context.Context, r *Request, rec *record) error {
	if r.LastEventID == "" || r.Route.Kind != state.RouteStream {
		return nil
	}
	q := origin.Query{ID: r.Resumes, Service: r.Service, MaxAge: max(r.Route.Timeout, defaultStreamTime) + streamTimeSlack}
	version, err := d.o.Origins.Version(ctx, q)
	if err != nil {
		return &Refusal{Reason: ReasonOrigin, NotRun: true, RetryAfter: d.addJitter(origin.RetryAfter), Cause: err}
	}
	rec.version = version
	if first, _ := d.o.Placer.EarliestAvailable(rec.pool(r), d.remainingPart(r, rec), nil); first == nil {
		return &Refusal{Reason: ReasonVersionGone, NotRun: true, Cause: fmt.Errorf("version %s of service %s: %w", version, r.Service, errVersionGone)}
	}
	return nil
}

// restrictToNoted has a stream that its caller may take up elsewhere begin only at a version that the store has noted: one that
// no store and no living host knows would be taken for another. While no such version has a runner, the stream waits for one, and
// begins at any version if that takes too long. It is called before each choice of a runner, since versions come and go while a
// request waits.
func (d *Dispatcher) restrictToNoted(ctx context.Context, r *Request, rec *record) {
	if r.Route.Kind != state.RouteStream || !r.Route.Resumable || r.LastEventID != "" || rec.version != "" {
		return
	}
	began, waited := d.o.Clock.Now(), false
	for ctx.Err() == nil {
		all, noted := d.o.Placer.NotedSize(r.Service)
		rec.notedOnly = noted > 0 || !rec.mayBeUnnoted
		if noted > 0 || all == 0 || rec.mayBeUnnoted {
			break
		}
		waited = true
		rec.mayBeUnnoted = !d.o.Origins.AwaitNoted(ctx, r.Service) && ctx.Err() == nil
	}
	if waited {
		d.o.Log.Info("stream waited for a noted version", "request_id", r.ID, "service", r.Service, "waited", d.o.Clock.Now().Sub(began), "noted_only", rec.notedOnly)
	}
}

// beginStream remembers the version that has brought the first event of a stream, before the caller gets it. Runs that brought none
// leave no record: a replica that missed the record of a later run would have the stream go on at the wrong version.
func (d *Dispatcher) beginStream(ctx context.Context, s *Stream) {
	r, version := s.a.Request, s.a.Instance.Version
	if r.Route.Kind != state.RouteStream || version == "" {
		return
	}
	d.o.Origins.Begin(origin.Record{ID: r.ID, Service: r.Service, Version: version, Attempt: s.rec.attempts}).Wait(ctx)
}

// pool returns the runners that may run the request: those of its service until the first event, of noted versions alone if it is
// restricted to them, and those of one version afterwards. Each choice of a runner is made from it.
func (r *record) pool(req *Request) placement.Pool {
	return placement.Pool{Service: req.Service, Version: r.version, Noted: r.version == "" && r.notedOnly}
}

// prefillPool returns the engines that may compute the prompt, which bring no event.
func (r *record) prefillPool(req *Request) placement.Pool {
	return placement.Pool{Service: req.Service, Version: r.version}
}

// mayRunAt reports whether the instance is of the version that the request is bound to, if it is bound to one.
func (r *record) mayRunAt(i *state.Instance) bool { return r.version == "" || r.version == i.Version }

// mayBeginAt reports whether the stream may begin at the instance: its version is noted, or the stream isn't restricted to noted ones.
func (d *Dispatcher) mayBeginAt(i *state.Instance, rec *record) bool {
	return rec.version != "" || !rec.notedOnly || d.o.Placer.IsNoted(i)
}
