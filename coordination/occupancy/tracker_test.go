package occupancy

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

const (
	ttl   = 2 * time.Second
	slots = 4
)

// instanceID returns the ID of the only run of an engine.
func instanceID(engine string) state.InstanceID { return state.InstanceID{Name: engine} }

// slotRequest asks for one of an engine's slots.
func slotRequest(engine string) Request {
	return Request{Engine: instanceID(engine), MaxInFlight: slots, TTL: ttl}
}

// prefillRequest asks for a prefill that is predicted to take about 43 ms before there are
// samples.
func prefillRequest(engine string) Request {
	return Request{Engine: instanceID(engine), TTL: ttl, Prefill: &Prefill{
		Service: "s", Prompt: backlog.Prompt{OwnTokens: 4000}, MemoryTokens: 1e6, MaxWait: time.Second, MaxFinish: time.Second,
	}}
}

// fill takes all slots of an engine.
func fill(tracker *Tracker, engine string) []uint64 {
	var out []uint64
	for {
		id := tracker.Enter(slotRequest(engine)).ID
		if id == 0 {
			return out
		}
		out = append(out, id)
	}
}

func TestReservationsAreBoundedPerEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		reservations := fill(tracker, "a")
		is.Equal(len(reservations), slots)
		is.Equal(len(fill(tracker, "b")), slots)
		tracker.Leave(instanceID("a"), reservations[0], false)
		is.Equal(len(fill(tracker, "a")), 1)
	})
}

func TestPrefillsAreBoundedByPredictedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		req := prefillRequest("a")
		req.Prefill.MaxWait = 100 * time.Millisecond
		var last Response
		admitted := 0
		for last = tracker.Enter(req); last.ID != 0; last = tracker.Enter(req) {
			admitted++
		}
		is.Equal(admitted, 3) // 0, 43 and 86 ms
		is.True(last.Forecast.Wait > req.Prefill.MaxWait)
		is.True(tracker.Enter(prefillRequest("b")).ID != 0) // another engine
	})
}

func TestLatePrefillIsAdmittedOnlyWithAllowLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		req := prefillRequest("a")
		req.Prefill.MaxFinish = 10 * time.Millisecond
		is.Equal(tracker.Enter(req).ID, uint64(0))
		req.Prefill.AllowLate = true
		is.True(tracker.Enter(req).ID != 0)
	})
}

func TestRequireCachedAdmitsOnlyCachedPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		req := prefillRequest("a")
		req.Prefill.Prompt.Parts = []backlog.Part{{ID: 3, Tokens: 9000}}
		req.Prefill.RequireCached = true
		is.Equal(tracker.Enter(req).ID, uint64(0))
		req.Prefill.RequireCached = false
		tracker.Leave(instanceID("a"), tracker.Enter(req).ID, true)
		req.Prefill.RequireCached = true
		is.True(tracker.Enter(req).ID != 0)
	})
}

func TestRemainingTimeOfReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		id := tracker.Enter(prefillRequest("a")).ID
		f, progress := tracker.Remaining(instanceID("a"), id)
		is.Equal(progress, backlog.InProgress)
		time.Sleep(10 * time.Millisecond)
		later, _ := tracker.Remaining(instanceID("a"), id)
		is.Equal(f.Finish-later.Finish, 10*time.Millisecond)
		_, progress = tracker.Remaining(instanceID("a"), id+1)
		is.Equal(progress, backlog.Unknown)
		_, progress = tracker.Remaining(instanceID("b"), id)
		is.Equal(progress, backlog.Unknown)
	})
}

// A lost host doesn't report the end of its requests, and its reservations must not block the
// engine.
func TestReservationExpiresAfterTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		reservations := fill(tracker, "a")
		prefill := tracker.Enter(prefillRequest("r")).ID
		time.Sleep(ttl + time.Millisecond)
		is.Equal(len(fill(tracker, "a")), slots)
		tracker.Leave(instanceID("a"), reservations[0], true) // a late report doesn't free a slot twice
		is.Equal(len(fill(tracker, "a")), 0)
		is.Equal(tracker.Enter(prefillRequest("r")).Forecast.Wait, time.Duration(0))
		tracker.Leave(instanceID("r"), prefill, true)
	})
}

func TestUnknownReservationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		tracker.Leave(instanceID("a"), 7, true)
		is.Equal(len(fill(tracker, "a")), slots)
		tracker.Leave(instanceID("a"), 77, false)
		is.Equal(len(fill(tracker, "a")), 0)
	})
}

func TestIdleEnginesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		fill(tracker, "a")
		time.Sleep(idleTTL + time.Second)
		fill(tracker, "b")
		is.Equal(len(tracker.engines), 1)
	})
}

// A restarted engine has an empty cache and no work in progress. The end of a request to its
// former run must not free a reservation of the new run.
func TestRestartedEngineHasNewCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		req := prefillRequest("a")
		req.Prefill.Prompt.Parts = []backlog.Part{{ID: 1, Tokens: 6000}}
		first := tracker.Enter(req)
		tracker.Leave(req.Engine, first.ID, true)
		is.Equal(tracker.Enter(req).Forecast.CachedTokens, 6000)
		former := req.Engine
		req.Engine.Born = 2
		second := tracker.Enter(req)
		is.Equal(second.Forecast.CachedTokens, 0)
		is.Equal(second.Forecast.Wait, time.Duration(0))
		tracker.Leave(former, second.ID, true)
		_, progress := tracker.Remaining(req.Engine, second.ID)
		is.Equal(progress, backlog.InProgress)
	})
}
