package route

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engines returns the snapshot of a service with n engines in three failure domains.
// Each engine reported its load 100 ms before epoch.
func engines(n int) *snapshot.Keeper {
	k := snapshot.NewKeeper()
	var list []state.Listed
	for i := range n {
		list = append(list, state.Listed{
			Name: fmt.Sprintf("engine-%04d", i), Kind: state.ListedEngine, State: state.ListedLive,
			Incarnation: "one", FailureDomain: fmt.Sprintf("place-%d", i%3), Service: "llm",
		})
	}
	k.SetListed(list)
	for _, l := range list {
		k.SetLoad(report(l.Name, 0))
	}
	return k
}

// report returns a load report of a mixed engine, taken 100 ms before epoch.
func report(name string, backlog int64) state.LoadReport {
	return state.LoadReport{
		Engine: name, Incarnation: "one", TakenAt: epoch.Add(-100 * time.Millisecond),
		Shown:                state.Target{Role: state.RoleMixed, Model: "m@1"},
		PrefillBacklogTokens: backlog, PrefillTokensPerSecond: 10000,
		DecodeRunning: 4, DecodeStepMillis: 20,
	}
}

// fixedClock always returns epoch.
type fixedClock struct{ state.Clock }

func (fixedClock) Now() time.Time { return epoch }

// newRouter returns a router with a fixed clock and seed.
func newRouter(t testing.TB) *Router {
	t.Helper()
	r, err := New(Options{Clock: fixedClock{}, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestPickTakesTheEngineWithTheLeastBacklog(t *testing.T) {
	is := is.New(t)
	k := engines(4)
	for i, tokens := range []int64{9000, 5000, 100, 7000} {
		k.View().Runners[i].InFlight.Add(snapshot.Work{Requests: 1, PrefillTokens: tokens})
	}
	c, err := newRouter(t).Pick(k.View(), &Query{Service: "llm", Model: "m", PromptTokens: 1000, ExpectedOutput: 10})
	is.NoErr(err)
	is.Equal(c.Runner.Name, "engine-0002")
	is.True(c.FirstToken > 0 && c.Finish > c.FirstToken)
}

func TestPickReportsTheReasonForNoRunner(t *testing.T) {
	is := is.New(t)
	k := engines(2)
	r := newRouter(t)
	tests := []struct {
		q    Query
		want Reason
	}{
		{Query{Service: "other"}, ReasonUnknownService},
		{Query{Service: "llm", Model: "x"}, ReasonNoModel},
		{Query{Service: "llm", Exclude: []string{"engine-0000", "engine-0001"}}, ReasonAllTried},
	}
	for _, tt := range tests {
		_, err := r.Pick(k.View(), &tt.q)
		var none *NoRunnerError
		is.True(errors.As(err, &none))
		is.Equal(none.Reason, tt.want)
		is.True(none.RetryAfter > 0)
	}
}

func BenchmarkPick12(b *testing.B)   { benchmarkPick(b, 12) }
func BenchmarkPick1800(b *testing.B) { benchmarkPick(b, 1800) }

func benchmarkPick(b *testing.B, n int) {
	k := engines(n)
	r := newRouter(b)
	v := k.View()
	q := &Query{
		Service: "llm", Model: "m", PromptTokens: 4000, ExpectedOutput: 100, FailureDomain: "place-1",
		Prefixes: []uint64{11, 12, 13, 14, 15, 16, 17, 18}, BlockTokens: 500,
	}
	for range 3 {
		c, err := r.Pick(v, q)
		if err != nil {
			b.Fatal(err)
		}
		r.RecordSent(q, &c)
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := processTime(b)
	for range b.N {
		if _, err := r.Pick(v, q); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// processTime returns the CPU time used by the process so far. Unlike the wall clock
// it doesn't include the load of other processes on a shared machine.
func processTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func TestPickAllocatesNothing(t *testing.T) {
	for _, n := range []int{12, 300} {
		is := is.New(t)
		k := engines(n)
		r := newRouter(t)
		q := prompt(1, 60, 10, 1)
		c, err := r.Pick(k.View(), q)
		is.NoErr(err)
		r.RecordSent(q, &c)
		v := k.View()
		is.Equal(testing.AllocsPerRun(100, func() { _, _ = r.Pick(v, q) }), 0.0)
	}
}

func TestPickInALargeServiceSpreadsAndAvoidsLoadedEngines(t *testing.T) {
	is := is.New(t)
	k := engines(200)
	loaded := k.View().Runner("engine-0007")
	loaded.InFlight.Add(snapshot.Work{Requests: 20, PrefillTokens: 1 << 20})
	r := newRouter(t)
	picked := map[string]int{}
	for range 2000 {
		c, err := r.Pick(k.View(), &Query{Service: "llm", Model: "m", PromptTokens: 100, ExpectedOutput: 10})
		is.NoErr(err)
		picked[c.Runner.Name]++
	}
	is.True(len(picked) > 150)
	is.Equal(picked["engine-0007"], 0)
}

func TestPickInALargeServiceFindsTheOnlyAvailableRunner(t *testing.T) {
	is := is.New(t)
	k := engines(100)
	for i := range 99 {
		k.MarkLeaving(fmt.Sprintf("engine-%04d", i), "one")
	}
	c, err := newRouter(t).Pick(k.View(), &Query{Service: "llm"})
	is.NoErr(err)
	is.Equal(c.Runner.Name, "engine-0099")
}

func TestPickPrefersTheEngineWithTheCachedPrompt(t *testing.T) {
	for _, n := range []int{12, 200} {
		is := is.New(t)
		k := engines(n)
		r := newRouter(t)
		_, err := r.Pick(k.View(), prompt(1, 4, 0, 0)) // builds the index
		is.NoErr(err)
		q := prompt(5, 100, 10, 1)
		var events []CacheEvent
		for i, p := range q.Prefixes {
			events = append(events, CacheEvent{Prefix: p, Blocks: i + 1})
		}
		r.ApplyCacheEvents("engine-0009", false, events)
		c, err := r.Pick(k.View(), prompt(5, 100, 10, 2))
		is.NoErr(err)
		is.Equal(c.Runner.Name, "engine-0009")
		is.True(c.CachedTokens > 80*64)
	}
}

func TestPickExplainsEveryRunnerOfASmallService(t *testing.T) {
	is := is.New(t)
	k := engines(3)
	k.MarkLeaving("engine-0001", "one")
	c, err := newRouter(t).Pick(k.View(), &Query{Service: "llm", PromptTokens: 10, Explain: true})
	is.NoErr(err)
	is.Equal(len(c.Candidates), 3)
	rejected := map[string]string{}
	for _, o := range c.Candidates {
		rejected[o.Name] = o.Rejected
		is.Equal(o.KnowledgeAgeMillis, int64(100))
	}
	is.Equal(rejected, map[string]string{"engine-0000": "", "engine-0001": "takes-work", "engine-0002": ""})
	is.True(c.Why != "")
}

// reportRoles gives the first engines the roles, by a later report of each.
func reportRoles(k *snapshot.Keeper, roles ...state.Role) {
	for i, role := range roles {
		l := report(fmt.Sprintf("engine-%04d", i), 0)
		l.TakenAt = epoch.Add(-50 * time.Millisecond)
		l.Shown.Role = role
		k.SetLoad(l)
	}
}

func TestPathIsSplitWhenTheMixedEngineIsBusy(t *testing.T) {
	is := is.New(t)
	k := engines(3)
	reportRoles(k, state.RoleMixed, state.RolePrefill, state.RoleDecode)
	r := newRouter(t)
	q := &Query{Service: "llm", Model: "m", PromptTokens: 4000, ExpectedOutput: 100}
	k.View().Runner("engine-0001").InFlight.Add(snapshot.Work{Requests: 9, PrefillTokens: 90000})
	path, err := r.PickPath(k.View(), q)
	is.NoErr(err)
	is.True(!path.Split)
	is.Equal(path.Prefill.Runner.Name, "engine-0000")

	k.View().Runner("engine-0000").InFlight.Add(snapshot.Work{Requests: 30, PrefillTokens: 900000})
	path, err = r.PickPath(k.View(), q)
	is.NoErr(err)
	is.True(path.Split)
	is.Equal(path.Prefill.Runner.Name, "engine-0001")
	is.Equal(path.Decode.Runner.Name, "engine-0002")
}

func TestPathWithoutDecodeEnginesHasNoRunner(t *testing.T) {
	is := is.New(t)
	k := engines(2)
	reportRoles(k, state.RolePrefill, state.RolePrefill)
	_, err := newRouter(t).PickPath(k.View(), &Query{Service: "llm", Model: "m", PromptTokens: 10})
	none, ok := AsNoRunnerError(err)
	is.True(ok)
	is.Equal(none.Reason, ReasonNoRole)
}

func TestPriorityOrdersByLatestStart(t *testing.T) {
	is := is.New(t)
	soon := Priority(false, epoch.Add(5*time.Second), 4*time.Second)
	later := Priority(false, epoch.Add(5*time.Second), time.Second)
	urgent := Priority(true, epoch.Add(10*time.Minute), 0)
	is.True(urgent > soon && soon > later)
	is.Equal(Priority(true, time.Time{}, 0), 0)
}

func TestPlainServicePrefersFewestInFlightThenSameDomain(t *testing.T) {
	is := is.New(t)
	k := snapshot.NewKeeper()
	var list []state.Listed
	for i, domain := range []string{"here", "there", "here"} {
		list = append(list, state.Listed{Name: fmt.Sprint("s", i), Kind: state.ListedService, State: state.ListedLive, FailureDomain: domain, Service: "app"})
	}
	k.SetListed(list)
	r := newRouter(t)
	pick := func() string {
		c, err := r.Pick(k.View(), &Query{Service: "app", FailureDomain: "here"})
		is.NoErr(err)
		return c.Runner.Name
	}
	k.View().Runner("s0").InFlight.Add(snapshot.Work{Requests: 1})
	is.Equal(pick(), "s2") // as idle as s1, and in the query's domain
	k.View().Runner("s2").InFlight.Add(snapshot.Work{Requests: 3})
	is.Equal(pick(), "s1") // idle, although in another domain
	k.SetPeerWork(epoch, map[string]snapshot.Work{"s1": {Requests: 9}})
	is.Equal(pick(), "s0") // requests in flight from peers count too
}

// A runner that backs off isn't chosen. If all runners do, RetryAfter is the time until
// the first backoff ends.
func TestRunnersThatBackOffAreNotChosen(t *testing.T) {
	is := is.New(t)
	backoffs := map[string]time.Duration{"engine-0000": 3 * time.Second, "engine-0001": 2 * time.Second}
	r, err := New(Options{Clock: fixedClock{}, Seed: 1, BackoffUntil: func(runner *snapshot.Runner) time.Time {
		if d := backoffs[runner.Name]; d > 0 {
			return epoch.Add(d)
		}
		return time.Time{}
	}})
	is.NoErr(err)
	k := engines(3)
	q := &Query{Service: "llm", Model: "m", PromptTokens: 100, ExpectedOutput: 10}
	for range 20 {
		c, err := r.Pick(k.View(), q)
		is.NoErr(err)
		is.Equal(c.Runner.Name, "engine-0002")
	}
	backoffs["engine-0002"] = time.Minute
	_, err = r.Pick(k.View(), q)
	var none *NoRunnerError
	is.True(errors.As(err, &none))
	is.Equal(none.Reason, ReasonBackingOff)
	is.Equal(none.RetryAfter, 2*time.Second)
}
