// Package outlier detects silent runners, that is, runners that don't answer, and
// broadcasts verdicts on them, so that each of hundreds of hosts doesn't have to lose a
// request to find out.
//
// A host that gets no answer from a runner reports it to one host, the owner of the runner.
// The owner probes the runner itself, and through another host if it gets no answer: a host that has
// lost its own links would find all runners silent. A host that has just received an answer from the
// runner ignores the verdict.
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
	// reportInterval is the shortest time between two reports of one runner by a host: one
	// report is enough to have the runner probed.
	reportInterval = 250 * time.Millisecond
	// reportTimeout bounds a report. No request waits for it.
	reportTimeout = 500 * time.Millisecond
	// probeTimeout bounds one probe of a runner, its repetition through another host included.
	// probeInterval is the pause between two probes of a silent runner.
	probeTimeout  = 280 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// verdictTTL is how long a verdict holds unless it is renewed or withdrawn. It is
	// renewed after each failed probe, so that two renewals may be lost.
	verdictTTL = 3 * (probeTimeout + probeInterval)
	// maxWatchDuration bounds how long an owner probes a runner: by then the list no longer
	// contains a runner that is gone (three heartbeats of 1.2 s).
	maxWatchDuration = 15 * time.Second
	// maxSilentShare bounds the runners, of any service, that an owner declares silent at
	// the same time, as a share of the runners of the service in question: an owner that
	// finds more of them silent is more likely to be partitioned itself.
	maxSilentShare = 0.5
)

// Finding is what a probe found of a runner.
type Finding int

// The findings.
const (
	// Unknown means that this host can't tell, since it gets no answer and no other host could be asked.
	Unknown Finding = iota
	// Answers means that the runner answers this host or another one.
	Answers
	// Silent means that the runner answers neither this host nor another one.
	Silent
)

// Verdict is an owner's finding on a runner, broadcast to all hosts.
type Verdict struct {
	Instance state.InstanceID
	// Silent runners are to be avoided for TTL. A verdict with Silent unset withdraws an
	// earlier one.
	Silent bool
	TTL    time.Duration
}

// Peers sends messages to other hosts.
type Peers interface {
	// Report reports to the owner at addr that the runner is silent for this host.
	Report(ctx context.Context, addr string, id state.InstanceID) error
}

// Options configures a Detector. All fields are required.
type Options struct {
	// Self is the peer address of this host. Owner returns the peer address of the owner of
	// a runner; "" if none is known.
	Self  string
	Owner func(id state.InstanceID) string
	Peers Peers
	// Probe probes a runner from this host and, if it doesn't answer, through another host.
	Probe func(ctx context.Context, id state.InstanceID) Finding
	// Siblings returns the number of runners of the same service, the runner included; 0 if
	// it isn't listed.
	Siblings func(id state.InstanceID) int
	// Publish broadcasts a verdict to all hosts.
	Publish func(Verdict)
	Clock   state.Clock
	Log     *slog.Logger
}

// Detector reports silent runners to their owners and probes those that this host owns. It
// is safe for concurrent use.
type Detector struct {
	o   Options
	ctx context.Context

	mu sync.Mutex
	// reportedAt is when this host last reported a runner.
	reportedAt map[state.InstanceID]time.Time
	// watched contains the runners that are being probed; the value is true once a verdict
	// was published.
	watched map[state.InstanceID]bool
}

// New returns an error if an option is missing. Reports and probes stop when ctx ends.
func New(ctx context.Context, o Options) (*Detector, error) {
	if o.Self == "" || o.Owner == nil || o.Peers == nil || o.Probe == nil || o.Siblings == nil || o.Publish == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("outlier: a field of Options is missing; set all of them")
	}
	return &Detector{o: o, ctx: ctx, reportedAt: map[state.InstanceID]time.Time{}, watched: map[state.InstanceID]bool{}}, nil
}

// ReportSilent reports to the owner of a runner that it is silent for this host. It doesn't
// block.
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
			d.o.Log.Debug("report of a silent runner failed", "instance", id, "owner", owner, "cause", err.Error())
		}
	}()
}

// allowReport limits the reports of one runner to one per reportInterval, however many
// requests fail there.
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

// HandleReport handles a report of a runner that this host owns: the runner is probed from
// now on.
func (d *Detector) HandleReport(id state.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, already := d.watched[id]; already || d.ctx.Err() != nil {
		return
	}
	d.watched[id] = false
	go d.watch(id)
}

// watch probes a runner until it answers, and publishes a verdict after each failed probe.
func (d *Detector) watch(id state.InstanceID) {
	defer d.unwatch(id)
	began := d.o.Clock.Now()
	for d.o.Clock.Now().Sub(began) < maxWatchDuration {
		found := d.probe(id)
		if found == Answers {
			break
		}
		if d.ctx.Err() != nil || found == Silent && !d.allowVerdict(id) {
			return
		}
		if found == Silent {
			d.o.Publish(Verdict{Instance: id, Silent: true, TTL: verdictTTL})
		}
		if d.o.Clock.Sleep(d.ctx, probeInterval) != nil {
			return
		}
	}
	if d.published(id) {
		d.o.Log.Info("runner answers again", "instance", id, "silent", d.o.Clock.Now().Sub(began))
		d.o.Publish(Verdict{Instance: id})
	}
}

// probe probes a runner once, within probeTimeout.
func (d *Detector) probe(id state.InstanceID) Finding {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	return d.o.Probe(ctx, id)
}

// allowVerdict reports whether the runner is still listed and few enough are declared
// silent, and counts the runner among these if so.
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
		d.o.Log.Warn("verdict on a silent runner withheld: too many runners are silent", "instance", id, "told", published, "siblings", siblings)
		return false
	}
	if !d.watched[id] {
		d.o.Log.Info("runner is silent", "instance", id, "told", published+1)
	}
	d.watched[id] = true
	return true
}

// published reports whether a verdict on the runner was published.
func (d *Detector) published(id state.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watched[id]
}

// unwatch removes a runner from those that are being probed.
func (d *Detector) unwatch(id state.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watched, id)
}
