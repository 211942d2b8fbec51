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

	"github.com/thymerack/thymerack/coordination/fleetclock"
	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// pollInterval is how often the lease holder checks whether a window has ended.
	pollInterval = 250 * time.Millisecond
	// settleDelay is the earliest time after its end at which a window is decided: hosts push
	// their counts every half second, and some need a second try.
	settleDelay = 1200 * time.Millisecond
	// maxDecideDelay is the latest time after its end at which a window is decided, even if
	// counts of a host are missing. It outlasts a network partition or pause of some seconds,
	// and leaves half of the time until the report is due (10 s) for a successor to send it.
	maxDecideDelay = 5 * time.Second
	// fewMissingDecideDelay replaces maxDecideDelay if so few hosts are missing that their
	// counts are within the error bound: a host that is gone for good is listed for 10 s or more.
	fewMissingDecideDelay = 2 * time.Second
	// missingErrorShare is the share of a report's maximum error that missing hosts may cause;
	// the rest allows for the counts that lost hosts didn't push.
	missingErrorShare = 0.4
	// fetchTimeout bounds a fetch from a collector, which answers within some milliseconds; an
	// unreachable collector delays a report by this much. callTimeout bounds a call to the store
	// or the receiver.
	fetchTimeout = 250 * time.Millisecond
	callTimeout  = time.Second
	// resendDelay is the pause after a report that wasn't confirmed.
	resendDelay = 700 * time.Millisecond
)

// Receiver accepts reports. A report may have arrived even if Report returns an error.
type Receiver interface {
	// Report sends the counts of window w under the given lease term. It calls permit last
	// before it sends, and sends nothing if permit returns an error.
	Report(ctx context.Context, term uint64, w Window, counts Counts, permit func() error) error
}

// Options configures a Reporter. All fields are required.
type Options struct {
	// WindowLength is the length of a window; MaxError is the largest error of a report, as a
	// fraction of the true count.
	WindowLength time.Duration
	MaxError     float64
	Lease        *lease.Lease
	Store        store.Store
	Receiver     Receiver
	Peers        Peers
	Collector    *Collector
	// Self is this host, Run identifies its run, and Hosts returns all listed hosts.
	Self  state.Peer
	Run   string
	Hosts func() []state.Peer
	Time  *fleetclock.Clock
	Clock state.Clock
	Log   *slog.Logger
}

// Reporter decides and sends the reports while it holds the lease. Only Hold uses its fields.
type Reporter struct {
	opts Options
	// stored holds the reports as last read or written, with later confirmations and skipped
	// windows, which the next write stores; nil if they have to be read again.
	stored *reports
	// latest holds the reports as last known in this term; nil before the first read. A restored
	// store may have lost some of them.
	latest *reports
	// writes counts the writes of this run; the number identifies a write.
	writes int
	// sendFailedAt is when a report was last sent without confirmation.
	sendFailedAt time.Time
}

// NewReporter returns a Reporter, or an error if a field of the options is missing.
func NewReporter(o Options) (*Reporter, error) {
	if o.WindowLength < time.Millisecond || o.Lease == nil || o.Store == nil || o.Receiver == nil || o.Peers == nil || o.Collector == nil || o.Run == "" || o.Hosts == nil || o.Time == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("usage: a field of Options is missing; set all of them")
	}
	return &Reporter{opts: o}, nil
}

// Hold decides and sends reports for one term of the lease, until ctx ends with the term.
func (r *Reporter) Hold(ctx context.Context) {
	r.stored, r.latest = nil, nil
	for {
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.opts.Log.Warn("usage report not decided, retrying", "cause", err.Error())
		}
		if r.opts.Clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// step decides the next window if it is due, and sends the unconfirmed reports.
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

// load reads the stored reports. If no window was ever decided, the current window is the
// first.
func (r *Reporter) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := loadReports(ctx, r.opts.Store)
	if err != nil {
		return fmt.Errorf("read usage reports: %w", err)
	}
	switch {
	case r.latest != nil:
		stored = r.latest.carryOver(stored)
	case stored == nil:
		stored = &reports{Through: r.currentWindow() - 1}
	case stored.restored():
		r.skipUncertain(stored)
	}
	r.setStored(stored)
	return nil
}

// setStored records the reports as last read or written.
func (r *Reporter) setStored(stored *reports) { r.stored, r.latest = stored, stored }

// skipUncertain skips the windows that an earlier holder may have decided and sent before a restore
// of the store lost them: a second report with other counts would be worse than none.
func (r *Reporter) skipUncertain(stored *reports) {
	through := r.currentWindow() - 1
	if stored.Through >= through {
		return
	}
	r.opts.Log.Error("usage windows skipped: the store was restored and another host may have reported them", "from", stored.Through+1, "to", through)
	stored.Through = through
}

// currentWindow returns the window of the present true time.
func (r *Reporter) currentWindow() Window { return WindowAt(r.opts.Time.Now(), r.opts.WindowLength) }

// decide decides the next window once it has ended and either the counts of all hosts are
// complete or the delay for missing hosts has passed.
func (r *Reporter) decide(ctx context.Context) error {
	w, now := r.stored.Through+1, r.opts.Time.Now()
	if oldest := r.currentWindow() - retainedWindows; w < oldest {
		r.opts.Log.Error("usage windows lost: no host reported them in time", "from", w, "to", oldest-1)
		w = oldest
	}
	afterEnd := now.Sub(w.End(r.opts.WindowLength))
	if afterEnd < settleDelay {
		return nil
	}
	tallies := r.fetchTallies(ctx, w)
	missing := r.missingHosts(tallies, w)
	if len(missing) > 0 && afterEnd < maxDecideDelay && !(afterEnd >= fewMissingDecideDelay && r.withinMaxError(len(missing))) {
		return nil
	}
	report := Report{Window: w, Counts: sumCounts(tallies, w), Missing: missing, ByHost: totalsByHost(tallies, w)}
	if err := r.write(ctx, report); err != nil {
		return err
	}
	r.opts.Log.Info("usage report decided", "window", w, "requests", report.Counts.Total(), "customers", len(report.Counts),
		"runs", len(tallies), "missing", missing, "after_end", afterEnd)
	return nil
}

// write decides a report by writing it to the store. After an error it is unknown whether the
// write took effect, so that the reports are read again.
func (r *Reporter) write(ctx context.Context, report Report) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next := r.stored.clone()
	next.add(report)
	r.writes++
	next.Writer = fmt.Sprintf("%s/%d", r.opts.Run, r.writes)
	if err := next.save(ctx, r.opts.Store); err != nil {
		r.stored = nil
		return fmt.Errorf("decide usage window %d: %w", report.Window, err)
	}
	r.setStored(next)
	return nil
}

// withinMaxError reports whether a report without that many hosts stays within the maximum error.
func (r *Reporter) withinMaxError(missing int) bool {
	return float64(missing) <= missingErrorShare*r.opts.MaxError*float64(len(r.opts.Hosts()))
}

// fetchTallies returns the tallies of window w from all collectors, one for each run: a run
// that several collectors hold counts once, by its highest counts.
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
				r.opts.Log.Info("usage collector did not answer", "peer", c.Addr, "window", w, "cause", err.Error())
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

// missingHosts returns the listed hosts whose counts of window w aren't complete.
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

// latestByAddr returns the latest Through of the tallies of each host, by address.
func latestByAddr(tallies []Tally) map[string]time.Time {
	out := make(map[string]time.Time, len(tallies))
	for _, t := range tallies {
		if t.Through.After(out[t.Addr]) {
			out[t.Addr] = t.Through
		}
	}
	return out
}

// sumCounts returns the counts of all runs in window w.
func sumCounts(tallies []Tally, w Window) Counts {
	out := Counts{}
	for _, t := range tallies {
		for customer, n := range t.Windows[w] {
			out[customer] += n
		}
	}
	return out
}

// totalsByHost returns the number of requests that the runs of each host counted in window w.
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

// sendOne sends a report under the given lease term and logs the result.
func (r *Reporter) sendOne(ctx context.Context, term uint64, report *Report) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.opts.Receiver.Report(ctx, term, report.Window, report.Counts, r.opts.Lease.PermitInTerm(term))
	afterEnd := r.opts.Time.Now().Sub(report.Window.End(r.opts.WindowLength))
	if err != nil {
		r.opts.Log.Warn("usage report not confirmed, retrying", "window", report.Window, "term", term, "after_end", afterEnd, "cause", err.Error())
		return err
	}
	r.opts.Log.Info("usage report confirmed", "window", report.Window, "term", term, "requests", report.Counts.Total(), "after_end", afterEnd)
	return nil
}
