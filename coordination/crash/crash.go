// Package crash tells the runners that crashed under this host's requests from those that
// are cut off, stand still, are slow, leave, or lost one answer.
package crash

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

const (
	// askTimeout bounds a question to a runner: thirty round trips between failure domains.
	askTimeout = 100 * time.Millisecond
	// askEvery is the pause between two questions to a runner that says nothing: it may be
	// cut off for a moment, or its process may still be ending.
	askEvery = 200 * time.Millisecond
	// askFor bounds the questions. A runner that is back by then in the list is known to
	// have ended by that; one that is still silent has left the list.
	askFor = 15 * time.Second
	// gather is the pause before a crash is reported, in which the other requests that it
	// broke off are noticed: they end within a few milliseconds.
	gather = 20 * time.Millisecond
	// lateFor is how long work that breaks off later is added to a crash: a connection's
	// end may be a retransmission or two behind.
	lateFor = 2 * time.Second
)

// Fate is what became of a run of a runner.
type Fate int

// The fates of a run.
const (
	// Silent runs say nothing: they may be cut off, stand still or be gone.
	Silent Fate = iota
	// Alive runs answer.
	Alive
	// Ended runs are over: nobody listens at their address, or another run does.
	Ended
)

// Report is a crash of a run with all that this host had there.
type Report struct {
	Instance *state.Instance
	Suspects []quarantine.Suspect
	// Late says that the crash was reported before, and that this is work found since.
	Late bool
}

// Options configure a Detector. All fields are required.
type Options struct {
	// Probe asks a run whether it is there.
	Probe func(ctx context.Context, i *state.Instance) Fate
	// Listed reports whether the list has the run, and not as one that leaves. Replaced
	// reports whether the list has another run at its address.
	Listed, Replaced func(i *state.Instance) bool
	// Crashed is called with each crash, and again with work that is found later.
	Crashed func(Report)
	Clock   state.Clock
	Log     *slog.Logger
}

// Detector looks after runners at which work broke off. It is safe for concurrent use.
type Detector struct {
	o   Options
	ctx context.Context

	mu   sync.Mutex
	runs map[state.InstanceID]*inquiry
}

// inquiry is what is asked of one run.
type inquiry struct {
	instance *state.Instance
	// suspects broke off there and weren't reported yet.
	suspects []quarantine.Suspect
	// endedAt is when the run was found to have ended; zero before.
	endedAt time.Time
}

// New validates the options. Questions end with ctx.
func New(ctx context.Context, o Options) (*Detector, error) {
	if o.Probe == nil || o.Listed == nil || o.Replaced == nil || o.Crashed == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("crash: a field of Options is missing; set all of them")
	}
	return &Detector{o: o, ctx: ctx, runs: map[state.InstanceID]*inquiry{}}, nil
}

// Broke notes that work broke off at a runner without its end. It doesn't wait.
func (d *Detector) Broke(i *state.Instance, s quarantine.Suspect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q := d.runs[i.ID]; q != nil {
		q.suspects = append(q.suspects, s)
		return
	}
	// The platform takes a leaving runner away, whatever runs there.
	if d.ctx.Err() != nil || !d.o.Listed(i) {
		return
	}
	q := &inquiry{instance: i, suspects: []quarantine.Suspect{s}}
	d.runs[i.ID] = q
	go d.inquire(q)
}

// inquire finds out what became of a run, and reports its crash.
func (d *Detector) inquire(q *inquiry) {
	defer d.forget(q)
	if d.fate(q.instance) != Ended {
		return
	}
	d.mu.Lock()
	q.endedAt = d.o.Clock.Now()
	d.mu.Unlock()
	pause := gather
	for late := false; d.o.Clock.Now().Sub(q.endedAt) < lateFor; late = true {
		if d.o.Clock.Sleep(d.ctx, pause) != nil {
			return
		}
		d.report(q, late)
		pause = askEvery
	}
}

// fate asks until the run answers or is known to have ended.
func (d *Detector) fate(i *state.Instance) Fate {
	for began := d.o.Clock.Now(); d.o.Clock.Now().Sub(began) < askFor; {
		if d.o.Replaced(i) {
			return Ended
		}
		if f := d.probe(i); f != Silent {
			return f
		}
		if d.o.Clock.Sleep(d.ctx, askEvery) != nil {
			break
		}
	}
	return Silent
}

func (d *Detector) probe(i *state.Instance) Fate {
	ctx, cancel := context.WithTimeout(d.ctx, askTimeout)
	defer cancel()
	return d.o.Probe(ctx, i)
}

// report passes on the work that wasn't yet.
func (d *Detector) report(q *inquiry, late bool) {
	d.mu.Lock()
	suspects := q.suspects
	q.suspects = nil
	d.mu.Unlock()
	if len(suspects) == 0 {
		return
	}
	d.o.Log.Info("runner crashed", "instance", q.instance.ID, "service", q.instance.Service, "late", late, "requests", len(suspects), "suspects", describe(suspects))
	d.o.Crashed(Report{Instance: q.instance, Suspects: suspects, Late: late})
}

func (d *Detector) forget(q *inquiry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.runs, q.instance.ID)
}

// mostDescribed bounds the requests that a log line names.
const mostDescribed = 20

// describe names requests by their ids and digests, those first that had just begun.
func describe(suspects []quarantine.Suspect) []string {
	var fresh, settled []string
	for _, s := range suspects {
		text := s.RequestID + "=" + s.Digest.String()
		if s.LongRunning {
			settled = append(settled, text+" settled")
			continue
		}
		fresh = append(fresh, text)
	}
	all := append(fresh, settled...)
	return all[:min(len(all), mostDescribed)]
}
