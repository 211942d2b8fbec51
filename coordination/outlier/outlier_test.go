package outlier

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

// world is hosts with a detector each, and runners of one service.
type world struct {
	mu      sync.Mutex
	hosts   map[string]*Detector
	dark    map[state.InstanceID]bool
	cut     map[string]bool // hosts that reach no runner
	runners int
	told    []Verdict
	at      []time.Time
	asked   int
}

const owner = "owner"

func newWorld(t *testing.T, runners int, names ...string) *world {
	t.Helper()
	w := &world{hosts: map[string]*Detector{}, dark: map[state.InstanceID]bool{}, cut: map[string]bool{}, runners: runners}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, name := range names {
		d, err := New(ctx, Options{
			Self: name, Owner: func(state.InstanceID) string { return owner }, Peers: w, Clock: clocktest.Bubble{},
			Alive:    func(ctx context.Context, id state.InstanceID) bool { return w.alive(ctx, name, id) },
			Siblings: func(state.InstanceID) int { return w.runners },
			Publish:  w.publish, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		w.hosts[name] = d
	}
	return w
}

// Report implements Peers.
func (w *world) Report(_ context.Context, addr string, id state.InstanceID) error {
	w.hosts[addr].HandleReport(id)
	return nil
}

func (w *world) alive(ctx context.Context, host string, id state.InstanceID) bool {
	w.mu.Lock()
	w.asked++
	silent := w.dark[id] || w.cut[host]
	w.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return !silent
}

func (w *world) publish(v Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told = append(w.told, v)
	w.at = append(w.at, time.Now())
}

func (w *world) set(id state.InstanceID, dark bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dark[id] = dark
}

func runner(i int) state.InstanceID { return state.InstanceID{Name: fmt.Sprint("r", i), Born: 7} }

// The first loss is known to all within 300 ms, holds while the runner is silent, and is
// taken back when it answers.
func TestSilentRunnerIsToldUntilItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10, owner, "h")
		w.set(runner(1), true)
		began := time.Now()
		w.hosts["h"].ReportSilent(runner(1))
		time.Sleep(4 * time.Second)
		w.set(runner(1), false)
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		is.True(w.at[0].Sub(began) < 300*time.Millisecond)
		last := len(w.told) - 1
		for i, v := range w.told[:last] {
			is.True(v.Silent)
			is.True(i == 0 || w.at[i].Sub(w.at[i-1]) < w.told[i-1].TTL/2) // never lapses in between
		}
		is.True(!w.told[last].Silent)
		is.Equal(w.told[last].Instance, runner(1))
	})
}

// A host that lies, or is cut off itself, takes no runner from the others.
func TestOneHostsWordIsNotEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10, owner, "h")
		w.cut["h"] = true
		for i := range 10 {
			w.hosts["h"].ReportSilent(runner(i))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(w.told), 0)
		is.Equal(w.asked, 10)
	})
}

// An owner that is cut off finds all its runners silent: most of them aren't told.
func TestOwnerThatIsCutOffSparesMostRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10, owner, "h")
		w.cut[owner] = true
		for i := range 10 {
			w.hosts["h"].ReportSilent(runner(i))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		told := map[state.InstanceID]bool{}
		for _, v := range w.told {
			told[v.Instance] = true
		}
		is.Equal(len(told), 5)
	})
}

// Requests that fail by the hundred cost a question every so often, not one each.
func TestReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10, owner, "h", "i")
		for range 100 {
			w.hosts["h"].ReportSilent(runner(1)) // its answers are lost, but it is there
			w.hosts["i"].ReportSilent(runner(1))
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		is.True(w.asked <= 2*int(time.Second/reportEvery))
		is.Equal(len(w.told), 0)
	})
}

// A runner that has left the list, or restarted as another run, is asked no more.
func TestRunnerThatIsGoneIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 0, owner)
		w.set(runner(1), true)
		w.hosts[owner].ReportSilent(runner(1))
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(w.asked, 1)
		is.Equal(len(w.told), 0)
		is.Equal(len(w.hosts[owner].watched), 0)
	})
}
