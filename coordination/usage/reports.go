package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/thymerack/thymerack/coordination/store"
)

// KindReports is the kind and reportsName the name of the object that keeps the recent reports.
const (
	KindReports = "thymerack-usage"
	reportsName = "reports"
)

// Report holds the decided counts of one window. The counts never change.
type Report struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
	// Missing holds the addresses of the listed hosts whose counts of the window were
	// incomplete when it was decided.
	Missing []string `json:"missing,omitempty"`
	// ByHost holds the number of requests that the runs of each host have counted, by address.
	// It is kept for the latest windows only.
	ByHost map[string]uint64 `json:"said,omitempty"`
	// Confirmed is set once the receiver has accepted the report.
	Confirmed bool `json:"confirmed,omitempty"`
}

// reports holds the recent reports as stored.
type reports struct {
	// Through is the last window that was decided or skipped; no window up to it is decided again.
	Through Window `json:"through"`
	// Reports holds the recent reports, the oldest first.
	Reports []Report `json:"reports"`
	// Writer identifies the last write, so that its writer recognises it.
	Writer string `json:"writer"`
	// Epoch is the epoch of the version that the last write replaced.
	Epoch uint64 `json:"epoch,omitempty"`

	// version is the stored version that was read or written last.
	version uint64
}

// restored reports whether the reports were written before the last restore of the store, so
// that later ones may be lost.
func (r *reports) restored() bool { return r.Epoch < store.EpochOf(r.version) }

// UnreadableError means that the stored object of the reports can't be decoded.
type UnreadableError struct{ Cause error }

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("the reports of usage at the store can't be read (%v); write %s/%s as {\"through\": N} with the number of the last window that was reported", e.Cause, KindReports, reportsName)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// loadReports reads the recent reports; it returns nil if no window was ever decided.
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

// save writes the reports if the stored version is still the one that was read.
func (r *reports) save(ctx context.Context, s store.Store) error {
	r.Epoch = store.EpochOf(r.version)
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode usage reports: %w", err)
	}
	version, err := s.Put(ctx, KindReports, reportsName, r.version, value)
	if err == nil {
		r.version = version
	}
	return err
}

// add appends a report, which must be that of the next window, and evicts old ones.
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

// byHostWindows is the number of windows for which counts by host are kept: with 300 hosts they
// add about 15 KB to each write.
const byHostWindows = 2

// List returns the recent reports, the oldest first; none if no window was ever decided.
func List(ctx context.Context, s store.Store) ([]Report, error) {
	r, err := loadReports(ctx, s)
	if r == nil || err != nil {
		return nil, err
	}
	return r.Reports, nil
}

// clone returns a copy whose list of reports can be changed independently of r.
func (r *reports) clone() *reports {
	out := *r
	out.Reports = append([]Report(nil), r.Reports...)
	return &out
}

// carryOver returns the reports including those that a restore of the store has lost. current
// holds the reports as stored, nil if there are none.
func (r *reports) carryOver(current *reports) *reports {
	if current != nil && current.Through >= r.Through {
		return current
	}
	out := r.clone()
	out.version = store.Absent
	if current != nil {
		out.version = current.version
	}
	return out
}
