package rollout_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/member/membertest"
	"github.com/thymerack/thymerack/coordination/rollout"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	fuzzHosts = 5
	// maxPropagation is how long an accepted edit may take to be in force everywhere.
	maxPropagation = 4 * time.Second
	// invalidMark marks values that no host may put in force.
	invalidMark = int64(-1)
)

// step is one action of a schedule, on one host, after a pause. A fault that it
// brings lasts for a while.
type step struct {
	Pause, FaultDuration time.Duration
	Action               string
	Host                 int
}

// storedVersion is one version of the object as the platform's own history has it.
type storedVersion struct {
	version, base uint64
	mark          int64
}

// input and output are those of an operation on the configuration register.
type input struct {
	read bool
	base uint64
	mark int64
}

type output struct {
	version uint64 // read, or made by an accepted edit
	err     error
}

// simulation is one fuzzing simulation and its truth.
type simulation struct {
	*membertest.Fleet
	ctx      context.Context
	routines sync.WaitGroup
	starts   int

	mu        sync.Mutex
	history   []storedVersion
	ops       []porcupine.Operation
	lastMark  int64
	applied   map[string]uint64
	violation error
	edits     int
	startedAt time.Time
}

// runSchedule carries a schedule out and returns what it broke.
func runSchedule(t *testing.T, seed uint64, steps []step, setup func(*rollout.Manager)) *simulation {
	var r *simulation
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r = &simulation{ctx: ctx, applied: map[string]uint64{}, startedAt: time.Now()}
		r.Fleet = membertest.New(membertest.Options{
			Seed: seed, LossShare: 0.1, DoubleShare: 0.1, MaxDelay: 300 * time.Millisecond,
			LostAnswerShare: 0.1, Rollout: r.checkApplied,
			Setup: func(h *membertest.Host) { setup(h.Rollout) },
		})
		r.routines.Go(r.observe)
		for i := range fuzzHosts - 1 {
			r.start(i)
		}
		time.Sleep(2 * time.Second)
		for _, s := range steps {
			time.Sleep(s.Pause)
			r.perform(s)
		}
		r.checkConvergence()
		cancel()
		r.Close()
		r.routines.Wait()
		r.checkHistory()
	})
	return r
}

func (r *simulation) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.violation == nil {
		r.violation = fmt.Errorf(format, args...)
	}
}

// checkApplied checks every version that a run puts in force.
func (r *simulation) checkApplied(o *rollout.Options) {
	apply, self := o.Apply, o.Self.String()
	o.Apply = func(c *state.Config) bool {
		r.mu.Lock()
		last := r.applied[self]
		r.applied[self] = c.Version
		r.mu.Unlock()
		if c.Version <= last {
			r.fail("%s went from version %d to %d", self, last, c.Version)
		}
		if w, ok := r.findVersion(c.Version); ok && w.mark != c.Classes[0].DeadlineMillis {
			r.fail("%s has another value in force as version %d than was written", self, c.Version)
		}
		return apply(c)
	}
}

// observe keeps the platform's own history of the object.
func (r *simulation) observe() {
	client := r.Platform.Client(membertest.Observer)
	var revision uint64
	for {
		batch, err := client.Watch(r.ctx, store.KindConfig, revision)
		if err != nil {
			return
		}
		revision = batch.Revision
		r.mu.Lock()
		for _, e := range batch.Events {
			r.history = append(r.history, parseObject(e.Object))
		}
		r.mu.Unlock()
	}
}

func parseObject(o store.Object) storedVersion {
	var e rollout.Envelope
	var c state.Config
	if json.Unmarshal(o.Value, &e) != nil || json.Unmarshal(e.Config, &c) != nil || len(c.Classes) == 0 {
		return storedVersion{version: o.Version, mark: invalidMark}
	}
	return storedVersion{version: o.Version, base: e.Base, mark: c.Classes[0].DeadlineMillis}
}

func (r *simulation) findVersion(version uint64) (storedVersion, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.history {
		if w.version == version {
			return w, true
		}
	}
	return storedVersion{}, false
}

func (r *simulation) start(i int) *membertest.Host {
	r.starts++
	return r.Start(membertest.Name(i), fmt.Sprintf("%04d", r.starts))
}

func (r *simulation) perform(s step) {
	name := membertest.Name(s.Host)
	h := r.Host(name)
	switch s.Action {
	case "platform down":
		r.SetPlatform(true, membertest.Everyone)
		r.undoAfter(s.FaultDuration, func() { r.SetPlatform(false, membertest.Everyone) })
	case "host platform down":
		r.SetPlatform(true, name)
		r.undoAfter(s.FaultDuration, func() { r.SetPlatform(false, name) })
	case "cut":
		r.SetGroup(s.Host+1, name)
		r.undoAfter(s.FaultDuration, func() { r.SetGroup(0, name) })
	case "start":
		if h == nil {
			r.start(s.Host)
		}
	case "write an invalid value":
		r.writeInvalid()
	}
	if h != nil {
		r.performOnHost(s, h)
	}
}

func (r *simulation) performOnHost(s step, h *membertest.Host) {
	switch s.Action {
	case "kill":
		h.Kill()
	case "pause":
		h.Pause()
		r.undoAfter(s.FaultDuration, h.Resume)
	case "edit":
		r.routines.Go(func() { r.edit(h, r.read(h)) })
	case "edit on what is in force":
		r.routines.Go(func() { r.edit(h, h.Rollout.Version()) })
	case "race":
		for _, other := range r.Hosts() {
			r.routines.Go(func() { r.edit(other, r.read(other)) })
		}
	case "last platform":
		r.checkPropagation(h)
	}
}

func (r *simulation) undoAfter(after time.Duration, undo func()) {
	r.routines.Go(func() {
		if (clocktest.Bubble{}).Sleep(r.ctx, after) == nil {
			undo()
		}
	})
}

// writeInvalid writes a value that isn't valid, past Edit.
func (r *simulation) writeInvalid() {
	client := r.Platform.Client(membertest.Observer)
	o, err := client.Get(r.ctx, store.KindConfig, rollout.ObjectName)
	if err == nil {
		_, _ = client.Put(r.ctx, store.KindConfig, rollout.ObjectName, o.Version, []byte(`{"services":[]}`))
	}
}

// read reads the present version as an operator's tool would.
func (r *simulation) read(h *membertest.Host) uint64 {
	called := time.Now()
	o, err := h.Store.Get(h.Context, store.KindConfig, rollout.ObjectName)
	if err == nil || errors.Is(err, store.ErrNotFound) {
		r.record(input{read: true}, output{version: o.Version}, called)
	}
	return o.Version
}

// edit makes one edit and notes what was said of it.
func (r *simulation) edit(h *membertest.Host, base uint64) (uint64, error) {
	r.mu.Lock()
	r.lastMark++
	mark := r.lastMark
	r.mu.Unlock()
	called := time.Now()
	version, err := h.Rollout.Edit(h.Context, base, config(mark))
	r.record(input{base: base, mark: mark}, output{version: version, err: err}, called)
	return version, err
}

func (r *simulation) record(in input, out output, called time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	op := porcupine.Operation{
		ClientId: len(r.ops), Input: in, Output: out,
		Call: called.Sub(r.startedAt).Nanoseconds(), Return: time.Since(r.startedAt).Nanoseconds(),
	}
	r.ops = append(r.ops, op)
	if out.err == nil && !in.read {
		r.edits++
	}
}

// checkPropagation takes the platform away from all hosts but one, which makes an
// edit: all others that run must have it in force in time. So must a host that
// starts then.
func (r *simulation) checkPropagation(h *membertest.Host) {
	r.clearFaults()
	defer r.clearFaults()
	for i := range fuzzHosts {
		r.SetPlatform(membertest.Name(i) != h.ID.Name, membertest.Name(i))
	}
	time.Sleep(3 * time.Second)
	version, err := r.edit(h, r.read(h))
	if err != nil {
		return // its answers were lost
	}
	late := r.start(fuzzHosts)
	time.Sleep(maxPropagation)
	for _, other := range r.Hosts() {
		if other.Rollout.Version() < version {
			r.fail("%v has version %d in force %v after version %d was accepted", other.ID, other.Rollout.Version(), maxPropagation, version)
		}
	}
	late.Kill()
}

func (r *simulation) clearFaults() {
	r.SetPlatform(false, membertest.Everyone)
	for i := range fuzzHosts {
		r.SetPlatform(false, membertest.Name(i))
		r.SetGroup(0, membertest.Name(i))
	}
	for _, h := range r.Hosts() {
		h.Resume()
	}
}

// checkConvergence lets all faults pass; then all hosts must have the highest valid version.
func (r *simulation) checkConvergence() {
	time.Sleep(16 * time.Second)
	r.clearFaults()
	time.Sleep(10 * time.Second)
	highest := storedVersion{}
	r.mu.Lock()
	for _, w := range r.history {
		if w.mark != invalidMark && w.version > highest.version {
			highest = w
		}
	}
	r.mu.Unlock()
	for _, h := range r.Hosts() {
		if v := h.Rollout.Version(); v != highest.version {
			r.fail("%v has version %d in force at the end, not %d", h.ID, v, highest.version)
		}
	}
}

// config returns a valid configuration that is told apart by its class's deadline.
func config(mark int64) []byte {
	c := state.Config{
		Services: []state.Service{{Name: "s", Kind: state.KindService}},
		Classes:  []state.Class{{Name: "c", DeadlineMillis: mark}},
	}
	value, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return value
}
