package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/thymerack/thymerack/coordination/claim"
	"github.com/thymerack/thymerack/coordination/order"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/protocol/operatorapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/operators"
)

// defaultReason is kept with an operator's order that gives none.
const defaultReason = "asked for by an operator"

// newOperators mounts the operators' calls.
func (d *Daemon) newOperators() error {
	tokens, err := operators.NewTokens(d.settings.Operator.TokenFile)
	if err != nil {
		return err
	}
	if d.settings.Operator.TokenFile == "" {
		d.log.Warn("operators need no token; this is allowed on loopback only")
	}
	d.operators, err = operators.New(&backend{d}, tokens)
	return err
}

// backend does what operators ask of this host.
type backend struct{ d *Daemon }

var _ operators.Backend = (*backend)(nil)

// Status implements operators.Backend.
func (b *backend) Status(context.Context) operatorapi.Status {
	d := b.d
	v := d.keeper.View()
	out := operatorapi.Status{
		Host: d.id, FailureDomain: d.settings.Host.FailureDomain, Ready: d.ready(), Isolated: d.member.Isolated(),
		Standing: d.member.Standing().String(), InFlight: d.front.InFlight(), Answers: d.answers.Len(),
		Hosts: len(d.member.Hosts()), Runners: len(v.Runners), PlatformCalls: d.platformCalls(),
	}
	if v.Config != nil {
		out.ConfigVersion = v.Config.Version
	}
	for i := range v.Runners {
		if v.Runners[i].TakesWork() {
			out.TakingWork++
		}
	}
	return out
}

func (d *Daemon) platformCalls() uint64 {
	s := d.platform.Stats()
	return s.Get.Calls + s.Put.Calls + s.Delete.Calls + s.List.Calls + s.Watch.Calls + s.Hosts.Calls
}

// Hosts implements operators.Backend.
func (b *backend) Hosts(context.Context) []operatorapi.Host {
	live := b.d.member.Hosts()
	var out []operatorapi.Host
	for _, h := range b.d.member.ConfigVersions() {
		out = append(out, operatorapi.Host{
			Member: h.Member, Live: slices.Contains(live, h.Member.ID),
			ConfigVersion: h.Version, AgeMillis: h.Age.Milliseconds(),
		})
	}
	return out
}

// Upstreams implements operators.Backend.
func (b *backend) Upstreams(context.Context) []operatorapi.Upstream {
	v := b.d.keeper.View()
	breakers := map[string]string{}
	for _, s := range b.d.decide.router.breakers.Status() {
		breakers[s.Upstream] = string(s.State)
	}
	out := make([]operatorapi.Upstream, 0, len(v.Runners))
	for i := range v.Runners {
		out = append(out, b.upstream(&v.Runners[i], breakers))
	}
	return out
}

func (b *backend) upstream(r *snapshot.Runner, breakers map[string]string) operatorapi.Upstream {
	age := int64(-1)
	if !r.Load.TakenAt.IsZero() {
		age = b.d.clock.Now().Sub(r.Load.TakenAt).Milliseconds()
	}
	rest := int64(0)
	if until := b.d.restsUntil(r); !until.IsZero() {
		rest = until.Sub(b.d.clock.Now()).Milliseconds()
	}
	breaker := breakers[r.Name]
	if breaker == "" {
		breaker = "closed"
	}
	return operatorapi.Upstream{
		Upstream: r.Upstream, Target: r.Target, Order: r.Order.State, Fence: r.Order.Fence, Drained: r.Order.Drained,
		Leaving: r.Leaving, Unhealthy: r.Unhealthy, Breaker: breaker, BackoffMillis: rest,
		InFlight: r.InFlight.Load().Requests, PeersInFlight: r.PeerWork.Requests,
		PrefillBacklogTokens: r.Load.PrefillBacklogTokens, DecodeRunning: r.Load.DecodeRunning, ReportAgeMillis: age,
	}
}

// Order implements operators.Backend.
func (b *backend) Order(ctx context.Context, engine string) (state.Order, error) {
	if _, err := b.d.engineNamed(engine); err != nil {
		return state.Order{}, err
	}
	o, err := b.d.desk.Get(ctx, engine)
	return o, orderError(err)
}

// Request implements operators.Backend. An operator's wish and the rebalancer's
// move the same object by conditional update, so that they can't conflict.
func (b *backend) Request(ctx context.Context, engine string, r operatorapi.OrderRequest) (state.Order, error) {
	u, err := b.d.engineNamed(engine)
	if err != nil {
		return state.Order{}, err
	}
	if r.Reason == "" {
		r.Reason = defaultReason
	}
	const by = "operator"
	var o state.Order
	switch r.Action {
	case operatorapi.ActionDrain:
		o, err = b.d.desk.Drain(ctx, engine, u.Service, by, r.Reason)
	case operatorapi.ActionUndrain:
		o, err = b.d.desk.Undrain(ctx, engine, u.Service, by, r.Reason)
	case operatorapi.ActionCallOff:
		o, err = b.d.desk.CallOff(ctx, engine, by, r.Reason)
	case operatorapi.ActionRole, operatorapi.ActionLoad:
		o, err = b.change(ctx, u, r, by)
	default:
		return o, &operators.Error{Status: http.StatusBadRequest, Kind: "unknown_action", Message: fmt.Sprintf("%q is not an action; use drain, undrain, role, load or call-off", r.Action)}
	}
	return o, orderError(err)
}

// change asks for another role, model or set of adapters; what the request
// leaves out stays as the engine has it.
func (b *backend) change(ctx context.Context, u state.Upstream, r operatorapi.OrderRequest, by string) (state.Order, error) {
	target, err := b.present(ctx, u)
	if err != nil {
		return state.Order{}, err
	}
	if r.Action == operatorapi.ActionRole {
		if !r.Role.Valid() {
			return state.Order{}, &operators.Error{Status: http.StatusBadRequest, Kind: "unknown_role", Message: fmt.Sprintf("%q is not a role; use mixed, prefill or decode", r.Role)}
		}
		target.Role = r.Role
	} else {
		if err := b.known(u, r.Model); err != nil {
			return state.Order{}, err
		}
		target.Model = r.Model
		target.Adapters = r.Adapters
	}
	return b.d.desk.Request(ctx, u.Name, u.Service, target, by, r.Reason)
}

// known refuses a model that the engine's service doesn't have: an issued order
// that an engine can never reach would keep it out of service.
func (b *backend) known(u state.Upstream, model string) error {
	name, _, _ := strings.Cut(model, "@")
	s := b.d.keeper.View().Service(u.Service)
	if name == "" || s == nil || !slices.Contains(s.Models, name) {
		return &operators.Error{Status: http.StatusBadRequest, Kind: "unknown_model", Message: fmt.Sprintf("service %s has no model %q; add it to the configuration first, or name one of its models as name or name@version", u.Service, name)}
	}
	return nil
}

// present is what the engine is, by its settled order or by its own word.
func (b *backend) present(ctx context.Context, u state.Upstream) (state.Target, error) {
	if o, err := b.d.desk.Get(ctx, u.Name); err == nil && o.State == state.OrderSettled {
		return o.Desired, nil
	}
	shown, err := b.d.upstream.Show(ctx, u)
	if err != nil {
		return state.Target{}, &operators.Error{Status: http.StatusServiceUnavailable, Kind: "engine_silent", Message: fmt.Sprintf("engine %s does not say what it is (%v); try again when it answers", u.Name, err)}
	}
	return shown.Target, nil
}

func orderError(err error) error {
	var busy *order.BusyError
	var none *order.NoOrderError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &busy):
		return &operators.Error{Status: http.StatusConflict, Kind: "change_under_way", Message: err.Error()}
	case errors.As(err, &none):
		return &operators.Error{Status: http.StatusNotFound, Kind: "no_order", Message: err.Error()}
	}
	return err
}

// Claim implements operators.Backend.
func (b *backend) Claim(ctx context.Context, key string) (state.Claim, error) {
	c, err := b.d.decide.claimer.Show(ctx, key)
	var bad *claim.KeyError
	var none *claim.NotClaimedError
	switch {
	case errors.As(err, &bad):
		return c, &operators.Error{Status: http.StatusBadRequest, Kind: "bad_key", Message: err.Error()}
	case errors.As(err, &none):
		return c, &operators.Error{Status: http.StatusNotFound, Kind: "not_claimed", Message: err.Error()}
	}
	return c, err
}

// SetLogLevel implements operators.Backend.
func (b *backend) SetLogLevel(level string) error {
	var l slog.Level
	if err := l.UnmarshalText([]byte(strings.ToUpper(level))); err != nil {
		return fmt.Errorf("%q is not a level; use debug, info, warn or error", level)
	}
	b.d.level.Set(l)
	return nil
}

// Metrics implements operators.Backend.
func (b *backend) Metrics(w io.Writer) { b.d.metrics.Write(w) }

// now is the time an answer was put together.
func (b *backend) now() time.Time { return b.d.clock.Now() }
