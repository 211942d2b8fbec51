package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/thymerack/thymerack/protocol/operatorapi"
	"github.com/thymerack/thymerack/state"
)

// policy runs one of the policy commands.
func (t *Tool) policy(ctx context.Context, c *PolicyCommand) error {
	switch {
	case c.Check != nil:
		return t.policyCheck(ctx, c.Check.File)
	case c.Diff != nil:
		return t.policyDiff(ctx, c.Diff.File)
	case c.Apply != nil:
		return t.policyApply(ctx, c.Apply)
	}
	return errNoCommand
}

func (t *Tool) policyCheck(ctx context.Context, file string) error {
	value, err := t.read(file)
	if err != nil {
		return err
	}
	var p operatorapi.PolicyChecked
	if err := t.Client.do(ctx, http.MethodPost, "/admin/v1/policy/check", value, &p); err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, p)
	}
	err = t.table("POLICY\tHOOK\tRUNS\tOPINIONS\tFAILURES", len(p.Policies), func(i int) string {
		r := p.Policies[i]
		return fmt.Sprintf("%s\t%s\t%d\t%d\t%d", r.Name, r.Hook, r.Runs, r.Opinions, r.Failures)
	})
	if err != nil {
		return err
	}
	for _, f := range p.Failures {
		fmt.Fprintln(t.Out, f)
	}
	if !p.OK {
		return &CallError{Kind: "policy_fails", Message: fmt.Sprintf("a policy fails on some of %d remembered requests; mend it before it is applied", p.Records)}
	}
	_, err = fmt.Fprintf(t.Out, "compiles, and fails on none of %d remembered requests\n", p.Records)
	return err
}

func (t *Tool) policyDiff(ctx context.Context, file string) error {
	value, err := t.read(file)
	if err != nil {
		return err
	}
	var p operatorapi.PolicyDiffed
	if err := t.Client.do(ctx, http.MethodPost, "/admin/v1/policy/diff", value, &p); err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, p)
	}
	for _, c := range p.Changes {
		fmt.Fprintln(t.Out, c)
	}
	_, err = fmt.Fprintf(t.Out, "%d decisions of %d remembered requests would change\n", len(p.Changes), p.Records)
	return err
}

// policyApply replaces the policies of the version that the edit was made on.
func (t *Tool) policyApply(ctx context.Context, c *ConfigApplyCommand) error {
	value, err := t.read(c.File)
	if err != nil {
		return err
	}
	var list []state.Policy
	if err := json.Unmarshal(value, &list); err != nil {
		return &UsageError{fmt.Sprintf("%s is not a list of policies (%v); write [{\"name\", \"hook\", \"source\"}]", c.File, err)}
	}
	var present operatorapi.ConfigObject
	if err := t.Client.get(ctx, "/admin/v1/config", &present); err != nil {
		return err
	}
	if present.Version != c.Base {
		return &CallError{Status: http.StatusConflict, Kind: "edit_conflict", Message: fmt.Sprintf("the edit was made on version %d, but version %d is present; look at that one and repeat the edit on it", c.Base, present.Version)}
	}
	var config state.Config
	if err := json.Unmarshal(present.Value, &config); err != nil {
		return err
	}
	config.Policies = list
	next, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return t.applyValue(ctx, next, c.Base, c.Wait)
}
