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
	// probeTimeout bounds a question to a runner: thirty round trips between failure domains.
	probeTimeout = 100 * time.Millisecond
	// probeInterval is the pause between two questions to a runner that says nothing: it may be
	// cut off for a moment, or its process may still be ending.
	probeInterval = 200 * time.Millisecond
	// maxProbeDuration bounds the questions. A runner that is back by then in the list is known to
	// have ended by that; one that is still silent has left the list.
	maxProbeDuration = 15 * time.Second
	// reportDelay is the pause before a crash is reported, in which the other requests that it
	// broke off are noticed: they end within a few milliseconds.
	reportDelay = 20 * time.Millisecond
	// lateWindow is how long work that breaks off later is added to a crash: a connection's
	// end may be a retransmission or two behind.
	lateWindow = 2 * time.Second
)

// RunStatus is what became of a run of a runner.
type RunStatus int

// The fates of a run.
const (
	// Silent runs say nothing: they may be cut off, stand still or be gone.
	Silent RunStatus = iota
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
	Probe func(ctx context.Context, i *state.Instance) RunStatus
	// Listed reports whether the list has the run, and not as one that leaves. Replaced
	// reports whether the list has another run at its address.
	Listed, Replaced func(i *state.Instance) bool
	// OnCrash is called with each crash, and again with work that is found later.
	OnCrash func(Report)
	Clock   state.Clock
	Log     *slog.Logger
}

// Detector looks after runners at which work broke off. It is safe for concurrent use.
type Detector struct {
	o   Options
	ctx context.Context

	mu   sync.Mutex
	open map[state.InstanceID]*investigation
}

// investigation is what is asked of one run.
type investigation struct {
	instance *state.Instance
	// suspects broke off there and weren't reported yet.
	suspects []quarantine.Suspect
	// endedAt is when the run was found to have ended; zero before.
	endedAt time.Time
}

// New validates the options. Questions end with ctx.
func New(ctx context.Context, o Options) (*Detector, error) {
	if o.Probe == nil || o.Listed == nil || o.Replaced == nil || o.OnCrash == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("crash: a field of Options is missing; set all of them")
	}
	return &Detector{o: o, ctx: ctx, open: map[state.InstanceID]*investigation{}}, nil
}

// ReportBroken notes that work broke off at a runner without its end. It doesn't wait.
func (d *Detector) ReportBroken(i *state.Instance, s quarantine.Suspect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if inv := d.open[i.ID]; inv != nil {
		inv.suspects = append(inv.suspects, s)
		return
	}
	// The platform takes a leaving runner away, whatever runs there.
	if d.ctx.Err() != nil || !d.o.Listed(i) {
		return
	}
	inv := &investigation{instance: i, suspects: []quarantine.Suspect{s}}
	d.open[i.ID] = inv
	go d.investigate(inv)
}

// investigate finds out what became of a run, and reports its crash.
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

// awaitStatus asks until the run answers or is known to have ended.
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

func (d *Detector) probe(i *state.Instance) RunStatus {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	return d.o.Probe(ctx, i)
}

// report passes on the work that wasn't yet.
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

func (d *Detector) remove(inv *investigation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, inv.instance.ID)
}

// maxDescribed bounds the requests that a log line names.
const maxDescribed = 20

// formatSuspects names requests by their ids and digests, those first that had just begun.
func formatSuspects(suspects []quarantine.Suspect) []string {
	var recent, settled []string
	for _, s := range suspects {
		text := s.RequestID + "=" + s.Digest.String()
		if s.Settled {
			settled = append(settled, text+" settled")
			continue
		}
		recent = append(recent, text)
	}
	all := append(recent, settled...)
	return all[:min(len(all), maxDescribed)]
}
