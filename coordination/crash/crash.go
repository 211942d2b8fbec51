// Package crash detects runners that crashed while requests of this host ran there. It
// distinguishes them from runners that are partitioned, suspended, slow or leaving, or that
// lost a single answer.
//
// A run is one process of a runner, from its start to its end; a runner that restarts has a
// new run under the same name.
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
	// probeTimeout bounds one probe of a runner: thirty round trips between failure
	// domains.
	probeTimeout = 100 * time.Millisecond
	// probeInterval is the pause between two probes of a silent runner: it may be
	// partitioned for a moment, or its process may still be exiting.
	probeInterval = 200 * time.Millisecond
	// maxProbeDuration bounds the probing of a run. By then a runner that restarted is
	// listed with another run, which shows that the first one ended, and a runner that is
	// still silent is no longer listed.
	maxProbeDuration = 15 * time.Second
	// reportDelay is the pause before a crash is reported, in which the other requests that
	// the crash broke off are noticed: they end within a few milliseconds.
	reportDelay = 20 * time.Millisecond
	// lateWindow is how long requests that are found to have broken off later are added to
	// a crash: the end of a connection may be a retransmission or two late.
	lateWindow = 2 * time.Second
)

// RunStatus is the status of a run of a runner as a probe finds it.
type RunStatus int

// The statuses of a run.
const (
	// Silent means that the run doesn't answer: it may be partitioned, suspended or gone.
	Silent RunStatus = iota
	// Alive means that the run answers.
	Alive
	// Ended means that the run is over: nothing listens at its address, or another run
	// does.
	Ended
)

// Report is a crash of a run with the requests of this host that ran there.
type Report struct {
	Instance *state.Instance
	Suspects []quarantine.Suspect
	// Late reports that the crash was reported before and that Suspects were found since.
	Late bool
}

// Options configures a Detector. All fields are required.
type Options struct {
	// Probe finds out the status of a run. It returns Silent when ctx ends.
	Probe func(ctx context.Context, i *state.Instance) RunStatus
	// Listed reports whether the run is listed and not leaving, Replaced whether another
	// run is listed at its address.
	Listed, Replaced func(i *state.Instance) bool
	// OnCrash is called with each crash, and again with requests that are found later.
	OnCrash func(Report)
	Clock   state.Clock
	Log     *slog.Logger
}

// Detector investigates runs at which requests broke off. It is safe for concurrent use.
type Detector struct {
	o   Options
	ctx context.Context

	mu sync.Mutex
	// open contains the investigations under way.
	open map[state.InstanceID]*investigation
}

// investigation is the state of an investigation of one run.
type investigation struct {
	instance *state.Instance
	// suspects are the requests that broke off at the run and haven't been reported yet.
	suspects []quarantine.Suspect
	// endedAt is when the run was found to have ended; zero until then.
	endedAt time.Time
}

// New returns an error if an option is missing. Investigations stop when ctx ends.
func New(ctx context.Context, o Options) (*Detector, error) {
	if o.Probe == nil || o.Listed == nil || o.Replaced == nil || o.OnCrash == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("crash: a field of Options is missing; set all of them")
	}
	return &Detector{o: o, ctx: ctx, open: map[state.InstanceID]*investigation{}}, nil
}

// ReportBroken records that a request broke off at a runner before its answer was complete,
// and starts an investigation if there is none of that run. It doesn't block.
func (d *Detector) ReportBroken(i *state.Instance, s quarantine.Suspect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if inv := d.open[i.ID]; inv != nil {
		inv.suspects = append(inv.suspects, s)
		return
	}
	// The platform stops a leaving runner regardless of the requests that run there.
	if d.ctx.Err() != nil || !d.o.Listed(i) {
		return
	}
	inv := &investigation{instance: i, suspects: []quarantine.Suspect{s}}
	d.open[i.ID] = inv
	go d.investigate(inv)
}

// investigate waits for the status of a run and, if the run has ended, reports the crash.
func (d *Detector) investigate(inv *investigation) {
	defer d.remove(inv)
	if d.awaitStatus(inv.instance) != Ended {
		return
	}
	d.mu.Lock()
	inv.endedAt = d.o.Clock.Now()
	d.mu.Unlock()
	pause := reportDelay
	for late := false; d.o.Clock.Now().Sub(inv.endedAt) < lateWindow; late = true {
		if d.o.Clock.Sleep(d.ctx, pause) != nil {
			return
		}
		d.report(inv, late)
		pause = probeInterval
	}
}

// awaitStatus probes a run until it answers or is known to have ended, or until
// maxProbeDuration has passed.
func (d *Detector) awaitStatus(i *state.Instance) RunStatus {
	for began := d.o.Clock.Now(); d.o.Clock.Now().Sub(began) < maxProbeDuration; {
		if d.o.Replaced(i) {
			return Ended
		}
		if status := d.probe(i); status != Silent {
			return status
		}
		if d.o.Clock.Sleep(d.ctx, probeInterval) != nil {
			break
		}
	}
	return Silent
}

// probe probes a run once, within probeTimeout.
func (d *Detector) probe(i *state.Instance) RunStatus {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	return d.o.Probe(ctx, i)
}

// report reports the suspects that haven't been reported yet.
func (d *Detector) report(inv *investigation, late bool) {
	d.mu.Lock()
	suspects := inv.suspects
	inv.suspects = nil
	d.mu.Unlock()
	if len(suspects) == 0 {
		return
	}
	d.o.Log.Info("runner crashed", "instance", inv.instance.ID, "service", inv.instance.Service, "late", late, "requests", len(suspects), "suspects", formatSuspects(suspects))
	d.o.OnCrash(Report{Instance: inv.instance, Suspects: suspects, Late: late})
}

// remove ends an investigation.
func (d *Detector) remove(inv *investigation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, inv.instance.ID)
}

// maxDescribed bounds the requests that a log line lists.
const maxDescribed = 20

// formatSuspects returns the requests by id and digest, with the shared parts of their prompts, recently started ones
// first.
func formatSuspects(suspects []quarantine.Suspect) []string {
	var recent, settled []string
	for _, s := range suspects {
		text := s.RequestID + "=" + s.Digest.String()
		for _, part := range s.Parts {
			text += "+" + part.String()
		}
		if s.LongRunning {
			settled = append(settled, text+" settled")
			continue
		}
		recent = append(recent, text)
	}
	all := append(recent, settled...)
	return all[:min(len(all), maxDescribed)]
}
