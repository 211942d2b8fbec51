package claim

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/state"
)

// plan is one run of the fuzzer: settings and a list of actions.
type plan struct {
	Seed    uint64
	Faults  int
	Forward bool
	Steps   []step
}

// step is one action with its arguments; each action takes what it needs.
type step struct {
	Action  string
	A, B, C int
}

// actions lists each action as often as it should be drawn.
var actions = []string{
	"begin new", "begin new", "repeat", "repeat", "repeat", "repeat", "repeat",
	"dispatch", "dispatch", "dispatch", "finish", "finish", "finish",
	"pause", "repeat paused", "wake", "wake", "advance", "advance", "advance", "advance long",
	"deliver", "deliver", "platform down", "platform up", "platform up",
	"crash", "drop", "restart",
}

func planGen(maxSteps int) *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		stepGen := rapid.Custom(func(t *rapid.T) step {
			return step{
				Action: rapid.SampledFrom(actions).Draw(t, "action"),
				A:      rapid.IntRange(0, 11).Draw(t, "a"),
				B:      rapid.IntRange(0, 11).Draw(t, "b"),
				C:      rapid.IntRange(0, 11).Draw(t, "c"),
			}
		})
		return plan{
			Seed:    rapid.Uint64().Draw(t, "seed"),
			Faults:  rapid.SampledFrom([]int{0, 10, 30}).Draw(t, "faults"),
			Forward: rapid.Bool().Draw(t, "forward"),
			Steps:   rapid.SliceOfN(stepGen, maxSteps/2, maxSteps).Draw(t, "steps"),
		}
	})
}

// heldCall is a claim that a host's front has in its hands.
type heldCall struct {
	m          *machine
	held       *Held
	key        string
	begunAt    int
	dispatched bool
}

// player carries a plan out on a world.
type player struct {
	w     *world
	keys  []string
	begun map[string]bool
	helds []*heldCall
}

// play runs a plan in a bubble of virtual time and returns the violations.
func play(t *testing.T, p plan, s skip, tried map[string]int) []string {
	found, _ := playHistory(t, p, s, tried)
	return found
}

// playHistory returns the history of all Begins as well.
func playHistory(t *testing.T, p plan, s skip, tried map[string]int) (found []string, history []porcupine.Operation) {
	synctest.Test(t, func(*testing.T) {
		pl := &player{w: newWorld(p, s), begun: map[string]bool{}}
		for _, st := range p.Steps {
			time.Sleep(time.Millisecond)
			pl.do(st)
			synctest.Wait()
		}
		pl.recover()
		pl.w.stop()
		found, history = pl.w.oracle.found(), pl.w.history
		for what, n := range pl.w.tried {
			tried[what] += n
		}
	})
	return found, history
}

func (pl *player) do(st step) {
	m := pl.w.hosts[st.A%testHosts]
	switch st.Action {
	case "begin new":
		pl.keys = append(pl.keys, keyAt(m.claimer.now(), len(pl.keys)))
		pl.begin(m, pl.keys[len(pl.keys)-1], st.B)
	case "repeat", "repeat paused":
		if len(pl.keys) == 0 {
			return
		}
		if st.Action == "repeat paused" {
			m.pause()
			st.B = len(patience) - 1
		}
		pl.begin(m, pl.keys[len(pl.keys)-1-min(st.C/4, len(pl.keys)-1)], st.B)
	case "dispatch":
		pl.dispatch(st.A)
	case "finish":
		pl.finish(st.A, st.B)
	case "pause":
		m.pause()
	case "wake":
		m.wake()
	case "advance":
		time.Sleep([]time.Duration{5 * time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second}[st.B%4])
	case "advance long":
		time.Sleep([]time.Duration{testWindow - testSkew, testRetention + 6*time.Second}[st.B%2])
	case "deliver":
		pl.w.deliver(1 + st.B)
	case "platform down", "platform up":
		pl.w.setDown(st.Action == "platform down")
	case "crash":
		m.crash()
	case "drop":
		pl.w.drop(m)
	case "restart":
		if !m.isCrashed() {
			return
		}
		pl.w.boot(m.slot)
	}
	pl.w.count(st.Action)
}

func (w *world) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// drop takes a host off the platform's list; it may still be alive, and then
// doesn't learn of it.
func (w *world) drop(m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone[m.id] = true
}

var patience = []time.Duration{30 * time.Millisecond, time.Second, time.Minute}

// begin sends a key to a host. What a crashed host would have said reaches nobody.
func (pl *player) begin(m *machine, key string, b int) {
	if m.isCrashed() {
		return
	}
	call := Call{Key: key, Customer: "t", Fingerprint: 1, First: !pl.begun[key]}
	pl.begun[key] = true
	at := pl.w.oracle.begun(key, m.id)
	ctx, cancel := context.WithTimeout(context.Background(), patience[b%len(patience)])
	pl.w.finished.Go(func() {
		defer cancel()
		held, out, err := m.claimer.Begin(ctx, call)
		m.hold()
		if m.isCrashed() {
			pl.w.note(key, at, mayHaveSet)
			return
		}
		pl.w.note(key, at, answerOf(held, out, err))
		pl.w.told(key, m, at, out, err)
		if held != nil {
			pl.w.mu.Lock()
			pl.helds = append(pl.helds, &heldCall{m: m, held: held, key: key, begunAt: at})
			pl.w.mu.Unlock()
		}
	})
}

func (w *world) told(key string, m *machine, at int, out *Outcome, err error) {
	if out != nil {
		w.count("told " + string(out.Claim.State))
		w.oracle.final(key, at, out.Claim)
	}
	var notRun *NotRunError
	var unsure *UnsureError
	var keyErr *KeyError
	switch {
	case errors.As(err, &notRun):
		w.count("refused as not run")
	case errors.As(err, &unsure):
		w.count("refused as unsure")
	case errors.As(err, &keyErr):
		w.count("refused as " + string(keyErr.Problem))
	}
	w.oracle.refused(key, m.id, at, err)
}

// pick takes a held claim of a host that is awake.
func (pl *player) pick(n int, want func(*heldCall) bool) *heldCall {
	pl.w.mu.Lock()
	defer pl.w.mu.Unlock()
	var usable []*heldCall
	for _, h := range pl.helds {
		if !h.m.isCrashed() && !h.m.paused() && want(h) {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[n%len(usable)]
}

func (m *machine) paused() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.resume != nil
}

func (pl *player) dispatch(n int) {
	h := pl.pick(n, func(h *heldCall) bool { return !h.dispatched })
	if h == nil {
		return
	}
	h.dispatched = true
	pl.w.count("execution")
	pl.w.oracle.executed(h.key, h.begunAt, h.answer())
}

func (h *heldCall) answer() string { return fmt.Sprintf("answer to %d", h.begunAt) }

// finish records the outcome that fits: done or unknown after a dispatch, not
// run without one.
func (pl *player) finish(n, how int) {
	h := pl.pick(n, func(*heldCall) bool { return true })
	if h == nil {
		return
	}
	pl.w.mu.Lock()
	for i := range pl.helds {
		if pl.helds[i] == h {
			pl.helds = append(pl.helds[:i:i], pl.helds[i+1:]...)
			break
		}
	}
	pl.w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), patience[how%len(patience)])
	pl.w.finished.Go(func() {
		defer cancel()
		pl.record(ctx, h, how)
	})
}

func (pl *player) record(ctx context.Context, h *heldCall, how int) {
	at := pl.w.oracle.tick()
	c := state.Claim{Key: h.key}
	var err error
	switch {
	case how == 0:
		c.State = state.ClaimUnknown
		err = h.held.Unknown(ctx)
	case h.dispatched:
		c.State = state.ClaimDone
		c.Answer = &state.RecordedAnswer{Status: 200, Body: []byte(h.answer())}
		err = h.held.Done(ctx, *c.Answer)
	default:
		c.State = state.ClaimNotRun
		err = h.held.NotRun(ctx)
	}
	h.m.hold()
	if h.m.isCrashed() {
		return
	}
	if err == nil {
		pl.w.count("recorded " + string(c.State))
		pl.w.oracle.final(h.key, at, c)
		return
	}
	pl.w.count("outcome not recorded at once")
}

// recover ends all faults and asks every host about every key: the answers must
// still agree, and be definite for keys that aren't expired.
func (pl *player) recover() {
	pl.w.setDown(false)
	pl.w.faults.Store(0)
	for _, m := range pl.w.hosts {
		m.wake()
		if m.isCrashed() {
			pl.w.drop(m)
		}
	}
	synctest.Wait()
	pl.w.deliver(math.MaxInt)
	time.Sleep(3 * time.Second)
	for _, key := range pl.keys {
		for _, m := range pl.w.hosts {
			if !m.isCrashed() {
				pl.ask(m, key)
			}
		}
	}
}

func (pl *player) ask(m *machine, key string) {
	at := pl.w.oracle.begun(key, m.id)
	held, out, err := m.claimer.Begin(context.Background(), Call{Key: key, Customer: "t", Fingerprint: 1})
	pl.w.note(key, at, answerOf(held, out, err))
	pl.w.told(key, m, at, out, err)
	var keyErr *KeyError
	switch {
	case held != nil:
		pl.w.oracle.executed(key, at, fmt.Sprintf("answer to %d", at))
		_ = held.Done(context.Background(), state.RecordedAnswer{Status: 200, Body: []byte(fmt.Sprintf("answer to %d", at))})
	case err != nil && !errors.As(err, &keyErr):
		pl.w.oracle.mu.Lock()
		pl.w.oracle.fail("%s has no definite answer after all faults ended: %v", key, err)
		pl.w.oracle.mu.Unlock()
	}
}
