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
	// maxPropagation is the longest time that an accepted edit may take to be in
	// force on all running hosts.
	maxPropagation = 4 * time.Second
	// invalidMark is the mark of values that no host may put in force.
	invalidMark = int64(-1)
)

// step is one action of a schedule on one host. It is performed after Pause; a
// fault that it injects is removed after FaultDuration.
type step struct {
	Pause, FaultDuration time.Duration
	Action               string
	Host                 int
}

// storedVersion is one version of the object in the platform's history. mark
// identifies the configuration: each edit writes a different one.
type storedVersion struct {
	version, base uint64
	mark          int64
}

// input is the input of an operation on the configuration register: a read, or an
// edit on base that writes the configuration with this mark.
type input struct {
	read bool
	base uint64
	mark int64
}

// output is the result of an operation on the configuration register.
type output struct {
	version uint64 // read, or created by an accepted edit
	err     error
}

// simulation is one run of a schedule. It records the operations and, independently
// of the hosts, the platform's history of the object.
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

// runSchedule runs a schedule and checks it. The first violation is in the field
// violation of the result.
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

// fail records the first violation.
func (r *simulation) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.violation == nil {
		r.violation = fmt.Errorf(format, args...)
	}
}

// checkApplied wraps Apply to check that each host applies increasing versions, with
// the values that were written.
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
			r.fail("%s has a value in force as version %d that isn't the one written", self, c.Version)
		}
		return apply(c)
	}
}

// observe records the platform's history of the object.
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

// parseObject returns the version of a stored object, marked with invalidMark if it
// has no valid envelope and configuration.
func parseObject(o store.Object) storedVersion {
	var e rollout.Envelope
	var c state.Config
	if json.Unmarshal(o.Value, &e) != nil || json.Unmarshal(e.Config, &c) != nil || len(c.Classes) == 0 {
		return storedVersion{version: o.Version, mark: invalidMark}
	}
	return storedVersion{version: o.Version, base: e.Base, mark: c.Classes[0].DeadlineMillis}
}

// findVersion returns a version from the platform's history, and false if it isn't
// there yet.
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

// start starts host i with a new incarnation.
func (r *simulation) start(i int) *membertest.Host {
	r.starts++
	return r.Start(membertest.Name(i), fmt.Sprintf("%04d", r.starts))
}

// perform performs a step. An action that needs a running host is skipped if the
// host isn't running.
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

// performOnHost performs the actions that need a running host.
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

// undoAfter calls undo after a delay, unless the simulation ends first.
func (r *simulation) undoAfter(after time.Duration, undo func()) {
	r.routines.Go(func() {
		if (clocktest.Bubble{}).Sleep(r.ctx, after) == nil {
			undo()
		}
	})
}

// writeInvalid writes an invalid value directly to the platform, not through Edit.
func (r *simulation) writeInvalid() {
	client := r.Platform.Client(membertest.Observer)
	o, err := client.Get(r.ctx, store.KindConfig, rollout.ObjectName)
	if err == nil {
		_, _ = client.Put(r.ctx, store.KindConfig, rollout.ObjectName, o.Version, []byte(`{"services":[]}`))
	}
}

// read reads the current version through the host's store, as an operator's tool
// would.
func (r *simulation) read(h *membertest.Host) uint64 {
	called := time.Now()
	o, err := h.Store.Get(h.Context, store.KindConfig, rollout.ObjectName)
	if err == nil || errors.Is(err, store.ErrNotFound) {
		r.record(input{read: true}, output{version: o.Version}, called)
	}
	return o.Version
}

// edit makes one edit and records its reported outcome.
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

// record adds an operation that began at called and ends now.
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

// checkPropagation makes an edit on the only host that can reach the platform. All
// other running hosts must have it in force within maxPropagation, and so must a
// host that starts after the edit.
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

// clearFaults removes all outages and partitions and resumes paused hosts.
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

// checkConvergence lets all faults end and then checks that all hosts have the
// highest valid version in force.
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

// config returns a valid configuration that is identified by its mark, the deadline
// of its class.
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
