package usage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/truetime"
	"github.com/thymerack/thymerack/state"
)

const (
	// pollInterval is how often the holder looks whether a window has ended.
	pollInterval = 250 * time.Millisecond
	// settleDelay is how long after its end a window is decided at the earliest: hosts tell their
	// counts each half second, and some need a second try.
	settleDelay = 1200 * time.Millisecond
	// maxDecideDelay is how long after its end a window is decided at the latest, though a host
	// hasn't told all of it: a cut or pause of some seconds may end by then, and half of the
	// time until the report is due (10 s) is left for a successor to send it.
	maxDecideDelay = 5 * time.Second
	// fewMissingDecideDelay is the same where so few hosts are missing that their counts can't matter: a
	// host that is gone for good is listed for ten seconds and more.
	fewMissingDecideDelay = 2 * time.Second
	// missingErrorShare is how much of the error that a report may have may come from hosts that
	// are missing; the rest is for what lost hosts took with them.
	missingErrorShare = 0.4
	// fetchTimeout bounds a question to a collector, which answers in some milliseconds; one that
	// is gone holds a report up for so long. callTimeout bounds a call to the store.
	fetchTimeout = 250 * time.Millisecond
	callTimeout  = time.Second
	// resendDelay is the pause after a report that wasn't confirmed.
	resendDelay = 700 * time.Millisecond
)

// Receiver takes reports. A report may arrive although Report returns an error.
type Receiver interface {
	// Report sends a window's counts under the term of that number; permit is asked last
	// before the bytes leave.
	Report(ctx context.Context, term uint64, w Window, counts Counts, permit func() error) error
}

// Options configure a Reporter. All fields are required.
type Options struct {
	// WindowLength is that of a window, and MostOff how far a report may be from the truth, as a part
	// of it.
	WindowLength time.Duration
	MaxError     float64
	Lease        *lease.Lessor
	Store        store.Store
	Receiver     Receiver
	Peers        Peers
	Collector    *Collector
	// Self is this host, Run this run of it, and Hosts lists all hosts.
	Self  state.Peer
	Run   string
	Hosts func() []state.Peer
	Time  *truetime.Clock
	Clock state.Clock
	Log   *slog.Logger
}

// Reporter decides and sends the reports while it holds the lease. Hold alone uses it.
type Reporter struct {
	opts Options
	// stored are the reports as they are at the store; nil until they are read in a term.
	stored *reports
	// latest are the reports as they were last known in this term; nil before the first. A
	// restored store may have lost some of them.
	latest *reports
	// writes numbers this run's writes.
	writes int
	// sendFailedAt is when a report was last sent in vain.
	sendFailedAt time.Time
}

// NewReporter validates the options.
func NewReporter(o Options) (*Reporter, error) {
	if o.WindowLength < time.Millisecond || o.Lease == nil || o.Store == nil || o.Receiver == nil || o.Peers == nil || o.Collector == nil || o.Run == "" || o.Hosts == nil || o.Time == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("usage: a field of Options is missing; set all of them")
	}
	return &Reporter{opts: o}, nil
}

// Hold decides and sends reports for one term of the lease, until ctx ends with it.
func (r *Reporter) Hold(ctx context.Context) {
	r.stored, r.latest = nil, nil
	for {
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.opts.Log.Warn("usage not decided; tried again", "cause", err.Error())
		}
		if r.opts.Clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// step decides the next window if it is time, and sends what isn't confirmed.
func (r *Reporter) step(ctx context.Context) error {
	if r.stored == nil {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	err := r.decide(ctx)
	r.send(ctx)
	return err
}

// load reads what was decided. When nothing was ever, the present window is the first.
func (r *Reporter) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	known, err := loadReports(ctx, r.opts.Store)
	if err != nil {
		return fmt.Errorf("read the reports of usage: %w", err)
	}
	switch {
	case r.latest != nil:
		known = r.latest.carryOver(known)
	case known == nil:
		known = &reports{Through: r.currentWindow() - 1}
	case known.restored():
		r.skipUncertain(known)
	}
	r.setStored(known)
	return nil
}

// setStored takes the reports as they are.
func (r *Reporter) setStored(known *reports) { r.stored, r.latest = known, known }

// skipUncertain gives up the windows that an earlier holder may have decided and sent, where a restored
// store has lost what it decided: a second report with other counts would be worse than none.
func (r *Reporter) skipUncertain(known *reports) {
	through := r.currentWindow() - 1
	if known.Through >= through {
		return
	}
	r.opts.Log.Error("usage of windows given up: the store was restored, and another host may have reported them", "from", known.Through+1, "to", through)
	known.Through = through
}

func (r *Reporter) currentWindow() Window { return WindowAt(r.opts.Time.Now(), r.opts.WindowLength) }

// decide decides the next window once it has ended and its counts are in.
func (r *Reporter) decide(ctx context.Context) error {
	w, now := r.stored.Through+1, r.opts.Time.Now()
	if oldest := r.currentWindow() - retainedWindows; w < oldest {
		r.opts.Log.Error("usage of windows lost, which nobody reported in time", "from", w, "to", oldest-1)
		w = oldest
	}
	since := now.Sub(w.End(r.opts.WindowLength))
	if since < settleDelay {
		return nil
	}
	tallies := r.fetchTallies(ctx, w)
	missing := r.missingHosts(tallies, w)
	if len(missing) > 0 && since < maxDecideDelay && !(since >= fewMissingDecideDelay && r.withinMaxError(len(missing))) {
		return nil
	}
	report := Report{Window: w, Counts: sumCounts(tallies, w), Missing: missing, ByHost: totalsByHost(tallies, w)}
	if err := r.write(ctx, report); err != nil {
		return err
	}
	r.opts.Log.Info("usage decided", "window", w, "requests", report.Counts.Total(), "customers", len(report.Counts),
		"runs", len(tallies), "missing", missing, "after_end", since)
	return nil
}

// write decides a report at the store. After an error it is unknown what was decided, and
// the reports are read again.
func (r *Reporter) write(ctx context.Context, report Report) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next := r.stored.clone()
	next.add(report)
	r.writes++
	next.Writer = fmt.Sprintf("%s/%d", r.opts.Run, r.writes)
	if err := next.save(ctx, r.opts.Store); err != nil {
		r.stored = nil
		return fmt.Errorf("decide window %d: %w", report.Window, err)
	}
	r.setStored(next)
	return nil
}

// withinMaxError reports whether so many missing hosts leave a report within its error.
func (r *Reporter) withinMaxError(missing int) bool {
	return float64(missing) <= missingErrorShare*r.opts.MaxError*float64(len(r.opts.Hosts()))
}

// fetchTallies asks the collectors what they were told of a window; a run that told several counts
// once, by its highest counts.
func (r *Reporter) fetchTallies(ctx context.Context, w Window) []Tally {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	all := r.opts.Collector.Tallies(w)
	var mu sync.Mutex
	var fetches conc.WaitGroup
	for _, c := range Collectors(r.opts.Hosts()) {
		if c.Addr == r.opts.Self.Addr {
			continue
		}
		fetches.Go(func() {
			fetched, err := r.opts.Peers.Fetch(ctx, c.Addr, w)
			if err != nil {
				r.opts.Log.Info("collector of usage not asked", "peer", c.Addr, "window", w, "cause", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, fetched...)
		})
	}
	fetches.Wait()
	return mergeByRun(all)
}

// mergeByRun merges the tallies of each run.
func mergeByRun(all []Tally) []Tally {
	runs := map[string]Tally{}
	for _, t := range all {
		runs[t.Run] = mergeTallies(runs[t.Run], t)
	}
	out := make([]Tally, 0, len(runs))
	for _, t := range runs {
		out = append(out, t)
	}
	return out
}

// missingHosts are the listed hosts that haven't told all of a window.
func (r *Reporter) missingHosts(tallies []Tally, w Window) []string {
	newest := latestByAddr(tallies)
	var out []string
	for _, h := range r.opts.Hosts() {
		if newest[h.Addr].Before(w.End(r.opts.WindowLength)) {
			out = append(out, h.Addr)
		}
	}
	slices.Sort(out)
	return out
}

// latestByAddr is the latest time through which a host at an address has told.
func latestByAddr(tallies []Tally) map[string]time.Time {
	out := make(map[string]time.Time, len(tallies))
	for _, t := range tallies {
		if t.Through.After(out[t.Addr]) {
			out[t.Addr] = t.Through
		}
	}
	return out
}

func sumCounts(tallies []Tally, w Window) Counts {
	out := Counts{}
	for _, t := range tallies {
		for customer, n := range t.Windows[w] {
			out[customer] += n
		}
	}
	return out
}

// totalsByHost is what the runs of each host have counted in a window.
func totalsByHost(tallies []Tally, w Window) map[string]uint64 {
	out := make(map[string]uint64, len(tallies))
	for _, t := range tallies {
		out[t.Addr] += t.Windows[w].Total()
	}
	return out
}

// send sends the decided reports that aren't confirmed, the oldest first.
func (r *Reporter) send(ctx context.Context) {
	if r.stored == nil || r.opts.Clock.Now().Sub(r.sendFailedAt) < resendDelay {
		return
	}
	for i := range r.stored.Reports {
		report := &r.stored.Reports[i]
		if report.Confirmed {
			continue
		}
		term, err := r.opts.Lease.Permit()
		if err != nil {
			return
		}
		if err := r.sendOne(ctx, term, report); err != nil {
			r.sendFailedAt = r.opts.Clock.Now()
			return
		}
		report.Confirmed = true
	}
}

func (r *Reporter) sendOne(ctx context.Context, term uint64, report *Report) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.opts.Receiver.Report(ctx, term, report.Window, report.Counts, r.opts.Lease.Still(term))
	late := r.opts.Time.Now().Sub(report.Window.End(r.opts.WindowLength))
	if err != nil {
		r.opts.Log.Warn("usage not confirmed; sent again", "window", report.Window, "term", term, "after_end", late, "cause", err.Error())
		return err
	}
	r.opts.Log.Info("usage reported", "window", report.Window, "term", term, "requests", report.Counts.Total(), "after_end", late)
	return nil
}
