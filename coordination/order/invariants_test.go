package order

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/thymerack/thymerack/coordination/fuzztest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	fuzztest.Main(m, fuzztest.Defaults{Seed: 20260101, Checks: 25, Steps: 300})
}

// checkInvariants runs the fuzzing; a violation of any invariant fails the test.
func checkInvariants(t *testing.T, restriction profile) {
	t.Parallel()
	tried := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := fuzz(rt, mutation{}, restriction)
		for k, n := range w.stats {
			tried[k] += n
		}
		if w.violation != "" {
			rt.Fatalf("%s: %s", w.violation, w.detail)
		}
	})
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(tried)) {
		fmt.Fprintf(&b, "\n%8d %s", tried[k], k)
	}
	t.Log("tried:", b.String())
}

// An engine never accepts an order after a later one with another target.
func TestHoldsNoConflictingOrders(t *testing.T) { checkInvariants(t, profile{start: lateStart}) }

// An order never changes an engine while requests run there, and no request reaches
// an engine during a change.
func TestHoldsNoAnswerCutByChange(t *testing.T) { checkInvariants(t, profile{start: freshStart}) }

// An order changes an engine only while the engine's object is issued with the same
// target.
func TestHoldsLostAuthorityHasNoEffect(t *testing.T) { checkInvariants(t, profile{start: pausedStart}) }

// The fuzzing must detect a missing safety mechanism. The runs are the same each
// time, and one of the first runs (the limit of the table) must detect it.
func TestFuzzFindsMissingMechanism(t *testing.T) {
	checking := profile{engine: "checks", start: freshStart}
	ignoring := profile{engine: "ignores", start: pausedStart}
	for _, m := range []struct {
		name        string
		mutation    mutation
		restriction profile
		within      int
	}{
		{"order sent without a successful write", mutation{planner: plannerMutation{sendWithoutWrite: true}}, checking, 500},
		{"lost answer treated as success", mutation{planner: plannerMutation{trustLostAnswer: true}}, checking, 500},
		{"no wait for acknowledgements", mutation{planner: plannerMutation{ignoreAcks: true}}, profile{}, 100},
		{"request counted without a second check of the view", mutation{enterUnchecked: true}, profile{}, 100},
		{"requests served before the orders are listed", mutation{serveBeforeList: true}, profile{}, 100},
		{"no wait for releases", mutation{planner: plannerMutation{ignoreReleases: true}}, ignoring, 200},
		{"release during a step", mutation{planner: plannerMutation{releaseInStep: true}}, ignoring, 200},
		{"no wait for unanswered orders", mutation{planner: plannerMutation{ignoreDeliveryDelay: true}}, profile{engine: "ignores", start: lateStart}, 500},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			runs := rapid.Custom(func(rt *rapid.T) *simulation { return fuzz(rt, m.mutation, m.restriction) })
			for n := 1; n <= m.within; n++ {
				if w := runs.Example(n); w.violation != "" {
					t.Logf("detected in run %d of at most %d: %s: %s", n, m.within, w.violation, w.detail)
					return
				}
			}
			is.Fail() // the missing mechanism was not detected
		})
	}
}
