package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/thymerack/thymerack/protocol/operatorapi"
	"github.com/thymerack/thymerack/state"
)

// NotEverywhereError says where an accepted configuration isn't in force yet.
type NotEverywhereError struct {
	Version uint64
	Hosts   []string
}

// Error implements error.
func (e *NotEverywhereError) Error() string {
	return fmt.Sprintf("version %d is accepted and will not be lost, but is not yet in force at %s; see thymectl config status", e.Version, strings.Join(e.Hosts, ", "))
}

// waitStep is the time between two looks at the versions in force.
const waitStep = 200 * time.Millisecond

func (t *Tool) configGet(ctx context.Context) error {
	var c operatorapi.ConfigObject
	if err := t.Client.get(ctx, "/admin/v1/config", &c); err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, c)
	}
	fmt.Fprintln(t.Progress, "version", c.Version)
	return printJSON(t.Out, c.Value)
}

// read reads a file, or standard input for "-".
func (t *Tool) read(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(t.In)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{fmt.Sprintf("%s can't be read (%v); check the path", file, err)}
	}
	return text, nil
}

func (t *Tool) configCheck(ctx context.Context, file string) error {
	value, err := t.read(file)
	if err != nil {
		return err
	}
	var c operatorapi.Checked
	if err := t.Client.do(ctx, http.MethodPost, "/admin/v1/config/check", value, &c); err != nil {
		return err
	}
	if !c.OK {
		return &CallError{Status: http.StatusBadRequest, Kind: "invalid_config", Message: c.Problem}
	}
	_, err = fmt.Fprintln(t.Out, "the configuration is valid")
	return err
}

// configApply writes an edit and waits until it is in force everywhere.
func (t *Tool) configApply(ctx context.Context, file string, base uint64, wait time.Duration) error {
	value, err := t.read(file)
	if err != nil {
		return err
	}
	return t.applyValue(ctx, value, base, wait)
}

func (t *Tool) applyValue(ctx context.Context, value []byte, base uint64, wait time.Duration) error {
	var w operatorapi.ConfigWritten
	if err := t.Client.do(ctx, http.MethodPut, fmt.Sprintf("/admin/v1/config?base=%d", base), value, &w); err != nil {
		return err
	}
	fmt.Fprintf(t.Progress, "accepted as version %d\n", w.Version)
	if wait > 0 {
		if err := t.awaitVersion(ctx, w.Version, wait); err != nil {
			return err
		}
	}
	if t.JSON {
		return printJSON(t.Out, w)
	}
	_, err := fmt.Fprintf(t.Out, "version %d is in force\n", w.Version)
	return err
}

func (t *Tool) awaitVersion(ctx context.Context, version uint64, wait time.Duration) error {
	until := time.Now().Add(wait)
	last := -1
	for {
		var s operatorapi.ConfigStatus
		err := t.Client.get(ctx, "/admin/v1/config/status", &s)
		missing := missingHosts(s, version)
		if err == nil && len(missing) == 0 {
			return nil
		}
		if err == nil && len(missing) != last {
			last = len(missing)
			fmt.Fprintf(t.Progress, "in force at %d of %d hosts\n", len(s.Hosts)-last, len(s.Hosts))
		}
		if time.Now().After(until) {
			return &NotEverywhereError{Version: version, Hosts: missing}
		}
		select {
		case <-time.After(waitStep):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// missingHosts names the hosts that answer and have an older version, and those
// that don't answer.
func missingHosts(s operatorapi.ConfigStatus, version uint64) []string {
	var out []string
	for _, h := range s.Hosts {
		switch {
		case h.Version >= version:
		case h.Answers:
			out = append(out, h.Host.Name)
		default:
			out = append(out, h.Host.Name+" (silent)")
		}
	}
	return out
}

func (t *Tool) configStatus(ctx context.Context) error {
	var s operatorapi.ConfigStatus
	if err := t.Client.get(ctx, "/admin/v1/config/status", &s); err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, s)
	}
	fmt.Fprintf(t.Out, "highest version known: %d\n", s.Accepted)
	if s.Problem != "" {
		fmt.Fprintln(t.Out, "refused:", s.Problem)
	}
	return t.table("HOST\tFAILURE DOMAIN\tVERSION\tHEARD\tANSWERS", len(s.Hosts), func(i int) string {
		h := s.Hosts[i]
		return fmt.Sprintf("%s\t%s\t%d\t%d ms ago\t%v", h.Host.Name, h.FailureDomain, h.Version, h.AgeMillis, h.Answers)
	})
}

// orders runs the commands that give an engine an order.
func (t *Tool) orders(ctx context.Context, f Flags) error {
	switch {
	case f.Drain != nil:
		return t.order(ctx, f.Drain.Engine, operatorapi.OrderRequest{Action: operatorapi.ActionDrain, Reason: f.Drain.Reason})
	case f.Undrain != nil:
		return t.order(ctx, f.Undrain.Engine, operatorapi.OrderRequest{Action: operatorapi.ActionUndrain, Reason: f.Undrain.Reason})
	case f.CallOff != nil:
		return t.order(ctx, f.CallOff.Engine, operatorapi.OrderRequest{Action: operatorapi.ActionCallOff, Reason: f.CallOff.Reason})
	case f.Role != nil:
		return t.order(ctx, f.Role.Engine, operatorapi.OrderRequest{Action: operatorapi.ActionRole, Role: state.Role(f.Role.Role), Reason: f.Role.Reason})
	case f.Load != nil:
		return t.load(ctx, f.Load)
	}
	return errNoCommand
}

func (t *Tool) order(ctx context.Context, engine string, r operatorapi.OrderRequest) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	var o state.Order
	if err := t.Client.do(ctx, http.MethodPost, "/admin/v1/engines/"+url.PathEscape(engine)+"/order", body, &o); err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, o)
	}
	_, err = fmt.Fprintf(t.Out, "%s is %s under fence %d; follow it with thymectl why engine %s\n", o.Engine, describe(o), o.Fence, o.Engine)
	return err
}

func describe(o state.Order) string {
	if o.Drained {
		return "drained by an operator"
	}
	if o.State == state.OrderDraining {
		return fmt.Sprintf("draining, to become %s with %s", o.Desired.Role, o.Desired.Model)
	}
	return string(o.State)
}
