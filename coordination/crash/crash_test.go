package crash

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// testDetector is a detector with one simulated runner.
type testDetector struct {
	*Detector
	mu       sync.Mutex
	status   RunStatus
	listed   bool
	replaced bool
	probes   int
	reports  []Report
}

var runner = &state.Instance{ID: state.InstanceID{Name: "r", Born: 1}, Service: "model", Addr: "r:1"}

func newTestDetector(t *testing.T, status RunStatus) *testDetector {
	t.Helper()
	d := &testDetector{status: status, listed: true}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var err error
	d.Detector, err = New(ctx, Options{
		Probe: func(ctx context.Context, _ *state.Instance) RunStatus {
			d.mu.Lock()
			d.probes++
			current := d.status
			d.mu.Unlock()
			if current == Silent {
				<-ctx.Done()
			}
			return current
		},
		Listed:   func(*state.Instance) bool { return load(d, &d.listed) },
		Replaced: func(*state.Instance) bool { return load(d, &d.replaced) },
		OnCrash: func(r Report) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.reports = append(d.reports, r)
		},
		Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// load reads a field of d under its lock.
func load[T any](d *testDetector, field *T) T {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *field
}

// reported returns the reports so far.
func (d *testDetector) reported() []Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.reports)
}

// set changes fields of d under its lock.
func (d *testDetector) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// suspect returns the request number n.
func suspect(n byte, settled bool) quarantine.Suspect {
	return quarantine.Suspect{Digest: quarantine.Digest{n}, RequestID: string('a' + rune(n)), LongRunning: settled}
}

// A crash is reported once with all requests that broke off at that time, and again with
// those that are found later.
func TestCrashReportListsAllBrokenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newTestDetector(t, Ended)
		d.ReportBroken(runner, suspect(1, false))
		d.ReportBroken(runner, suspect(2, true))
		time.Sleep(reportDelay + time.Millisecond)
		is.Equal(len(d.reported()), 1)
		is.Equal(d.reported()[0].Suspects, []quarantine.Suspect{suspect(1, false), suspect(2, true)})
		is.True(!d.reported()[0].Late)
		d.ReportBroken(runner, suspect(3, false)) // the end of its connection is noticed later
		time.Sleep(lateWindow)
		is.Equal(len(d.reported()), 2)
		is.Equal(d.reported()[1].Suspects, []quarantine.Suspect{suspect(3, false)})
		is.True(d.reported()[1].Late)
		synctest.Wait()
		is.Equal(load(d, &d.probes), 1)
		is.Equal(len(d.open), 0) // the investigation is removed
	})
}

// A run is reported as crashed only if it ended, not if it lost an answer or is silent.
func TestOnlyEndedRunsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		status  RunStatus
		then    func(d *testDetector) // called after one second
		crashes int
	}{
		"an answer was lost":                   {Alive, nil, 0},
		"partitioned for a moment":             {Silent, func(d *testDetector) { d.status = Alive }, 0},
		"partitioned for long":                 {Silent, nil, 0},
		"silent, then replaced by another run": {Silent, func(d *testDetector) { d.listed, d.replaced = false, true }, 1},
		"silent, then found to have ended":     {Silent, func(d *testDetector) { d.status = Ended }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newTestDetector(t, c.status)
				d.ReportBroken(runner, suspect(1, false))
				time.Sleep(time.Second)
				if c.then != nil {
					d.set(func() { c.then(d) })
				}
				time.Sleep(maxProbeDuration + lateWindow)
				synctest.Wait()
				is.Equal(len(d.reported()), c.crashes)
				is.Equal(len(d.open), 0)
			})
		})
	}
}

// A leaving runner is stopped by the platform with whatever runs there; that is no crash.
func TestLeavingRunnerIsNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newTestDetector(t, Ended)
		d.listed = false
		d.ReportBroken(runner, suspect(1, false))
		time.Sleep(maxProbeDuration)
		is.Equal(len(d.reported()), 0)
		is.Equal(load(d, &d.probes), 0)
	})
}
