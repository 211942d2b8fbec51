package dispatch_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// crashFleet is a set of hosts, each with engines of its own, that share crash reports. An
// engine crashes when a request breaks off there.
type crashFleet struct {
	hosts []*world

	mu      sync.Mutex
	tables  []*quarantine.Table
	crashes int
}

// crashReportDelay is the time until a crash is detected and known to all hosts.
const crashReportDelay = 50 * time.Millisecond

func newCrashFleet(t *testing.T, n int) *crashFleet {
	t.Helper()
	f := &crashFleet{}
	for i := range n {
		w := newWorld(mixed(4)...)
		table := quarantine.NewTable(clocktest.Bubble{})
		host := &crashHost{f, fmt.Sprint("h", i), table}
		w.crashes, w.quarantine, w.retries = host, host, exponentialRetries{}
		f.tables = append(f.tables, table)
		f.hosts = append(f.hosts, w.start(t))
	}
	return f
}

// exponentialRetries allows every retry, with pauses as short as those of the daemon.
type exponentialRetries struct{ unlimitedRetries }

func (exponentialRetries) Backoff(attempt int) time.Duration { return backoff << (attempt - 1) }

// crashHost implements dispatch.CrashReporter and dispatch.Quarantine for one host.
type crashHost struct {
	f     *crashFleet
	name  string
	table *quarantine.Table
}

// ReportBroken implements dispatch.CrashReporter. It takes every report for a crash, which
// all hosts know of after crashReportDelay.
func (h *crashHost) ReportBroken(u state.Upstream, s quarantine.Suspect) {
	h.f.mu.Lock()
	h.f.crashes++
	run := state.InstanceID{Name: fmt.Sprint(h.name, u.Name), Born: int64(h.f.crashes)}
	h.f.mu.Unlock()
	c := quarantine.Crash{Run: run, Host: h.name, At: time.Now(), Suspects: []quarantine.Suspect{s}}
	time.AfterFunc(crashReportDelay, func() {
		for _, t := range h.f.tables {
			t.RecordCrash(c, t == h.table)
		}
	})
}

// Held implements dispatch.Quarantine.
func (h *crashHost) Held(d quarantine.Digest) *quarantine.Hold { return h.table.Held(d) }

// ReportAnswered implements dispatch.Quarantine.
func (h *crashHost) ReportAnswered(d quarantine.Digest) { h.table.ReportAnswered(d) }
