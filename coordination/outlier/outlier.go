// Package outlier finds engines and runners that don't answer, and tells all hosts, so
// that each of hundreds of hosts needn't lose a request to learn it.
//
// A host that hears nothing of a runner reports it to one host, the runner's owner. The
// owner asks the runner itself: only what two hosts have seen is told, and a host that has
// just heard from the runner keeps to its own word.
package outlier

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// reportInterval bounds a host's reports of one runner: one is enough to have it asked.
	reportInterval = 250 * time.Millisecond
	// reportTimeout bounds a report; nobody waits for it.
	reportTimeout = 500 * time.Millisecond
	// probeTimeout bounds a question to a runner: thirty round trips between failure
	// domains. askEvery is the pause between two while it doesn't answer.
	probeTimeout  = 100 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// verdictTTL is how long a verdict holds unless it is renewed or taken back; it is
	// renewed with each question, so that two of them may be lost.
	verdictTTL = 3 * (probeTimeout + probeInterval)
	// maxWatchDuration bounds how long an owner asks: by then the list shows the loss of a runner
	// that is gone (three heartbeats of 1.2 s).
	maxWatchDuration = 15 * time.Second
	// maxSilentShare is the share of a service's runners that may be told at once: one that
	// finds more of them silent is more likely to be cut off itself.
	maxSilentShare = 0.5
)

// Verdict is what an owner tells all hosts of a runner.
type Verdict struct {
	Instance state.InstanceID
	// Silent runners are to be avoided for so long; one that isn't answers again.
	Silent bool
	TTL    time.Duration
}

// Peers reaches other hosts.
type Peers interface {
	// Report tells the owner at addr that this host hears nothing of the runner.
	Report(ctx context.Context, addr string, id state.InstanceID) error
}

// Options configure a Detector. All fields are required.
type Options struct {
	// Self is this host's peer address, and Owner that of a runner's owner; "" if none is
	// known.
	Self  string
	Owner func(id state.InstanceID) string
	Peers Peers
	// Alive reports whether a runner answers this host.
	Alive func(ctx context.Context, id state.InstanceID) bool
	// Siblings is the number of runners of the same service; 0 if the runner isn't listed.
	Siblings func(id state.InstanceID) int
	// Publish tells all hosts.
	Publish func(Verdict)
	Clock   state.Clock
	Log     *slog.Logger
}

// Detector reports silent runners, and asks those that this host owns. It is safe for
// concurrent use.
type Detector struct {
	o   Options
	ctx context.Context

	mu         sync.Mutex
	reportedAt map[state.InstanceID]time.Time
	// watched are the runners that are being asked; true once they are told.
	watched map[state.InstanceID]bool
}

// New validates the options. Questions end with ctx.
func New(ctx context.Context, o Options) (*Detector, error) {
	if o.Self == "" || o.Owner == nil || o.Peers == nil || o.Alive == nil || o.Siblings == nil || o.Publish == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("outlier: a field of Options is missing; set all of them")
	}
	return &Detector{o: o, ctx: ctx, reportedAt: map[state.InstanceID]time.Time{}, watched: map[state.InstanceID]bool{}}, nil
}

// ReportSilent notes that this host hears nothing of a runner. It doesn't wait.
func (d *Detector) ReportSilent(id state.InstanceID) {
	owner := d.o.Owner(id)
	if owner == "" || !d.allowReport(id) {
		return
	}
	if owner == d.o.Self {
		d.HandleReport(id)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, reportTimeout)
		defer cancel()
		if err := d.o.Peers.Report(ctx, owner, id); err != nil {
			d.o.Log.Debug("silent runner not reported", "instance", id, "owner", owner, "cause", err.Error())
		}
	}()
}

// allowReport keeps a host from reporting one runner for each of its requests.
func (d *Detector) allowReport(id state.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	if now.Sub(d.reportedAt[id]) < reportInterval {
		return false
	}
	for other, at := range d.reportedAt {
		if now.Sub(at) > maxWatchDuration {
			delete(d.reportedAt, other)
		}
	}
	d.reportedAt[id] = now
	return true
}

// HandleReport notes a report of a runner that this host owns, and asks the runner.
func (d *Detector) HandleReport(id state.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, already := d.watched[id]; already || d.ctx.Err() != nil {
		return
	}
	d.watched[id] = false
	go d.watch(id)
}

// watch asks the runner until it answers, and tells all hosts while it doesn't.
func (d *Detector) watch(id state.InstanceID) {
	defer d.unwatch(id)
	began := d.o.Clock.Now()
	for d.o.Clock.Now().Sub(began) < maxWatchDuration {
		if d.probe(id) {
			break
		}
		if d.ctx.Err() != nil || !d.allowVerdict(id) {
			return
		}
		d.o.Publish(Verdict{Instance: id, Silent: true, TTL: verdictTTL})
		if d.o.Clock.Sleep(d.ctx, probeInterval) != nil {
			return
		}
	}
	if d.published(id) {
		d.o.Log.Info("runner answers again", "instance", id, "silent", d.o.Clock.Now().Sub(began))
		d.o.Publish(Verdict{Instance: id})
	}
}

func (d *Detector) probe(id state.InstanceID) bool {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	return d.o.Alive(ctx, id)
}

// allowVerdict reports whether the runner is still listed and few enough are told.
func (d *Detector) allowVerdict(id state.InstanceID) bool {
	siblings := d.o.Siblings(id)
	if siblings == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	published := 0
	for _, silent := range d.watched {
		if silent {
			published++
		}
	}
	if !d.watched[id] && float64(published+1) > max(1, maxSilentShare*float64(siblings)) {
		d.o.Log.Warn("silent runner not told: too many are", "instance", id, "told", published, "siblings", siblings)
		return false
	}
	if !d.watched[id] {
		d.o.Log.Info("runner is silent", "instance", id, "told", published+1)
	}
	d.watched[id] = true
	return true
}

func (d *Detector) published(id state.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watched[id]
}

func (d *Detector) unwatch(id state.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watched, id)
}
