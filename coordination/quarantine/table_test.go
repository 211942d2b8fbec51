package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

// run returns the id of the run with that number.
func run(n int) state.InstanceID { return state.InstanceID{Name: fmt.Sprint("r", n), Born: 1} }

// digest returns the digest of the request with that number.
func digest(n int) Digest { return DigestOf(Content{URI: fmt.Sprint(n)}) }

// fresh returns a suspect that had just been sent to its runner.
func fresh(n int) Suspect { return Suspect{Digest: digest(n), RequestID: fmt.Sprint("q", n)} }

// longRunning returns a suspect whose answer had begun long before the crash.
func longRunning(n int) Suspect {
	s := fresh(n)
	s.LongRunning = true
	return s
}

// answeredBefore returns a suspect of which a copy had been answered.
func answeredBefore(n int) Suspect {
	s := fresh(n)
	s.AnsweredBefore = true
	return s
}

// crashOf returns the crash of the run with that number.
func crashOf(n int, suspects ...Suspect) Crash {
	return Crash{Run: run(n), Host: "h", At: time.Unix(int64(n), 0), Suspects: suspects}
}

// recordCrashes records one crash for each list of suspects, burstWindow apart, and returns the
// requests that are held.
func recordCrashes(t *Table, of ...[]Suspect) (held []Digest) {
	for n, suspects := range of {
		held = append(held, t.RecordCrash(crashOf(n, suspects...), true)...)
		time.Sleep(burstWindow)
	}
	return held
}

func TestHoldThreshold(t *testing.T) {
	one := func(s Suspect) []Suspect { return []Suspect{s} }
	for name, c := range map[string]struct {
		crashes [][]Suspect
		held    []Digest
	}{
		"one crash":                                                {[][]Suspect{{fresh(1), fresh(2)}}, nil},
		"two crashes of a new request":                             {[][]Suspect{one(fresh(1)), one(fresh(1))}, []Digest{digest(1)}},
		"three crashes of a long-running request":                  {[][]Suspect{one(longRunning(1)), one(longRunning(1)), one(longRunning(1))}, nil},
		"four crashes of a long-running request":                   {[][]Suspect{one(longRunning(1)), one(longRunning(1)), one(longRunning(1)), one(longRunning(1))}, []Digest{digest(1)}},
		"one crash of a new request and two of a long-running one": {[][]Suspect{one(fresh(1)), one(longRunning(1)), one(longRunning(1))}, []Digest{digest(1)}},
		"three crashes, answered before":                           {[][]Suspect{one(answeredBefore(1)), one(answeredBefore(1)), one(answeredBefore(1))}, nil},
		"four crashes, answered before":                            {[][]Suspect{one(answeredBefore(1)), one(answeredBefore(1)), one(answeredBefore(1)), one(answeredBefore(1))}, []Digest{digest(1)}},
		"bystanders are not held":                                  {[][]Suspect{{fresh(1), fresh(2)}, {fresh(1), fresh(3)}, {fresh(2)}, {fresh(3)}}, []Digest{digest(1)}},
		"two culprits at the same crashes":                         {[][]Suspect{{fresh(1), fresh(2)}, {fresh(1), fresh(2)}}, []Digest{digest(1), digest(2)}},
		"two culprits at separate crashes":                         {[][]Suspect{{fresh(1), fresh(2)}, {fresh(1)}, {fresh(2)}, {fresh(2)}}, []Digest{digest(1), digest(2)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := NewTable(clocktest.Bubble{})
				is.Equal(recordCrashes(table, c.crashes...), c.held)
				for _, d := range c.held {
					is.True(table.Held(d) != nil)
				}
				is.Equal(len(table.Holds()), len(c.held))
			})
		})
	}
}

func TestCrashOfOneRunCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(clocktest.Bubble{})
		for _, host := range []string{"a", "b", "a"} { // two hosts had a copy there, one reports twice
			c := crashOf(1, fresh(1), fresh(1))
			c.Host = host
			is.Equal(len(table.RecordCrash(c, host == "a")), 0)
		}
		again := crashOf(1, fresh(1)) // the next run of the same runner
		again.Run.Born = 2
		is.Equal(table.RecordCrash(again, false), []Digest{digest(1)})
		is.True(table.Held(digest(1)).Local)
		is.Equal(len(table.Held(digest(1)).Evidence), 2)
	})
}

// Crashes of a request that was answered before count once for each burst. Many copies at a time
// may crash many runners, and the bursts after them must still count.
func TestBurstsCountOnceEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(clocktest.Bubble{})
		for n := range 3 * maxEvidence {
			is.Equal(len(table.RecordCrash(crashOf(n, answeredBefore(1)), true)), 0)
		}
		for n := 100; n < 102; n++ {
			time.Sleep(burstWindow)
			is.Equal(len(table.RecordCrash(crashOf(n, answeredBefore(1)), true)), 0)
		}
		time.Sleep(burstWindow)
		is.Equal(table.RecordCrash(crashOf(102, answeredBefore(1)), true), []Digest{digest(1)})
	})
}

// Runners that are lost together don't count as separate crashes of a request that all of them ran
// and that was answered before.
func TestBurstDoesNotHoldAnsweredRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(clocktest.Bubble{})
		for n := range 50 {
			is.Equal(len(table.RecordCrash(crashOf(n, answeredBefore(1)), false)), 0)
		}
		time.Sleep(burstWindow)
		suspected, held := table.ReportAnswered(digest(1)) // by a remaining runner
		is.True(suspected && !held)
		for n := range 50 {
			is.Equal(len(table.RecordCrash(crashOf(100+n, answeredBefore(1)), false)), 0)
		}
	})
}

func TestAnswerClearsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(clocktest.Bubble{})
		suspected, held := table.ReportAnswered(digest(1))
		is.True(!suspected && !held)
		is.True(table.AnsweredRecently(digest(1)))
		is.True(!table.AnsweredRecently(digest(2)))
		table.RecordCrash(crashOf(1, fresh(2)), true)
		suspected, held = table.ReportAnswered(digest(2))
		is.True(suspected && !held)
		is.Equal(len(table.RecordCrash(crashOf(2, fresh(2)), true)), 0)
		is.Equal(len(table.RecordCrash(crashOf(3, fresh(2)), true)), 1)
		suspected, held = table.ReportAnswered(digest(2)) // a copy that was running when the request was held
		is.True(suspected && held)
		is.True(table.Held(digest(2)) == nil)
	})
}

// Crashes that a held request explains don't hold the requests beside it, in whatever order they
// are reported.
func TestExplainedCrashesDoNotHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(clocktest.Bubble{})
		is.Equal(recordCrashes(table, []Suspect{fresh(1), fresh(2)}, []Suspect{fresh(1)}), []Digest{digest(1)})
		is.Equal(len(table.RecordCrash(crashOf(7, fresh(2)), false)), 0) // its first crash is explained
		is.Equal(len(table.RecordCrash(crashOf(8, fresh(3)), false)), 0)
		is.Equal(len(table.RecordCrash(crashOf(8, fresh(1)), false)), 0) // another host had it there
		is.Equal(len(table.RecordCrash(crashOf(9, fresh(3)), false)), 0)
		is.True(table.Hold(digest(4), []Evidence{{Runner: run(9).Name, Born: 1}}))
		is.Equal(len(table.RecordCrash(crashOf(10, fresh(3)), false)), 0)
	})
}

func TestNextCrashHoldsRequestOnTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(clocktest.Bubble{})
		recordCrashes(table, []Suspect{fresh(1)}, []Suspect{fresh(1)})
		table.ReleaseOnTrial(digest(1))
		is.True(table.Held(digest(1)) == nil)
		is.Equal(table.RecordCrash(crashOf(5, longRunning(1)), false), []Digest{digest(1)})
		table.Clear(digest(1))
		is.Equal(len(table.RecordCrash(crashOf(6, fresh(1)), false)), 0)
	})
}

func TestTableIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(clocktest.Bubble{})
		for n := range maxRecords + 100 {
			table.RecordCrash(crashOf(n, fresh(n)), false)
		}
		is.True(len(table.records) <= maxRecords+1)
		is.True(len(table.runs) <= maxRecords+1)
		for n := range maxHeld + 10 {
			table.Hold(digest(-1-n), nil)
			time.Sleep(time.Millisecond)
		}
		is.Equal(len(table.Holds()), maxHeld)
		is.True(table.Held(digest(-1)) == nil) // the oldest one was evicted
		time.Sleep(recordTTL + time.Second)
		table.RecordCrash(crashOf(1, fresh(0)), false)
		is.Equal(len(table.records), 1)
		is.Equal(len(table.runs), 1)
	})
}

// BenchmarkRequestPath measures the time and the allocations that the table costs each request,
// with a hundred others held.
func BenchmarkRequestPath(b *testing.B) {
	table := NewTable(clocktest.Bubble{})
	for n := range 100 {
		table.Hold(digest(n), nil)
	}
	d := digest(-1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if table.Held(d) == nil {
				table.ReportAnswered(d)
			}
		}
	})
}
