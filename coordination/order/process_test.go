package order

import (
	"context"
	"errors"
	"iter"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// fault is the fault of the next call of a paused process.
type fault int

const (
	noFault     fault = iota
	refused           // the call has no effect and fails
	answerLost        // the call has its effect and fails
	arrivesLate       // the call fails and has its effect at some later time
)

// process is one thread of a host, run as a coroutine. It pauses before each call
// that leaves the host, and after each write and each sent order, until it is resumed.
type process struct {
	host  *host
	yield func(string) bool
	next  func() (string, bool)
	stop  func()
	// pausedAt is the call at which the process is paused; empty once it has ended.
	pausedAt string
	fault    fault
	ctx      context.Context
	cancel   context.CancelFunc
}

// spawn starts a process and runs it to its first call.
func (h *host) spawn(body func(context.Context)) *process {
	p := &process{host: h}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.next, p.stop = iter.Pull(iter.Seq[string](func(yield func(string) bool) {
		p.yield = yield
		body(p.ctx)
	}))
	h.processes = append(h.processes, p)
	p.resume(noFault)
	return p
}

// resume makes the pending call with the fault f and runs on to the next call.
func (p *process) resume(f fault) {
	w := p.host.sim
	before := w.running
	w.running = p
	p.fault = f
	p.pausedAt, _ = p.next()
	w.running = before
	if p.pausedAt != "" {
		return
	}
	for i, q := range p.host.processes {
		if q == p {
			p.host.processes = append(p.host.processes[:i], p.host.processes[i+1:]...)
			return
		}
	}
}

// runTo resumes without faults until the process is paused at the call or has ended.
func (p *process) runTo(call string) {
	for p.pausedAt != "" && p.pausedAt != call {
		p.resume(noFault)
	}
}

// pauseAt pauses the running process before a call and returns the call's fault.
func (w *simulation) pauseAt(call string) (fault, error) {
	p := w.running
	if p == nil {
		return noFault, nil
	}
	if p.ctx.Err() != nil || !p.yield(call) {
		return noFault, context.Canceled
	}
	w.stats[call]++
	f := p.fault
	p.fault = noFault
	return f, nil
}

// gatedStore is the store of one host's processes. Each call pauses the process and
// may get a fault.
type gatedStore struct {
	sim   *simulation
	inner store.Store
}

var errTest = errors.New("injected fault")

// storageFault pauses before a call and translates its fault into one of storetest;
// -1 stands for arrivesLate.
func (s *gatedStore) storageFault(call, kind string) (storetest.Fault, error) {
	f, err := s.sim.pauseAt(call + " " + kind)
	if err != nil {
		return storetest.None, err
	}
	if f != noFault {
		s.sim.stats["fault on "+call]++
	}
	switch {
	case s.sim.down || f == refused:
		return storetest.Refuse, nil
	case f == answerLost:
		return storetest.LoseAnswer, nil
	case f == arrivesLate:
		return -1, nil
	}
	return storetest.None, nil
}

// setFault makes the platform apply f to the next call.
func (s *gatedStore) setFault(f storetest.Fault) {
	s.sim.platform.SetScript(func(storetest.Call) storetest.Fault { return f })
}

func (s *gatedStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	f, err := s.storageFault("get", kind)
	if err != nil {
		return store.Object{}, err
	}
	s.setFault(max(f, 0))
	return s.inner.Get(ctx, kind, name)
}

func (s *gatedStore) Put(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error) {
	f, err := s.storageFault("put", kind)
	if err != nil {
		return 0, err
	}
	if f == -1 {
		s.sim.late = append(s.sim.late, func() {
			s.setFault(storetest.None)
			_, _ = s.inner.Put(context.Background(), kind, name, version, value)
		})
		return 0, &store.UnavailableError{UnknownOutcome: true, Cause: errTest}
	}
	s.setFault(f)
	v, err := s.inner.Put(ctx, kind, name, version, value)
	if _, err := s.sim.pauseAt("after put " + kind); err != nil {
		return 0, err
	}
	return v, err
}

func (s *gatedStore) Delete(ctx context.Context, kind, name string, version uint64) error {
	return s.inner.Delete(ctx, kind, name, version)
}

func (s *gatedStore) List(ctx context.Context, kind string) ([]store.Object, uint64, error) {
	f, err := s.storageFault("list", kind)
	if err != nil {
		return nil, 0, err
	}
	s.setFault(max(f, 0))
	return s.inner.List(ctx, kind)
}

func (s *gatedStore) Watch(ctx context.Context, kind string, after uint64) (store.Batch, error) {
	f, err := s.storageFault("watch", kind)
	if err != nil {
		return store.Batch{}, err
	}
	s.setFault(max(f, 0))
	return s.inner.Watch(ctx, kind, after)
}

// gatedEngines is the transport to engines of one host's processes. Each call pauses
// the process and may get a fault.
type gatedEngines struct{ host *host }

func (g *gatedEngines) Send(_ context.Context, u state.Upstream, fence uint64, nonce string, t state.Target) error {
	w, e := g.host.sim, g.host.sim.engine(u.Name)
	f, err := w.pauseAt("send")
	if err != nil {
		return err
	}
	if f != noFault {
		w.stats["fault on send"]++
	}
	given := receivedOrder{fence: fence, target: t}
	switch {
	case f == refused:
		err = &upstream.SendError{Upstream: u.Name, Cause: errTest}
	case f == arrivesLate || e.hung:
		// An order that no process waits for arrives within MaxDeliveryDelay.
		e.late = append(e.late, lateOrder{receivedOrder: given, arrivesBy: w.now.Add(testMaxDeliveryDelay)})
		err = &upstream.SendError{Upstream: u.Name, MaybeSent: true, Cause: errTest}
	default:
		err = e.receive(given)
		if f == answerLost {
			err = &upstream.SendError{Upstream: u.Name, MaybeSent: true, Cause: errTest}
		}
	}
	if _, killed := w.pauseAt("after send"); killed != nil {
		return killed
	}
	return err
}

func (g *gatedEngines) Show(_ context.Context, u state.Upstream) (upstream.Shown, error) {
	w, e := g.host.sim, g.host.sim.engine(u.Name)
	f, err := w.pauseAt("show")
	if err != nil {
		return upstream.Shown{}, err
	}
	if e.hung || f != noFault {
		return upstream.Shown{}, &upstream.SendError{Upstream: u.Name, Cause: errTest}
	}
	return e.shown(), nil
}

// manualClock is the clock of the simulation; a sleep pauses the process.
type manualClock struct{ sim *simulation }

func (c manualClock) Now() time.Time { return c.sim.now }

func (c manualClock) Sleep(ctx context.Context, _ time.Duration) error {
	_, err := c.sim.pauseAt("sleep")
	return err
}
