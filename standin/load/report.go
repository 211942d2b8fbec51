package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Verdict tells how a request ended.
type Verdict string

// The verdicts.
const (
	VerdictWhole   Verdict = "whole"
	VerdictLate    Verdict = "late"
	VerdictRefused Verdict = "refused"
	VerdictUnknown Verdict = "unknown"
	VerdictCut     Verdict = "cut"
	VerdictWrong   Verdict = "wrong"
)

// Result is how one request ended.
type Result struct {
	RequestID string
	Class     string
	Verdict   Verdict
	Reason    string
	// Key is the Idempotency-Key of a service's call.
	Key string
	// SaidNotRun is true when the final word was that the request did not run.
	SaidNotRun bool
	// FirstToken is the time to the first token, or to a call's answer; zero
	// when there was none.
	FirstToken time.Duration
	Total      time.Duration
	// Lost counts broken connections, Moved targets that did nothing, Resumed
	// streams taken up again.
	Lost, Moved, Resumed int
	// Restarted counts answers lost with their host and asked for anew.
	Restarted int
}

// ClassReport sums up the results of a class.
type ClassReport struct {
	Class   string `json:"class"`
	Sent    int    `json:"sent"`
	Whole   int    `json:"whole"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	Unknown int    `json:"unknown"`
	Cut     int    `json:"cut"`
	Wrong   int    `json:"wrong"`
	Lost    int    `json:"lost_connections"`
	Moved   int    `json:"moved"`
	Resumed int    `json:"resumed"`
	// Restarted counts answers lost with their host and asked for anew.
	Restarted int            `json:"restarted"`
	Reasons   map[string]int `json:"reasons,omitempty"`
	// The quantiles are in milliseconds.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
	GapP50        float64 `json:"between_tokens_p50_ms"`
	GapP99        float64 `json:"between_tokens_p99_ms"`

	first *hdrhistogram.Histogram
	gaps  *hdrhistogram.Histogram
}

// Bounds of the histograms, in microseconds.
const (
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

func newClassReport(class string) *ClassReport {
	return &ClassReport{
		Class:   class,
		Reasons: map[string]int{},
		first:   hdrhistogram.New(1, maxMicros, significantDigits),
		gaps:    hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicros))
}

func (c *ClassReport) add(r Result) {
	c.Sent++
	switch r.Verdict {
	case VerdictWhole:
		c.Whole++
	case VerdictLate:
		c.Late++
	case VerdictRefused:
		c.Refused++
	case VerdictUnknown:
		c.Unknown++
	case VerdictCut:
		c.Cut++
	case VerdictWrong:
		c.Wrong++
	}
	if r.Reason != "" {
		c.Reasons[string(r.Verdict)+": "+r.Reason]++
	}
	c.Lost += r.Lost
	c.Restarted += r.Restarted
	c.Moved += r.Moved
	c.Resumed += r.Resumed
	if r.FirstToken > 0 {
		record(c.first, r.FirstToken)
	}
}

// close works out the quantiles.
func (c *ClassReport) close() {
	c.FirstTokenP50 = quantile(c.first, 50)
	c.FirstTokenP99 = quantile(c.first, 99)
	c.GapP50 = quantile(c.gaps, 50)
	c.GapP99 = quantile(c.gaps, 99)
}

// quantile returns a quantile in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Recorder gathers results. Its methods may be called from any goroutine.
type Recorder struct {
	mu      sync.Mutex
	classes map[string]*ClassReport
	// keys maps every Idempotency-Key to whether its call was said not to have run.
	keys map[string]bool
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{classes: map[string]*ClassReport{}, keys: map[string]bool{}}
}

func (r *Recorder) class(name string) *ClassReport {
	if r.classes[name] == nil {
		r.classes[name] = newClassReport(name)
	}
	return r.classes[name]
}

// Add records how a request ended.
func (r *Recorder) Add(x Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.class(x.Class).add(x)
	if x.Key != "" {
		r.keys[x.Key] = x.SaidNotRun
	}
}

// Gap records the time between two tokens.
func (r *Recorder) Gap(class string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.class(class).gaps, d)
}

// Report is the result of a run.
type Report struct {
	Preset  string        `json:"preset"`
	Seed    uint64        `json:"seed"`
	Rate    float64       `json:"rate"`
	Seconds float64       `json:"seconds"`
	Classes []ClassReport `json:"classes"`
	// Unsent counts requests that were due while too many were in flight.
	Unsent int `json:"unsent"`
	// Doubled counts calls that the services executed more than once.
	Doubled int `json:"doubled"`
	// RanAfterAll counts calls said not to have run that did run.
	RanAfterAll int `json:"ran_after_all"`
	// ServicesRead and ServicesUnread name the services whose counts are in
	// Doubled and RanAfterAll, and those that didn't answer.
	ServicesRead   []string `json:"services_read"`
	ServicesUnread []string `json:"services_unread"`
}

// report closes the classes, sorted by name.
func (r *Recorder) report() []ClassReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []ClassReport
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		c := r.classes[name]
		c.close()
		list = append(list, *c)
	}
	return list
}

// FailureError says that answers were cut, wrong or doubled.
type FailureError struct {
	Cut, Wrong, Doubled, RanAfterAll int
}

// Error implements error.
func (e *FailureError) Error() string {
	return fmt.Sprintf("%d answers cut, %d wrong, %d calls executed twice, %d executed though said not to have run; see the reasons in the report",
		e.Cut, e.Wrong, e.Doubled, e.RanAfterAll)
}

// Failure returns a *FailureError if an answer was cut, wrong or doubled.
func (r *Report) Failure() error {
	e := FailureError{Doubled: r.Doubled, RanAfterAll: r.RanAfterAll}
	for _, c := range r.Classes {
		e.Cut += c.Cut
		e.Wrong += c.Wrong
	}
	if e == (FailureError{}) {
		return nil
	}
	return &e
}

// Table writes the report for people.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "class\tsent\twhole in time\tlate\trefused\tunknown\tcut\twrong\tlost\tmoved\tresumed\tfirst p50\tp99\tbetween p50\tp99 ms\t\n")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.1f\t%.1f\t\n",
			c.Class, c.Sent, c.Whole, c.Late, c.Refused, c.Unknown, c.Cut, c.Wrong, c.Lost, c.Moved, c.Resumed,
			c.FirstTokenP50, c.FirstTokenP99, c.GapP50, c.GapP99)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Classes {
		for _, reason := range slices.Sorted(maps.Keys(c.Reasons)) {
			fmt.Fprintf(w, "%s: %s: %d\n", c.Class, reason, c.Reasons[reason])
		}
	}
	_, err := fmt.Fprintf(w, "unsent %d; calls doubled %d, ran though said not run %d (services read %d, unread %d)\n",
		r.Unsent, r.Doubled, r.RanAfterAll, len(r.ServicesRead), len(r.ServicesUnread))
	return err
}
