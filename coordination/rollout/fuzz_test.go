package rollout_test

import (
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/rollout"
	"pgregory.net/rapid"
)

// stepActions lists the actions of a step; a repeated one is drawn more often.
var stepActions = []string{
	"edit", "edit", "edit", "edit on what is in force", "race", "write an invalid value",
	"platform down", "host platform down", "kill", "start", "start", "cut", "pause", "last platform",
}

// schedules generates random schedules of 10 to 25 steps.
var schedules = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Pause:         rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second}).Draw(t, "after"),
		FaultDuration: rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 2 * time.Second, 6 * time.Second, 15 * time.Second}).Draw(t, "for"),
		Action:        rapid.SampledFrom(stepActions).Draw(t, "do"),
		Host:          rapid.IntRange(0, fuzzHosts-1).Draw(t, "host"),
	}
}), 10, 25)

// TestHoldsConfigNeverReverts runs random schedules of racing edits, platform
// outages, lost answers, restarts, network partitions and paused hosts. It guards
// against a host that returns to a lower version, an edit whose reported outcome is
// wrong, a history that isn't linearizable and hosts that don't converge.
func TestHoldsConfigNeverReverts(t *testing.T) {
	var seed uint64
	var edits, ops int
	rapid.Check(t, func(rt *rapid.T) {
		steps := schedules.Draw(rt, "schedule")
		seed++
		r := runSchedule(t, seed, steps, func(*rollout.Manager) {})
		edits += r.edits
		ops += len(r.ops)
		if r.violation != nil {
			rt.Fatal(r.violation)
		}
	})
	t.Logf("%d runs: %d edits accepted, %d operations", seed, edits, ops)
}

// TestRolloutFaultsAreDetected shows that the checks of the schedules detect faults
// injected into the manager.
func TestRolloutFaultsAreDetected(t *testing.T) {
	const maxRuns = 100
	for name, setup := range map[string]func(*rollout.Manager){
		"apply any version":    func(m *rollout.Manager) { m.SetFault(rollout.FaultApplyAny) },
		"assume edit was made": func(m *rollout.Manager) { m.SetFault(rollout.FaultAssumeCommitted) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for n := 1; n <= maxRuns; n++ {
				if r := runSchedule(t, uint64(n), schedules.Example(n), setup); r.violation != nil {
					t.Logf("detected after %d runs: %v", n, r.violation)
					return
				}
			}
			t.Fatalf("fault not detected in %d runs", maxRuns)
		})
	}
}
