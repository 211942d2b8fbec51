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

// stepState is what a planner remembers of one engine between steps. It decides
// when to try something, never whether it is safe.
type stepState struct {
	// drainFence and drainSince are the draining order being waited for.
	drainFence uint64
	drainSince time.Time
	// sent is the last order given.
	sent sentOrder
	// correctAfter keeps a change that was called off from being tried at once.
	correctAfter time.Time
	// lastNote is the last sentence recorded.
	lastNote string
}

// sentOrder is one order given to an engine.
type sentOrder struct {
	fence    uint64
	at       time.Time
	answered bool
}

// Step reads the engine's order once and does the next thing that it allows. It
// returns nil when there is nothing to do or something must be waited for.
func (p *Planner) Step(ctx context.Context, engine string) error {
	w := p.sends.begin(engine)
	if w == nil {
		return nil
	}
	defer p.sends.endStep(engine)
	cur, err := p.objects.read(ctx, engine)
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

// write is the only way to move an object. One that fails may still take effect
// later, over the same version, and settle or hand over the order: nothing more is
// sent on the strength of that version (I5).
func (p *Planner) write(ctx context.Context, cur versionedOrder, next state.Order) (versionedOrder, error) {
	done, err := p.objects.write(ctx, cur, next)
	if err != nil && !p.mutation.sendAfterFailure {
		p.sends.raiseMinFence(cur.order.Engine, cur.order.Fence+1)
	}
	return done, err
}

// correctDrift orders an engine again that has settled and shows something else, for
// example because it has crashed and started anew. It may be serving by now, so
// it is drained first like for any change.
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
		p.note(w, done.order, "draining", next.Reason)
	}
	return err
}

// drain issues the change once nothing is in flight, or calls it off.
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
		p.note(w, cur.order, "waiting", obstacle)
		return nil
	}
	next := cur.order
	callOff(&next)
	next.Holder = p.opts.Host
	next.Reason = fmt.Sprintf("called off after %s: %s", p.opts.DrainTimeout, obstacle)
	done, err := p.write(ctx, cur, next)
	if err == nil {
		w.correctAfter = now.Add(p.opts.DrainTimeout)
		p.note(w, done.order, "called off", next.Reason)
	}
	return err
}

// obstacle says what a draining order still waits for; empty if nothing. The
// members are listed here, after draining was read (I3).
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

// presentMembers lists the members that aren't gone.
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

// issue writes the order and only then sends it.
func (p *Planner) issue(ctx context.Context, w *stepState, cur versionedOrder, u state.Upstream) error {
	next := cur.order
	next.State = state.OrderIssued
	next.Holder = p.opts.Host
	next.IssuedBy = []state.HostID{p.opts.Host}
	return p.writeAndSend(ctx, w, cur, next, u, "issued", "every member has acknowledged that nothing is in flight")
}

// writeAndSend sends next if, and only if, its write is known to have succeeded.
func (p *Planner) writeAndSend(ctx context.Context, w *stepState, cur versionedOrder, next state.Order, u state.Upstream, chosen, why string) error {
	done, err := p.write(ctx, cur, next)
	if p.mutation.sendWithoutWrite || p.mutation.trustLostAnswer && store.IsUnknownOutcome(err) {
		next.Fence = cur.order.Fence + 1
		done, err = versionedOrder{order: next}, nil
	}
	if err != nil {
		return err
	}
	p.note(w, done.order, chosen, why)
	return p.send(ctx, w, done.order, u)
}

// send gives the engine the order that this host wrote.
func (p *Planner) send(ctx context.Context, w *stepState, o state.Order, u state.Upstream) error {
	err := p.opts.Engines.Send(ctx, u, o.Fence, o.Nonce, o.Desired)
	now := p.opts.Clock.Now()
	refused := errors.Is(err, upstream.ErrStaleFence)
	w.sent = sentOrder{fence: o.Fence, at: now, answered: err == nil || refused}
	if !w.sent.answered && !upstream.NeverSent(err) {
		p.sends.recordUnanswered(o.Engine, now.Add(p.opts.MaxDeliveryDelay))
	}
	if err != nil {
		p.note(w, o, "not confirmed", fmt.Sprintf("the engine gave no usable answer (%v)", err))
		return err
	}
	p.note(w, o, "sent", fmt.Sprintf("the engine took the order to be %s", describe(o.Desired)))
	return nil
}

// finish drives an issued order to settled, and never to anything else.
func (p *Planner) finish(ctx context.Context, w *stepState, cur versionedOrder) error {
	o := cur.order
	u, ok := p.opts.Upstreams.Upstream(o.Engine)
	if !ok {
		p.note(w, o, "waiting", "the platform doesn't list the engine")
		return nil
	}
	if o.Holder != p.opts.Host {
		return p.reissue(ctx, w, cur, u, "taken over", fmt.Sprintf("the order was left by %s", o.Holder))
	}
	shown, err := p.opts.Engines.Show(ctx, u)
	if err != nil {
		p.note(w, o, "waiting", fmt.Sprintf("the engine doesn't answer (%v)", err))
		return nil
	}
	if shown.Changing {
		return nil
	}
	reached := shown.Target.Equal(o.Desired)
	if reached && p.refusesEarlierOrders(u, shown, o) {
		return p.settle(ctx, w, cur, u)
	}
	return p.resend(ctx, w, cur, u, reached)
}

// refusesEarlierOrders reports whether an engine that checks fences refuses all earlier orders.
func (p *Planner) refusesEarlierOrders(u state.Upstream, shown upstream.Shown, o state.Order) bool {
	return !u.ChecksFence || shown.Fence >= o.Fence || p.mutation.ignoreShownFence
}

// resend repeats an order that has shown no effect. One that the engine
// confirmed is written anew first, as an engine may know the old by its nonce; so
// is one that a failed write of this host may still end.
func (p *Planner) resend(ctx context.Context, w *stepState, cur versionedOrder, u state.Upstream, reached bool) error {
	o := cur.order
	if !p.sends.maySend(o.Engine, o.Fence) {
		return p.reissue(ctx, w, cur, u, "ordered again", "an earlier write failed and may still take effect")
	}
	if w.sent.fence != o.Fence {
		return p.send(ctx, w, o, u)
	}
	if p.opts.Clock.Now().Sub(w.sent.at) < p.opts.ResendInterval {
		return nil
	}
	if !w.sent.answered || reached {
		return p.send(ctx, w, o, u)
	}
	return p.reissue(ctx, w, cur, u, "ordered again", "the engine confirmed the order and shows something else")
}

// reissue writes the same desired state in this host's name and sends it (I2).
func (p *Planner) reissue(ctx context.Context, w *stepState, cur versionedOrder, u state.Upstream, chosen, why string) error {
	next := cur.order
	next.Holder = p.opts.Host
	if !slices.Contains(next.IssuedBy, p.opts.Host) {
		next.IssuedBy = append(slices.Clone(next.IssuedBy), p.opts.Host)
	}
	return p.writeAndSend(ctx, w, cur, next, u, chosen, why)
}

// settle writes settled once no earlier order can have an effect (I4).
func (p *Planner) settle(ctx context.Context, w *stepState, cur versionedOrder, u state.Upstream) error {
	if pin := p.settleObstacle(cur.order, u); pin != "" {
		p.note(w, cur.order, "waiting", pin)
		return nil
	}
	next := cur.order
	next.State = state.OrderSettled
	next.IssuedBy = nil
	done, err := p.write(ctx, cur, next)
	if err == nil {
		p.note(w, done.order, "settled", fmt.Sprintf("the engine shows %s", describe(next.Desired)))
	}
	return err
}

// settleObstacle says why an engine that ignores fences may still get an earlier order.
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

// note records a step once.
func (p *Planner) note(w *stepState, o state.Order, chosen, why string) {
	text := fmt.Sprintf("%s %s %s", o.State, chosen, why)
	if chosen == "waiting" && w.lastNote == text {
		return
	}
	w.lastNote = text
	p.opts.Recorder.Record(state.Decision{
		At: p.opts.Clock.Now(), Host: p.opts.Host.Name, Kind: state.DecisionOrder,
		Subject: o.Engine, Chosen: chosen, Why: why,
	})
}
