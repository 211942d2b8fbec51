package order

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// stepState is the state that a planner keeps for one engine between steps. It
// decides only when an action is tried, never whether it is safe.
type stepState struct {
	// drainFence is the fence of the draining order last seen, and drainSince the
	// time at which it was first seen.
	drainFence uint64
	drainSince time.Time
	// sent is the last order sent.
	sent sentOrder
	// correctAfter is the time before which drift isn't corrected, so that a change
	// that was called off isn't repeated at once.
	correctAfter time.Time
	// lastRecorded is the text of the last decision recorded.
	lastRecorded string
}

// sentOrder describes an order sent to an engine. answered reports whether the engine
// confirmed the order or refused it for its fence; if not, the outcome is unknown or
// the order wasn't sent.
type sentOrder struct {
	fence    uint64
	sentAt   time.Time
	answered bool
}

// Step reads the engine's order once and performs the next transition or send that
// it allows. It returns nil if there is nothing to do, or if the order has to wait.
func (p *Planner) Step(ctx context.Context, engine string) error {
	w := p.sends.beginStep(engine)
	if w == nil {
		return nil
	}
	defer p.sends.endStep(engine)
	cur, err := p.store.read(ctx, engine)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if cur.order.Service != p.opts.Service {
		return nil
	}
	p.sends.raiseMinFence(engine, cur.order.Fence)
	switch cur.order.State {
	case state.OrderDraining:
		return p.drain(ctx, w, cur)
	case state.OrderIssued:
		return p.finish(ctx, w, cur)
	default:
		return p.correctDrift(ctx, w, cur)
	}
}

// write replaces cur by next; the planner makes all its writes here. A failed write
// may still take effect later, replacing the same version, and settle or hand over
// the order. So no order with the fence of cur is sent after a failure (I5).
func (p *Planner) write(ctx context.Context, cur versionedOrder, next state.Order) (versionedOrder, error) {
	done, err := p.store.write(ctx, cur, next)
	if err != nil && !p.mutation.sendAfterFailure {
		p.sends.raiseMinFence(cur.order.Engine, cur.order.Fence+1)
	}
	return done, err
}

// correctDrift starts a change back to the desired state when an engine without a
// change under way shows another state, for example after a crash and restart. The
// engine may be serving requests, so it is drained first as for any change.
func (p *Planner) correctDrift(ctx context.Context, w *stepState, cur versionedOrder) error {
	o := cur.order
	now := p.opts.Clock.Now()
	if o.Desired.Equal(state.Target{}) || now.Before(w.correctAfter) {
		return nil
	}
	u, ok := p.opts.Upstreams.Upstream(o.Engine)
	if !ok {
		return nil
	}
	shown, err := p.opts.Engines.Show(ctx, u)
	if err != nil || shown.Changing || shown.Target.Equal(o.Desired) {
		return err
	}
	next := o
	next.State = state.OrderDraining
	next.Previous = o.Desired
	next.Holder = p.opts.Host
	next.Reason = fmt.Sprintf("the engine shows %s instead of %s", describe(shown.Target), describe(o.Desired))
	done, err := p.write(ctx, cur, next)
	if err == nil {
		p.record(w, done.order, "draining", next.Reason)
	}
	return err
}

// drain issues a draining order once nothing is in flight, and calls the change off
// after DrainTimeout.
func (p *Planner) drain(ctx context.Context, w *stepState, cur versionedOrder) error {
	now := p.opts.Clock.Now()
	if w.drainFence != cur.order.Fence {
		w.drainFence, w.drainSince = cur.order.Fence, now
	}
	u, obstacle, err := p.obstacle(ctx, cur.order)
	if err != nil {
		return err
	}
	if obstacle == "" {
		return p.issue(ctx, w, cur, u)
	}
	if now.Sub(w.drainSince) < p.opts.DrainTimeout {
		p.record(w, cur.order, "waiting", obstacle)
		return nil
	}
	next := cur.order
	callOff(&next)
	next.Holder = p.opts.Host
	next.Reason = fmt.Sprintf("called off after %s: %s", p.opts.DrainTimeout, obstacle)
	done, err := p.write(ctx, cur, next)
	if err == nil {
		w.correctAfter = now.Add(p.opts.DrainTimeout)
		p.record(w, done.order, "called off", next.Reason)
	}
	return err
}

// obstacle returns the engine and the reason why its draining order can't be issued
// yet; the reason is empty if it can. It lists the members, which must happen after
// draining was read (I3).
func (p *Planner) obstacle(ctx context.Context, o state.Order) (state.Upstream, string, error) {
	u, ok := p.opts.Upstreams.Upstream(o.Engine)
	if !ok {
		return u, "the platform doesn't list the engine", nil
	}
	members, err := p.presentMembers(ctx)
	if err != nil {
		return u, "", err
	}
	if !p.mutation.ignoreAcks && !p.opts.Acks.Complete(members, o.Engine, o.Fence) {
		return u, p.missingAcks(members, o), nil
	}
	shown, err := p.opts.Engines.Show(ctx, u)
	if err != nil {
		return u, fmt.Sprintf("the engine doesn't answer (%v)", err), nil
	}
	if shown.InFlight > 0 || shown.Changing {
		return u, "the engine itself is still at work", nil
	}
	return u, "", nil
}

// presentMembers lists the members that haven't been gone for GoneAfter.
func (p *Planner) presentMembers(ctx context.Context) ([]state.HostID, error) {
	list, err := p.opts.Members.List(ctx)
	if err != nil {
		return nil, err
	}
	var out []state.HostID
	for _, m := range list {
		if p.opts.Members.GoneFor(m.ID) < p.opts.GoneAfter {
			out = append(out, m.ID)
		}
	}
	return out, nil
}

// missingAcks describes which members haven't acknowledged the order, and which
// still have requests in flight.
func (p *Planner) missingAcks(members []state.HostID, o state.Order) string {
	acks := p.opts.Acks.Acknowledged(o.Engine, o.Fence)
	var silent, busy []string
	for _, m := range members {
		i := slices.IndexFunc(acks, func(a Ack) bool { return a.Host == m })
		switch {
		case i < 0:
			silent = append(silent, m.Name)
		case acks[i].InFlight > 0:
			busy = append(busy, m.Name)
		}
	}
	return fmt.Sprintf("no acknowledgement from [%s]; requests still run from [%s]",
		strings.Join(silent, " "), strings.Join(busy, " "))
}

// issue writes issued and then sends the order.
func (p *Planner) issue(ctx context.Context, w *stepState, cur versionedOrder, u state.Upstream) error {
	next := cur.order
	next.State = state.OrderIssued
	next.Holder = p.opts.Host
	next.IssuedBy = []state.HostID{p.opts.Host}
	return p.writeAndSend(ctx, w, cur, next, u, "issued", "every member has acknowledged that nothing is in flight")
}

// writeAndSend writes next, and sends it only if the write is known to have
// succeeded.
func (p *Planner) writeAndSend(ctx context.Context, w *stepState, cur versionedOrder, next state.Order, u state.Upstream, chosen, why string) error {
	done, err := p.write(ctx, cur, next)
	if p.mutation.sendWithoutWrite || p.mutation.trustLostAnswer && store.IsUnknownOutcome(err) {
		next.Fence = cur.order.Fence + 1
		done, err = versionedOrder{order: next}, nil
	}
	if err != nil {
		return err
	}
	p.record(w, done.order, chosen, why)
	return p.send(ctx, w, done.order, u)
}

// send sends the engine an order that this host wrote, and records whether it may
// still arrive.
func (p *Planner) send(ctx context.Context, w *stepState, o state.Order, u state.Upstream) error {
	err := p.opts.Engines.Send(ctx, u, o.Fence, o.Nonce, o.Desired)
	now := p.opts.Clock.Now()
	refused := errors.Is(err, upstream.ErrStaleFence)
	w.sent = sentOrder{fence: o.Fence, sentAt: now, answered: err == nil || refused}
	if !w.sent.answered && !upstream.NeverSent(err) {
		p.sends.recordUnanswered(o.Engine, now.Add(p.opts.MaxDeliveryDelay))
	}
	if err != nil {
		p.record(w, o, "not confirmed", fmt.Sprintf("the engine gave no usable answer (%v)", err))
		return err
	}
	p.record(w, o, "sent", fmt.Sprintf("the engine took the order to be %s", describe(o.Desired)))
	return nil
}

// finish brings an issued order to settled, never to another state: it takes the
// order over from another holder, sends it again, or settles it.
func (p *Planner) finish(ctx context.Context, w *stepState, cur versionedOrder) error {
	o := cur.order
	u, ok := p.opts.Upstreams.Upstream(o.Engine)
	if !ok {
		p.record(w, o, "waiting", "the platform doesn't list the engine")
		return nil
	}
	if o.Holder != p.opts.Host {
		return p.reissue(ctx, w, cur, u, "taken over", fmt.Sprintf("the order was left by %s", o.Holder))
	}
	shown, err := p.opts.Engines.Show(ctx, u)
	if err != nil {
		p.record(w, o, "waiting", fmt.Sprintf("the engine doesn't answer (%v)", err))
		return nil
	}
	if shown.Changing {
		return nil
	}
	reached := shown.Target.Equal(o.Desired)
	if reached && p.fenceReached(u, shown, o) {
		return p.settle(ctx, w, cur, u)
	}
	return p.resend(ctx, w, cur, u, reached)
}

// fenceReached reports whether the engine has the fence of the order, and so refuses
// all earlier ones. It is true for an engine that ignores fences; settle checks by
// other means that no earlier order can reach that engine.
func (p *Planner) fenceReached(u state.Upstream, shown upstream.Shown, o state.Order) bool {
	return !u.ChecksFence || shown.Fence >= o.Fence || p.mutation.ignoreShownFence
}

// resend sends an issued order of this host whose effect the engine doesn't show: at
// once if this planner hasn't sent it yet, otherwise after ResendInterval. It first
// writes the order again, with a new fence and nonce, in two cases: if the engine
// confirmed the order, since it may ignore a nonce that it has already seen, and if a
// failed write of this host may still end the order (I5).
func (p *Planner) resend(ctx context.Context, w *stepState, cur versionedOrder, u state.Upstream, reached bool) error {
	o := cur.order
	if !p.sends.maySend(o.Engine, o.Fence) {
		return p.reissue(ctx, w, cur, u, "ordered again", "an earlier write failed and may still take effect")
	}
	if w.sent.fence != o.Fence {
		return p.send(ctx, w, o, u)
	}
	if p.opts.Clock.Now().Sub(w.sent.sentAt) < p.opts.ResendInterval {
		return nil
	}
	if !w.sent.answered || reached {
		return p.send(ctx, w, o, u)
	}
	return p.reissue(ctx, w, cur, u, "ordered again", "the engine confirmed the order and shows something else")
}

// reissue writes the order again with this host as holder and with the same desired
// state (I2), and sends it.
func (p *Planner) reissue(ctx context.Context, w *stepState, cur versionedOrder, u state.Upstream, chosen, why string) error {
	next := cur.order
	next.Holder = p.opts.Host
	if !slices.Contains(next.IssuedBy, p.opts.Host) {
		next.IssuedBy = append(slices.Clone(next.IssuedBy), p.opts.Host)
	}
	return p.writeAndSend(ctx, w, cur, next, u, chosen, why)
}

// settle writes settled if no earlier order can have an effect (I4).
func (p *Planner) settle(ctx context.Context, w *stepState, cur versionedOrder, u state.Upstream) error {
	if obstacle := p.settleObstacle(cur.order, u); obstacle != "" {
		p.record(w, cur.order, "waiting", obstacle)
		return nil
	}
	next := cur.order
	next.State = state.OrderSettled
	next.IssuedBy = nil
	done, err := p.write(ctx, cur, next)
	if err == nil {
		p.record(w, done.order, "settled", fmt.Sprintf("the engine shows %s", describe(next.Desired)))
	}
	return err
}

// settleObstacle returns the reason why an engine that ignores fences may still
// receive an earlier order; it is empty if none can arrive, and for an engine that
// checks fences.
func (p *Planner) settleObstacle(o state.Order, u state.Upstream) string {
	if u.ChecksFence {
		return ""
	}
	for _, h := range o.IssuedBy {
		if h == p.opts.Host || p.mutation.ignoreReleases {
			continue
		}
		if !p.opts.Acks.Released(h, o.Engine, o.Fence) && p.opts.Members.GoneFor(h) < p.opts.GoneAfter {
			return fmt.Sprintf("the engine ignores fences, and %s may still send the order; it must answer or be gone for %s", h, p.opts.GoneAfter)
		}
	}
	if !p.mutation.ignoreDeliveryDelay && p.sends.mayStillArrive(o.Engine, p.opts.Clock.Now()) {
		return fmt.Sprintf("the engine ignores fences, and an unanswered order may still arrive for %s", p.opts.MaxDeliveryDelay)
	}
	return ""
}

// record records a decision about an order. A repeated "waiting" with the same reason
// is recorded only once.
func (p *Planner) record(w *stepState, o state.Order, chosen, why string) {
	text := fmt.Sprintf("%s %s %s", o.State, chosen, why)
	if chosen == "waiting" && w.lastRecorded == text {
		return
	}
	w.lastRecorded = text
	p.opts.Recorder.Record(state.Decision{
		At: p.opts.Clock.Now(), Host: p.opts.Host.Name, Kind: state.DecisionOrder,
		Subject: o.Engine, Chosen: chosen, Why: why,
	})
}
