package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/thymerack/thymerack/coordination/policy"
	"github.com/thymerack/thymerack/protocol/operatorapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/front"
	"github.com/thymerack/thymerack/transport/operators"
)

// keptRequests are remembered for policies to be tried on.
const keptRequests = 1000

// policies runs the operators' programs in force and remembers what they saw.
type policies struct {
	d      *Daemon
	holder policy.Holder

	mu   sync.Mutex
	ring []policy.Recorded
	next int
}

// Classify implements front.Policies.
func (p *policies) Classify(in front.ClassifyInput) string {
	r := p.input(in)
	p.remember(in.ID, r)
	return p.holder.Load().Classify(r)
}

// Admit implements front.Policies.
func (p *policies) Admit(in front.ClassifyInput) string {
	return p.holder.Load().Admit(p.input(in))
}

func (p *policies) input(in front.ClassifyInput) policy.RequestInput {
	now := p.d.clock.Now()
	return policy.RequestInput{
		Customer: in.Customer, Class: in.Class, Service: in.Service, Model: in.Model,
		PromptTokens: in.PromptTokens, MaxTokens: in.MaxTokens,
		MinuteOfDay: policy.MinuteOfDay(now), Weekday: int(now.Weekday()),
	}
}

func (p *policies) remember(id string, r policy.RequestInput) {
	p.mu.Lock()
	defer p.mu.Unlock()
	record := policy.Recorded{ID: id, Request: &r}
	if len(p.ring) < keptRequests {
		p.ring = append(p.ring, record)
		return
	}
	p.ring[p.next] = record
	p.next = (p.next + 1) % keptRequests
}

func (p *policies) recorded() []policy.Recorded {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]policy.Recorded(nil), p.ring...)
}

// PolicyFailed implements policy.Failures: the built-in decision took its place.
func (p *policies) PolicyFailed(err *policy.RunError) {
	p.d.metrics.PolicyFailed(err.Policy)
	p.d.log.Debug("a policy failed; the built-in decision took its place", "policy", err.Policy, "error", err)
}

// checkConfig refuses a configuration whose policies don't compile.
func (d *Daemon) checkConfig(c *state.Config) error {
	_, err := policy.CompileConfig(c, nil)
	return err
}

// applyConfig puts a configuration and its policies in force.
func (d *Daemon) applyConfig(c *state.Config) bool {
	set, err := policy.CompileConfig(c, d.policies)
	if err != nil {
		d.log.Error("policies do not compile", "error", err)
		return false
	}
	if !d.keeper.SetConfig(c) {
		return false
	}
	d.policies.holder.Store(set)
	return true
}

// trial compiles a list of policies as a part of the configuration in force.
func (b *backend) trial(value []byte) (*policy.Set, error) {
	var list []state.Policy
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, invalidPolicies(fmt.Errorf("the body is not a list of policies (%w); send [{\"name\", \"hook\", \"source\"}]", err))
	}
	c := b.d.keeper.View().Config
	if c == nil {
		return nil, &operators.Error{Status: http.StatusNotFound, Kind: "no_config", Message: "no configuration is in force here; ask another host"}
	}
	with := *c
	with.Policies = list
	if err := with.Validate(); err != nil {
		return nil, invalidPolicies(err)
	}
	set, err := policy.CompileConfig(&with, nil)
	if err != nil {
		return nil, invalidPolicies(err)
	}
	return set, nil
}

func invalidPolicies(err error) error {
	return &operators.Error{Status: http.StatusBadRequest, Kind: "invalid_policy", Message: err.Error()}
}

// PolicyCheck implements operators.Backend.
func (b *backend) PolicyCheck(_ context.Context, value []byte) (operatorapi.PolicyChecked, error) {
	set, err := b.trial(value)
	if err != nil {
		return operatorapi.PolicyChecked{}, err
	}
	report := policy.Check(set, b.d.policies.recorded())
	out := operatorapi.PolicyChecked{Records: report.Records, OK: report.OK()}
	for _, p := range report.Policies {
		out.Policies = append(out.Policies, operatorapi.PolicyRow{Name: p.Policy, Hook: string(p.Hook), Runs: p.Runs, Opinions: p.Opinions, Failures: p.Failures})
	}
	for _, f := range report.Failures {
		out.Failures = append(out.Failures, f.Policy+" on "+f.ID+": "+f.Problem)
	}
	return out, nil
}

// PolicyDiff implements operators.Backend.
func (b *backend) PolicyDiff(_ context.Context, value []byte) (operatorapi.PolicyDiffed, error) {
	set, err := b.trial(value)
	if err != nil {
		return operatorapi.PolicyDiffed{}, err
	}
	records := b.d.policies.recorded()
	out := operatorapi.PolicyDiffed{Records: len(records)}
	for _, c := range policy.Diff(b.d.policies.holder.Load(), set, records) {
		out.Changes = append(out.Changes, c.String())
	}
	return out, nil
}

// isCompileError reports whether an edit failed because of a policy.
func isCompileError(err error) bool {
	var wrong *policy.CompileError
	return errors.As(err, &wrong)
}
