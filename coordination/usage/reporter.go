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
	// pollEvery is how often the holder looks whether a window has ended.
	pollEvery = 250 * time.Millisecond
	// settle is how long after its end a window is decided at the earliest: hosts tell their
	// counts each half second, and some need a second try.
	settle = 1200 * time.Millisecond
	// patience is how long after its end a window is decided at the latest, though a host
	// hasn't told all of it: a cut or pause of some seconds may end by then, and half of the
	// time until the report is due (10 s) is left for a successor to send it.
	patience = 5 * time.Second
	// briefPatience is the same where so few hosts are missing that their counts can't matter: a
	// host that is gone for good is listed for ten seconds and more.
	briefPatience = 2 * time.Second
	// tolerableShare is how much of the error that a report may have may come from hosts that
	// are missing; the rest is for what lost hosts took with them.
	tolerableShare = 0.4
	// askTimeout bounds a question to a collector, which answers in some milliseconds; one that
	// is gone holds a report up for so long. callTimeout bounds a call to the store.
	askTimeout  = 250 * time.Millisecond
	callTimeout = time.Second
	// sendAgain is the pause after a report that wasn't confirmed.
	sendAgain = 700 * time.Millisecond
)

// Receiver takes reports. A report may arrive although Report returns an error.
type Receiver interface {
	// Report sends a window's counts under the term of that number; permit is asked last
	// before the bytes leave.
	Report(ctx context.Context, term uint64, w Window, counts Counts, permit func() error) error
}

// Options configure a Reporter. All fields are required.
type Options struct {
	// Length is that of a window, and MostOff how far a report may be from the truth, as a part
	// of it.
	Length    time.Duration
	MostOff   float64
	Lease     *lease.Lease
	Store     store.Store
	Receiver  Receiver
	Peers     Peers
	Collector *Collector
	// Self is this host, Run this run of it, and Hosts lists all hosts.
	Self  state.Peer
	Run   string
	Hosts func() []state.Peer
	Time  *fleetclock.Clock
	Clock state.Clock
	Log   *slog.Logger
}

// Reporter decides and sends the reports while it holds the lease. Hold alone uses it.
type Reporter struct {
	o Options
	// known are the reports as they are at the store; nil until they are read in a term.
	known *reports
	// decided are the reports as they were last known in this term; nil before the first. A
	// restored store may have lost some of them.
	decided *reports
	// writes numbers this run's writes.
	writes int
	// triedAt is when a report was last sent in vain.
	triedAt time.Time
}

// NewReporter validates the options.
func NewReporter(o Options) (*Reporter, error) {
	if o.Length < time.Millisecond || o.Lease == nil || o.Store == nil || o.Receiver == nil || o.Peers == nil || o.Collector == nil || o.Run == "" || o.Hosts == nil || o.Time == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("usage: a field of Options is missing; set all of them")
	}
	return &Reporter{o: o}, nil
}

// Hold decides and sends reports for one term of the lease, until ctx ends with it.
func (r *Reporter) Hold(ctx context.Context) {
	r.known, r.decided = nil, nil
	for {
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.o.Log.Warn("usage not decided; tried again", "cause", err.Error())
		}
		if r.o.Clock.Sleep(ctx, pollEvery) != nil {
			return
		}
	}
}

// step decides the next window if it is time, and sends what isn't confirmed.
func (r *Reporter) step(ctx context.Context) error {
	if r.known == nil {
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
	known, err := loadReports(ctx, r.o.Store)
	if err != nil {
		return fmt.Errorf("read the reports of usage: %w", err)
	}
	switch {
	case r.decided != nil:
		known = r.decided.over(known)
	case known == nil:
		known = &reports{Through: r.present() - 1}
	case known.restored():
		r.giveUpLost(known)
	}
	r.know(known)
	return nil
}

// know takes the reports as they are.
func (r *Reporter) know(known *reports) { r.known, r.decided = known, known }

// giveUpLost gives up the windows that an earlier holder may have decided and sent, where a restored
// store has lost what it decided: a second report with other counts would be worse than none.
func (r *Reporter) giveUpLost(known *reports) {
	through := r.present() - 1
	if known.Through >= through {
		return
	}
	r.o.Log.Error("usage of windows given up: the store was restored, and another host may have reported them", "from", known.Through+1, "to", through)
	known.Through = through
}

func (r *Reporter) present() Window { return WindowAt(r.o.Time.Now(), r.o.Length) }

// decide decides the next window once it has ended and its counts are in.
func (r *Reporter) decide(ctx context.Context) error {
	w, now := r.known.Through+1, r.o.Time.Now()
	if oldest := r.present() - keptWindows; w < oldest {
		r.o.Log.Error("usage of windows lost, which nobody reported in time", "from", w, "to", oldest-1)
		w = oldest
	}
	since := now.Sub(w.End(r.o.Length))
	if since < settle {
		return nil
	}
	tallies := r.ask(ctx, w)
	missing := r.missing(tallies, w)
	if len(missing) > 0 && since < patience && !(since >= briefPatience && r.tolerable(len(missing))) {
		return nil
	}
	report := Report{Window: w, Counts: sum(tallies, w), Missing: missing, Said: saidBy(tallies, w)}
	if err := r.write(ctx, report); err != nil {
		return err
	}
	r.o.Log.Info("usage decided", "window", w, "requests", report.Counts.Total(), "customers", len(report.Counts),
		"runs", len(tallies), "missing", missing, "after_end", since)
	return nil
}

// write decides a report at the store. After an error it is unknown what was decided, and
// the reports are read again.
func (r *Reporter) write(ctx context.Context, report Report) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next := r.known.clone()
	next.add(report)
	r.writes++
	next.Writer = fmt.Sprintf("%s/%d", r.o.Run, r.writes)
	if err := next.save(ctx, r.o.Store); err != nil {
		r.known = nil
		return fmt.Errorf("decide window %d: %w", report.Window, err)
	}
	r.know(next)
	return nil
}

// tolerable reports whether so many missing hosts leave a report within its error.
func (r *Reporter) tolerable(missing int) bool {
	return float64(missing) <= tolerableShare*r.o.MostOff*float64(len(r.o.Hosts()))
}

// ask asks the collectors what they were told of a window; a run that told several counts
// once, by its highest counts.
func (r *Reporter) ask(ctx context.Context, w Window) []Tally {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	all := r.o.Collector.Told(w)
	var mu sync.Mutex
	var asked conc.WaitGroup
	for _, c := range Collectors(r.o.Hosts()) {
		if c.Addr == r.o.Self.Addr {
			continue
		}
		asked.Go(func() {
			told, err := r.o.Peers.Ask(ctx, c.Addr, w)
			if err != nil {
				r.o.Log.Info("collector of usage not asked", "peer", c.Addr, "window", w, "cause", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, told...)
		})
	}
	asked.Wait()
	return byRun(all)
}

// byRun merges the tallies of each run.
func byRun(all []Tally) []Tally {
	runs := map[string]Tally{}
	for _, t := range all {
		runs[t.Run] = merged(runs[t.Run], t)
	}
	out := make([]Tally, 0, len(runs))
	for _, t := range runs {
		out = append(out, t)
	}
	return out
}

// missing are the listed hosts that haven't told all of a window.
func (r *Reporter) missing(tallies []Tally, w Window) []string {
	newest := newestAt(tallies)
	var out []string
	for _, h := range r.o.Hosts() {
		if newest[h.Addr].Before(w.End(r.o.Length)) {
			out = append(out, h.Addr)
		}
	}
	slices.Sort(out)
	return out
}

// newestAt is the latest time through which a host at an address has told.
func newestAt(tallies []Tally) map[string]time.Time {
	out := make(map[string]time.Time, len(tallies))
	for _, t := range tallies {
		if t.Through.After(out[t.Addr]) {
			out[t.Addr] = t.Through
		}
	}
	return out
}

func sum(tallies []Tally, w Window) Counts {
	out := Counts{}
	for _, t := range tallies {
		for customer, n := range t.Windows[w] {
			out[customer] += n
		}
	}
	return out
}

// saidBy is what the runs of each host have counted in a window.
func saidBy(tallies []Tally, w Window) map[string]uint64 {
	out := make(map[string]uint64, len(tallies))
	for _, t := range tallies {
		out[t.Addr] += t.Windows[w].Total()
	}
	return out
}

// send sends the decided reports that aren't confirmed, the oldest first.
func (r *Reporter) send(ctx context.Context) {
	if r.known == nil || r.o.Clock.Now().Sub(r.triedAt) < sendAgain {
		return
	}
	for i := range r.known.Reports {
		report := &r.known.Reports[i]
		if report.Confirmed {
			continue
		}
		term, err := r.o.Lease.Permit()
		if err != nil {
			return
		}
		if err := r.sendOne(ctx, term, report); err != nil {
			r.triedAt = r.o.Clock.Now()
			return
		}
		report.Confirmed = true
	}
}

func (r *Reporter) sendOne(ctx context.Context, term uint64, report *Report) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.o.Receiver.Report(ctx, term, report.Window, report.Counts, r.o.Lease.PermitInTerm(term))
	late := r.o.Time.Now().Sub(report.Window.End(r.o.Length))
	if err != nil {
		r.o.Log.Warn("usage not confirmed; sent again", "window", report.Window, "term", term, "after_end", late, "cause", err.Error())
		return err
	}
	r.o.Log.Info("usage reported", "window", report.Window, "term", term, "requests", report.Counts.Total(), "after_end", late)
	return nil
}
