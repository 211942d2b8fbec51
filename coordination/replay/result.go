package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a call ended.
type outcome int

const (
	outcomeGood outcome = iota
	outcomeLate
	outcomeFailed
)

// Times are percentiles of a duration.
type Times struct{ P50, P95, P99 time.Duration }

// ClassResult are the figures of one class.
type ClassResult struct {
	Name string
	// Good were answered whole and in time, Late not by their deadline; Refused
	// were told so at once; Failed ran out of attempts.
	Good, Late, Refused, Failed int
	// FirstToken is the time from arrival to the first token, BetweenTokens that
	// between two tokens.
	FirstToken, BetweenTokens Times
}

// Total is the number of requests of the class.
func (c ClassResult) Total() int { return c.Good + c.Late + c.Refused + c.Failed }

// Result are the figures of one replay.
type Result struct {
	Trace, Setup string
	Classes      []ClassResult
	// OthersGoodput is the goodput of all customers but the busiest.
	OthersGoodput float64
	// RoleChanges were settled; CalledOff were begun and given up.
	RoleChanges, CalledOff int
	// AwaySeconds are engine-seconds without new work because of role changes.
	AwaySeconds float64
	Attempts    int
	// CameBack counts refused callers that came back when told to, of whom
	// CameBackRefused were refused again and CameBackGood got their answer.
	CameBack, CameBackRefused, CameBackGood int
}

// sum adds up a figure over the classes.
func (r *Result) sum(f func(ClassResult) int) int {
	n := 0
	for _, c := range r.Classes {
		n += f(c)
	}
	return n
}

// Total is the number of requests.
func (r *Result) Total() int { return r.sum(ClassResult.Total) }

// Goodput is the share of requests answered whole and in time.
func (r *Result) Goodput() float64 {
	return float64(r.sum(func(c ClassResult) int { return c.Good })) / float64(max(1, r.Total()))
}

// AttemptsPerRequest counts requests that were started.
func (r *Result) AttemptsPerRequest() float64 {
	started := r.Total() - r.sum(func(c ClassResult) int { return c.Refused })
	return float64(r.Attempts) / float64(max(1, started))
}

// recorder collects the figures of a running replay.
type recorder struct {
	customers                               map[string]*share
	classes                                 map[string]*classRecorder
	attempts                                int
	roleChanges, calledOff                  int
	away                                    time.Duration
	cameBack, cameBackRefused, cameBackGood int
}

// classRecorder collects those of one class.
type classRecorder struct {
	good, late, refused, failed int
	first, gaps                 *hdrhistogram.Histogram
}

// maxRecorded bounds recorded times.
const maxRecorded = 20 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), 3)
}

func (r *recorder) class(name string) *classRecorder {
	k := r.classes[name]
	if k == nil {
		k = &classRecorder{first: newHistogram(), gaps: newHistogram()}
		r.classes[name] = k
	}
	return k
}

// share counts a customer's requests and those answered in time.
type share struct{ all, good int }

func (r *recorder) customer(name string, good bool) {
	s := r.customers[name]
	if s == nil {
		s = &share{}
		r.customers[name] = s
	}
	s.all++
	if good {
		s.good++
	}
}

// others is the goodput of all customers but the busiest.
func (r *recorder) others() float64 {
	var sum, busiest share
	for _, name := range slices.Sorted(maps.Keys(r.customers)) {
		s := r.customers[name]
		sum.all += s.all
		sum.good += s.good
		if s.all > busiest.all {
			busiest = *s
		}
	}
	return float64(sum.good-busiest.good) / float64(max(1, sum.all-busiest.all))
}

func (k *classRecorder) count(o outcome) {
	switch o {
	case outcomeGood:
		k.good++
	case outcomeLate:
		k.late++
	default:
		k.failed++
	}
}

func (k *classRecorder) firstToken(d time.Duration) { record(k.first, d) }
func (k *classRecorder) gap(d time.Duration)        { record(k.gaps, d) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxRecorded.Microseconds()))
}

func times(h *hdrhistogram.Histogram) Times {
	at := func(p float64) time.Duration { return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond }
	return Times{at(50), at(95), at(99)}
}

func (r *recorder) result(t *Trace, s *Setup) Result {
	out := Result{
		Trace: t.Deployment + "-" + t.Shape, Setup: s.Name,
		OthersGoodput: r.others(),
		RoleChanges:   r.roleChanges, CalledOff: r.calledOff, AwaySeconds: r.away.Seconds(), Attempts: r.attempts,
		CameBack: r.cameBack, CameBackRefused: r.cameBackRefused, CameBackGood: r.cameBackGood,
	}
	for _, c := range t.Classes {
		k := r.class(c.Name)
		out.Classes = append(out.Classes, ClassResult{
			Name: c.Name, Good: k.good, Late: k.late, Refused: k.refused, Failed: k.failed,
			FirstToken: times(k.first), BetweenTokens: times(k.gaps),
		})
	}
	slices.SortFunc(out.Classes, func(a, b ClassResult) int { return b.Total() - a.Total() })
	return out
}
