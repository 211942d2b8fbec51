package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/thymerack/thymerack/coordination/store"
)

// The object that keeps the recent reports.
const (
	KindReports = "thymerack-usage"
	reportsName = "reports"
)

// Report is the decided counts of one window. It never changes.
type Report struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
	// Missing are the addresses of the listed hosts that hadn't told all of the window when it
	// was decided.
	Missing []string `json:"missing,omitempty"`
	// ByHost is how many requests the runs of each host have counted, by its address. It is kept
	// for the latest windows only.
	ByHost map[string]uint64 `json:"said,omitempty"`
	// Confirmed is set once the receiver has taken the report.
	Confirmed bool `json:"confirmed,omitempty"`
}

// reports are the recent reports as the store keeps them.
type reports struct {
	// Through is the last window that was decided or given up: none up to it ever is again.
	Through Window `json:"through"`
	// Reports are the last ones, the oldest first.
	Reports []Report `json:"reports"`
	// Writer marks the last write, so that its writer recognises it.
	Writer string `json:"writer"`
	// Epoch is that of the version which the reports were written over.
	Epoch uint64 `json:"epoch,omitempty"`

	version uint64
}

// restored reports whether the reports are older than the store's last restoration, so that later
// ones may be lost.
func (r *reports) restored() bool { return r.Epoch < store.EpochOf(r.version) }

// UnreadableError says that the object of the reports can't be read.
type UnreadableError struct{ Cause error }

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("the reports of usage at the store can't be read (%v); write %s/%s as {\"through\": N} with the number of the last window that was reported", e.Cause, KindReports, reportsName)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// loadReports reads the recent reports; nil if none was ever decided.
func loadReports(ctx context.Context, s store.Store) (*reports, error) {
	o, err := s.Get(ctx, KindReports, reportsName)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	r := &reports{version: o.Version}
	if err := json.Unmarshal(o.Value, r); err != nil {
		return nil, &UnreadableError{err}
	}
	return r, nil
}

// save writes the reports in place of the version that they were read at.
func (r *reports) save(ctx context.Context, s store.Store) error {
	r.Epoch = store.EpochOf(r.version)
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode the reports of usage: %w", err)
	}
	version, err := s.Put(ctx, KindReports, reportsName, r.version, value)
	if err == nil {
		r.version = version
	}
	return err
}

// add decides a window's report, which must be the next.
func (r *reports) add(report Report) {
	r.Reports = append(r.Reports, report)
	r.Through = report.Window
	if n := len(r.Reports); n > byHostWindows {
		r.Reports[n-byHostWindows-1].ByHost = nil
	}
	if excess := len(r.Reports) - retainedWindows; excess > 0 {
		r.Reports = r.Reports[excess:]
	}
}

// byHostWindows is the number of windows for which it is kept what each host said: with 300 hosts
// some fifteen kilobytes in each write.
const byHostWindows = 2

// List returns the recent reports, the oldest first; none if none was ever decided.
func List(ctx context.Context, s store.Store) ([]Report, error) {
	r, err := loadReports(ctx, s)
	if r == nil || err != nil {
		return nil, err
	}
	return r.Reports, nil
}

// clone is a copy that may be changed beside r.
func (r *reports) clone() *reports {
	out := *r
	out.Reports = append([]Report(nil), r.Reports...)
	return &out
}

// carryOver returns the reports with what a restored store has lost of them: present is what it has, nil
// for nothing.
func (r *reports) carryOver(present *reports) *reports {
	if present != nil && present.Through >= r.Through {
		return present
	}
	out := r.clone()
	out.version = store.Absent
	if present != nil {
		out.version = present.version
	}
	return out
}
