package membertest

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/member"
	"github.com/thymerack/thymerack/coordination/rollout"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
	"github.com/vmihailenco/msgpack/v5"
)

// wire is a host's way to its peers.
type wire struct{ h *Host }

// send carries one message from the host to whoever has the address, and returns
// that host. The message is delayed, lost or cut off as the fleet says.
func (w *wire) send(ctx context.Context, address string) (*Host, error) {
	w.h.Wait()
	delay, lost := w.h.fleet.fate()
	if err := (clocktest.Bubble{}).Sleep(ctx, delay); err != nil {
		return nil, err
	}
	to := w.h.fleet.reach(w.h, address)
	if to == nil || lost {
		return nil, errCut
	}
	return to, nil
}

// back carries an answer.
func (w *wire) back(ctx context.Context, from *Host) error {
	delay, lost := w.h.fleet.fate()
	if err := (clocktest.Bubble{}).Sleep(ctx, delay); err != nil {
		return err
	}
	cut := !w.h.fleet.connected(from, w.h)
	w.h.Wait()
	if cut || lost {
		return errCut
	}
	return nil
}

// fate draws the delay and the loss of one message.
func (f *Fleet) fate() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var delay time.Duration
	if f.opts.MaxDelay > 0 {
		delay = time.Duration(f.random.Int64N(int64(f.opts.MaxDelay)))
	}
	return delay, f.chance(f.opts.LossShare)
}

// reach returns the host at an address if from reaches it.
func (f *Fleet) reach(from *Host, address string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.byAddr[address]
	if to == nil || !f.sameGroup(from, to) {
		return nil
	}
	return to
}

func (f *Fleet) connected(from, to *Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sameGroup(from, to)
}

func (f *Fleet) sameGroup(from, to *Host) bool {
	alive := from.Context.Err() == nil && to.Context.Err() == nil
	return alive && f.group[from.ID.Name] == f.group[to.ID.Name]
}

// call carries a question there and its answer back through the codec.
func call[Req, Rep any](ctx context.Context, w *wire, address string, req Req, handle func(*Host, Req) (Rep, error)) (Rep, error) {
	var none Rep
	to, err := w.send(ctx, address)
	if err != nil {
		return none, err
	}
	question := pass(w, to, req)
	rep, err := answer(ctx, to, question, handle)
	if err != nil {
		return none, err
	}
	if w.h.fleet.doubled() {
		_, _ = answer(ctx, to, question, handle)
	}
	if err := w.back(ctx, to); err != nil {
		return none, err
	}
	return pass(w, to, rep), nil
}

// answer lets a host answer once it isn't paused, even if the asker has given up.
func answer[Req, Rep any](ctx context.Context, to *Host, q Req, handle func(*Host, Req) (Rep, error)) (Rep, error) {
	type outcome struct {
		rep Rep
		err error
	}
	done := make(chan outcome, 1)
	to.fleet.routines.Go(func() {
		to.Wait()
		var o outcome
		if to.Context.Err() == nil {
			o.rep, o.err = handle(to, q)
		} else {
			o.err = errCut
		}
		done <- o
	})
	select {
	case o := <-done:
		return o.rep, o.err
	case <-ctx.Done():
		var none Rep
		return none, ctx.Err()
	}
}

func (f *Fleet) doubled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chance(f.opts.DoubleShare)
}

// pass encodes and decodes a message and counts its bytes on both sides.
func pass[T any](w *wire, other *Host, in T) T {
	body, err := msgpack.Marshal(in)
	if err != nil {
		panic(err)
	}
	f := w.h.fleet
	f.mu.Lock()
	f.messages++
	f.bytes[w.h.ID.Name] += len(body)
	f.bytes[other.ID.Name] += len(body)
	f.mu.Unlock()
	var out T
	if err := msgpack.Unmarshal(body, &out); err != nil {
		panic(err)
	}
	return out
}

// Exchange implements member.Peers.
func (w *wire) Exchange(ctx context.Context, to state.Member, d member.Digest) (member.Digest, error) {
	return call(ctx, w, to.PeerAddr, d, func(h *Host, d member.Digest) (member.Digest, error) {
		return h.Receive(w.h.ID, d), nil
	})
}

// Orders implements member.Peers.
func (w *wire) Orders(ctx context.Context, to state.Member, r member.OrdersRequest) (member.OrdersReply, error) {
	if w.h.fleet.isDeaf(w.h.ID.Name) {
		return member.OrdersReply{}, errCut
	}
	return call(ctx, w, to.PeerAddr, r, func(h *Host, r member.OrdersRequest) (member.OrdersReply, error) {
		return h.OrdersAfter(r), nil
	})
}

// Sponsor implements member.Peers.
func (w *wire) Sponsor(ctx context.Context, to state.Member, r member.SponsorRequest) (member.SponsorView, error) {
	return call(ctx, w, to.PeerAddr, r, func(h *Host, r member.SponsorRequest) (member.SponsorView, error) {
		return h.Sponsor(w.h.ID, r)
	})
}

// Config implements rollout.Peers.
func (w *wire) Config(ctx context.Context, to state.Member, r rollout.Request) (rollout.VersionedValue, error) {
	return call(ctx, w, to.PeerAddr, r, func(h *Host, r rollout.Request) (rollout.VersionedValue, error) {
		return h.Rollout.Serve(r), nil
	})
}

// pausableStore is the platform as a host reaches it: a paused host neither
// sends a call nor takes an answer up.
type pausableStore struct {
	h *Host
	s store.Store
}

func (p *pausableStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	p.h.Wait()
	defer p.h.Wait()
	return p.s.Get(ctx, kind, name)
}

func (p *pausableStore) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	p.h.Wait()
	defer p.h.Wait()
	return p.s.Put(ctx, kind, name, ifVersion, value)
}

func (p *pausableStore) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	p.h.Wait()
	defer p.h.Wait()
	return p.s.Delete(ctx, kind, name, ifVersion)
}

func (p *pausableStore) List(ctx context.Context, kind string) ([]store.Object, uint64, error) {
	p.h.Wait()
	defer p.h.Wait()
	return p.s.List(ctx, kind)
}

func (p *pausableStore) Watch(ctx context.Context, kind string, after uint64) (store.Batch, error) {
	p.h.Wait()
	defer p.h.Wait()
	return p.s.Watch(ctx, kind, after)
}
