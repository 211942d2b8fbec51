package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/thymerack/thymerack/coordination/rollout"
	"github.com/thymerack/thymerack/protocol/operatorapi"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/operators"
	"github.com/thymerack/thymerack/transport/peer"
)

func (d *Daemon) newRollout() error {
	var err error
	d.rollout, err = rollout.New(rollout.Options{
		Self: d.id, Store: d.store, Peers: &rolloutPeers{d.peers}, Clock: d.clock, Seed: d.rnd.Uint64(),
		Check: d.checkConfig, Apply: d.applyConfig, Log: d.log,
	})
	if err != nil {
		return err
	}
	d.add("rollout", d.rollout.Run)
	d.peerServer.Handle(peerapi.KindConfig, peer.HandleMsg(func(_ context.Context, _ state.HostID, r rollout.Request) (rollout.VersionedValue, error) {
		return d.rollout.Serve(r), nil
	}))
	return nil
}

// hintConfig is told that a peer has a higher configuration in force.
func (d *Daemon) hintConfig(from state.Member, version uint64) { d.rollout.Hint(from, version) }

// rolloutPeers implements rollout.Peers over the peers' connections.
type rolloutPeers struct{ client *peer.Client }

// Config implements rollout.Peers.
func (p *rolloutPeers) Config(ctx context.Context, to state.Member, r rollout.Request) (rollout.VersionedValue, error) {
	return peer.CallMsg[rollout.Request, rollout.VersionedValue](ctx, p.client, to.PeerAddr, peerapi.KindConfig, r)
}

// Config implements operators.Backend.
func (b *backend) Config(context.Context) (operatorapi.ConfigObject, error) {
	c := b.d.keeper.View().Config
	if c == nil {
		return operatorapi.ConfigObject{}, &operators.Error{Status: http.StatusNotFound, Kind: "no_config", Message: "no configuration is in force here; apply one with thymectl config apply --base 0"}
	}
	value, err := json.Marshal(c)
	return operatorapi.ConfigObject{Version: c.Version, Value: value}, err
}

// Edit implements operators.Backend.
func (b *backend) Edit(ctx context.Context, base uint64, value []byte) (uint64, error) {
	version, err := b.d.rollout.Edit(ctx, base, value)
	var conflict *rollout.EditConflictError
	var invalid *state.ConfigError
	switch {
	case errors.As(err, &conflict):
		return 0, &operators.Error{Status: http.StatusConflict, Kind: "edit_conflict", Message: err.Error()}
	case errors.As(err, &invalid), isCompileError(err):
		return 0, &operators.Error{Status: http.StatusBadRequest, Kind: "invalid_config", Message: err.Error()}
	}
	return version, err
}

// Check implements operators.Backend.
func (b *backend) Check(_ context.Context, value []byte) error {
	_, err := b.d.rollout.Validate(value)
	return err
}

// ConfigStatus implements operators.Backend.
func (b *backend) ConfigStatus(context.Context) operatorapi.ConfigStatus {
	var reports []rollout.HostReport
	out := operatorapi.ConfigStatus{}
	for _, h := range b.d.member.ConfigVersions() {
		reports = append(reports, rollout.HostReport{Host: h.Member.ID, Version: h.Version, Age: h.Age, Answers: h.Answers})
		out.Hosts = append(out.Hosts, operatorapi.HostConfig{
			Host: h.Member.ID, FailureDomain: h.Member.FailureDomain, Version: h.Version, AgeMillis: h.Age.Milliseconds(), Answers: h.Answers,
		})
	}
	status := b.d.rollout.Status(reports)
	out.Accepted = status.Highest
	if status.LastRefused != nil {
		out.Problem = status.LastRefused.Err.Error()
	}
	return out
}
