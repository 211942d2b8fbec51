package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// manualClock returns the time that the test sets.
type manualClock struct {
	state.Clock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

func TestSpeedsAreLearntFromReports(t *testing.T) {
	is := is.New(t)
	k := engines(1)
	clock := &manualClock{now: epoch}
	r, err := New(Options{Clock: clock})
	is.NoErr(err)
	q := &Query{Service: "llm", PromptTokens: 10, ExpectedOutput: 10}
	for i := range 40 {
		clock.now = clock.now.Add(time.Second)
		batch := int64(1 + i%8)
		k.SetLoad(state.LoadReport{
			Engine: "engine-0000", TakenAt: clock.now, Shown: state.Target{Role: state.RoleMixed, Model: "m"},
			DecodeRunning: batch, DecodeStepMillis: 10 + 0.5*float64(batch-1), PrefillTokensPerSecond: 5000,
		})
		_, err := r.Pick(k.View(), q)
		is.NoErr(err)
	}
	prefill, step := r.SpeedsAt("engine-0000", 21)
	is.True(prefill > 4900 && prefill < 5100)
	is.True(step > 19500*time.Microsecond && step < 20500*time.Microsecond)
}

func TestMaxBatchIsLearntFromReports(t *testing.T) {
	is := is.New(t)
	st := newRunnerStats("e", Speeds{}.withDefaults())
	s := *st.speeds()
	for range plateauReports + 1 {
		st.updateMaxBatch(&s, 12, 20)
	}
	is.Equal(s.MaxBatch, 12.0)
	st.updateMaxBatch(&s, 48, 48) // a larger batch was observed
	is.Equal(s.MaxBatch, 48.0)
}

func TestSlowEngineIsAvoidedUntilItsSlowdownDecays(t *testing.T) {
	is := is.New(t)
	k := engines(2)
	clock := &manualClock{now: epoch}
	r, err := New(Options{Clock: clock, Seed: 3})
	is.NoErr(err)
	q := &Query{Service: "llm", PromptTokens: 1000, ExpectedOutput: 50}
	pick := func() string {
		c, err := r.Pick(k.View(), q)
		is.NoErr(err)
		return c.Runner.Name
	}
	pick()
	for range 10 {
		r.RecordFirstToken("engine-0000", 100*time.Millisecond, 500*time.Millisecond)
		r.RecordDecode(k.View(), "engine-0000", 50, 5*time.Second)
	}
	for range 20 {
		is.Equal(pick(), "engine-0001")
	}
	slow := r.TokenInterval("engine-0000", 1)
	clock.now = clock.now.Add(time.Minute)
	is.True(r.TokenInterval("engine-0000", 1) < slow/2)
}

func TestEstimateLoadWeighsAnAgingReportAgainstCounts(t *testing.T) {
	is := is.New(t)
	k := engines(1)
	runner := &k.View().Runners[0]
	st := newRunnerStats(runner.Name, Speeds{}.withDefaults())
	st.setSpeeds(func(s *Speeds) { s.PrefillTokensPerSecond = 1000 })
	estimate := func(r snapshot.Runner, age time.Duration) float64 {
		c := Candidate{Runner: &r, stats: st}
		c.estimateLoad(r.Load.TakenAt.Add(age).UnixNano())
		return c.BacklogTokens
	}
	r := *runner
	r.PeerWork = snapshot.Work{PrefillTokens: 600}
	r.Load.PrefillBacklogTokens = 3000
	is.Equal(estimate(r, 0), 3000.0)                                // only a fresh report counts
	is.Equal(estimate(r, reportHalfLife), (2500+600)/2.0)           // 500 tokens were computed since; both have the same weight
	is.True(estimate(r, time.Hour) < 601)                           // an old report has almost no weight
	r.Load = state.LoadReport{}                                     // no report
	is.Equal(estimate(r, 0), 600.0)                                 // only the counts
	st.recordSent(epoch, 250)                                       // sent after the report
	r.Load = state.LoadReport{TakenAt: epoch.Add(-time.Second / 2)} // a report of an empty engine
	is.Equal(estimate(r, 0), 250.0)
}

func TestReportOfAnotherRoleReplacesTheSpeeds(t *testing.T) {
	is := is.New(t)
	k := engines(1)
	st := newRunnerStats("engine-0000", Speeds{}.withDefaults())
	st.observe(k.View().Runner("engine-0000"))
	is.Equal(st.speeds().PrefillTokensPerSecond, 10000.0)
	changed := report("engine-0000", 0)
	changed.TakenAt = epoch
	changed.Shown.Role = state.RoleDecode
	changed.PrefillTokensPerSecond = 2500
	k.SetLoad(changed)
	st.observe(k.View().Runner("engine-0000"))
	is.Equal(st.speeds().PrefillTokensPerSecond, 2500.0)
}
