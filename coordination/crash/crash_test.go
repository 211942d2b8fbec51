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

// world is one runner as a host sees it.
type world struct {
	*Detector
	mu       sync.Mutex
	fate     Fate
	listed   bool
	replaced bool
	probes   int
	reports  []Report
}

var runner = &state.Instance{ID: state.InstanceID{Name: "r", Born: 1}, Service: "model", Addr: "r:1"}

func newWorld(t *testing.T, fate Fate) *world {
	t.Helper()
	w := &world{fate: fate, listed: true}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var err error
	w.Detector, err = New(ctx, Options{
		Probe: func(ctx context.Context, _ *state.Instance) Fate {
			w.mu.Lock()
			w.probes++
			f := w.fate
			w.mu.Unlock()
			if f == Silent {
				<-ctx.Done()
			}
			return f
		},
		Listed:   func(*state.Instance) bool { return read(w, &w.listed) },
		Replaced: func(*state.Instance) bool { return read(w, &w.replaced) },
		Crashed: func(r Report) {
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

func read[T any](w *world, what *T) T {
	w.mu.Lock()
	defer w.mu.Unlock()
	return *what
}

// reported are the reports so far.
func (w *world) reported() []Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.reports)
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func work(n byte, settled bool) quarantine.Suspect {
	return quarantine.Suspect{Digest: quarantine.Digest{n}, RequestID: string('a' + rune(n)), LongRunning: settled}
}

func TestCrashIsReportedWithAllThatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, Ended)
		w.Broke(runner, work(1, false))
		w.Broke(runner, work(2, true))
		time.Sleep(gather + time.Millisecond)
		is.Equal(len(w.reported()), 1)
		is.Equal(w.reported()[0].Suspects, []quarantine.Suspect{work(1, false), work(2, true)})
		is.True(!w.reported()[0].Late)
		w.Broke(runner, work(3, false)) // its connection ended later
		time.Sleep(lateFor)
		is.Equal(len(w.reported()), 2)
		is.Equal(w.reported()[1].Suspects, []quarantine.Suspect{work(3, false)})
		is.True(w.reported()[1].Late)
		synctest.Wait()
		is.Equal(read(w, &w.probes), 1)
		is.Equal(len(w.runs), 0) // nothing is kept
	})
}

func TestOtherEndsAreNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		fate    Fate
		then    func(w *world) // after a second
		crashes int
	}{
		"an answer was lost":                      {Alive, nil, 0},
		"cut off for a moment":                    {Silent, func(w *world) { w.fate = Alive }, 0},
		"cut off for long":                        {Silent, nil, 0},
		"fell silent, and another took its place": {Silent, func(w *world) { w.listed, w.replaced = false, true }, 1},
		"fell silent before its process was gone": {Silent, func(w *world) { w.fate = Ended }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, c.fate)
				w.Broke(runner, work(1, false))
				time.Sleep(time.Second)
				if c.then != nil {
					w.set(func() { c.then(w) })
				}
				time.Sleep(askFor + lateFor)
				synctest.Wait()
				is.Equal(len(w.reported()), c.crashes)
				is.Equal(len(w.runs), 0)
			})
		})
	}
}

func TestLeavingRunnerIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, Ended)
		w.listed = false
		w.Broke(runner, work(1, false))
		time.Sleep(askFor)
		is.Equal(len(w.reported()), 0)
		is.Equal(read(w, &w.probes), 0)
	})
}
