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

// testDetector is one runner as a host sees it.
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
	w := &testDetector{status: status, listed: true}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var err error
	w.Detector, err = New(ctx, Options{
		Probe: func(ctx context.Context, _ *state.Instance) RunStatus {
			w.mu.Lock()
			w.probes++
			status := w.status
			w.mu.Unlock()
			if status == Silent {
				<-ctx.Done()
			}
			return status
		},
		Listed:   func(*state.Instance) bool { return load(w, &w.listed) },
		Replaced: func(*state.Instance) bool { return load(w, &w.replaced) },
		OnCrash: func(r Report) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.reports = append(w.reports, r)
		},
		Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func load[T any](w *testDetector, field *T) T {
	w.mu.Lock()
	defer w.mu.Unlock()
	return *field
}

// reported are the reports so far.
func (w *testDetector) reported() []Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.reports)
}

func (w *testDetector) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func suspect(n byte, settled bool) quarantine.Suspect {
	return quarantine.Suspect{Digest: quarantine.Digest{n}, RequestID: string('a' + rune(n)), Settled: settled}
}

func TestCrashIsReportedWithAllThatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestDetector(t, Ended)
		w.ReportBroken(runner, suspect(1, false))
		w.ReportBroken(runner, suspect(2, true))
		time.Sleep(reportDelay + time.Millisecond)
		is.Equal(len(w.reported()), 1)
		is.Equal(w.reported()[0].Suspects, []quarantine.Suspect{suspect(1, false), suspect(2, true)})
		is.True(!w.reported()[0].Late)
		w.ReportBroken(runner, suspect(3, false)) // its connection ended later
		time.Sleep(lateWindow)
		is.Equal(len(w.reported()), 2)
		is.Equal(w.reported()[1].Suspects, []quarantine.Suspect{suspect(3, false)})
		is.True(w.reported()[1].Late)
		synctest.Wait()
		is.Equal(load(w, &w.probes), 1)
		is.Equal(len(w.open), 0) // nothing is kept
	})
}

func TestOtherEndsAreNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		status  RunStatus
		then    func(w *testDetector) // after a second
		crashes int
	}{
		"an answer was lost":                      {Alive, nil, 0},
		"cut off for a moment":                    {Silent, func(w *testDetector) { w.status = Alive }, 0},
		"cut off for long":                        {Silent, nil, 0},
		"fell silent, and another took its place": {Silent, func(w *testDetector) { w.listed, w.replaced = false, true }, 1},
		"fell silent before its process was gone": {Silent, func(w *testDetector) { w.status = Ended }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestDetector(t, c.status)
				w.ReportBroken(runner, suspect(1, false))
				time.Sleep(time.Second)
				if c.then != nil {
					w.set(func() { c.then(w) })
				}
				time.Sleep(maxProbeDuration + lateWindow)
				synctest.Wait()
				is.Equal(len(w.reported()), c.crashes)
				is.Equal(len(w.open), 0)
			})
		})
	}
}

func TestLeavingRunnerIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestDetector(t, Ended)
		w.listed = false
		w.ReportBroken(runner, suspect(1, false))
		time.Sleep(maxProbeDuration)
		is.Equal(len(w.reported()), 0)
		is.Equal(load(w, &w.probes), 0)
	})
}
