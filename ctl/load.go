package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/protocol/loadapi"
	"github.com/thymerack/thymerack/protocol/operatorapi"
)

// LoadCommand loads a model or adapters, or shows the load of engines if Metrics is set.
type LoadCommand struct {
	Engine  string   `arg:"positional" help:"engine that loads the model"`
	Model   string   `arg:"positional" help:"name or name@version"`
	Adapter []string `arg:"--adapter,separate" help:"adapter to load; may be repeated"`
	Reason  string   `arg:"--reason" help:"kept with the order"`
	Metrics string   `arg:"--metrics" help:"ip:port of a host's metrics; shows the load of engines that the host knows, and loads nothing"`
	JSON    bool     `arg:"--json" help:"with --metrics: print the document as the host sent it"`
}

// load shows the load of engines or orders a model.
func (t *Tool) load(ctx context.Context, c *LoadCommand) error {
	switch {
	case c.Metrics != "" && c.Engine == "":
		return t.showLoad(ctx, c.Metrics, c.JSON || t.JSON)
	case c.Metrics == "" && c.Engine != "" && c.Model != "" && !c.JSON:
		return t.order(ctx, c.Engine, operatorapi.OrderRequest{Action: operatorapi.ActionLoad, Model: c.Model, Adapters: c.Adapter, Reason: c.Reason})
	}
	return &UsageError{"load needs either --metrics IP:PORT, to show the load of engines, or ENGINE and MODEL, to load a model"}
}

// LoadUnavailableError says that an address doesn't serve the load of engines.
type LoadUnavailableError struct {
	Addr  string
	Cause string
}

// Error implements error.
func (e *LoadUnavailableError) Error() string {
	return fmt.Sprintf("%s doesn't serve the load of engines: %s", e.Addr, e.Cause)
}

// fetchLoad returns the document of the host whose metrics are at addr, also as it was sent.
func (t *Tool) fetchLoad(ctx context.Context, addr string) (l loadapi.Load, raw []byte, err error) {
	if err := ctx.Err(); err != nil {
		return l, nil, err
	}
	client := &fasthttp.Client{ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxIdemponentCallAttempts: 1}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + loadapi.Path)
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return l, nil, &LoadUnreachableError{Addr: addr, Cause: err}
	}
	raw = append(raw, resp.Body()...)
	var p operatorapi.Problem
	switch {
	case resp.StatusCode() == http.StatusServiceUnavailable && json.Unmarshal(raw, &p) == nil && p.Error != "":
		return l, nil, &LoadUnavailableError{addr, p.Error}
	case resp.StatusCode() != http.StatusOK:
		return l, nil, &LoadUnavailableError{addr, fmt.Sprintf("it answered %d; name the port of --metrics-port of a host of this version", resp.StatusCode())}
	case json.Unmarshal(raw, &l) != nil || l.Host == "":
		return l, nil, &LoadUnavailableError{addr, "its answer isn't the expected document; name the port of --metrics-port of a host of this version"}
	}
	return l, raw, nil
}

// LoadUnreachableError says that a metrics port gave no answer.
type LoadUnreachableError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *LoadUnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s (%v); check that the host runs and that --metrics names its ip and the port of its --metrics-port", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *LoadUnreachableError) Unwrap() error { return e.Cause }

// showLoad prints the load that a host knows.
func (t *Tool) showLoad(ctx context.Context, addr string, raw bool) error {
	l, body, err := t.fetchLoad(ctx, addr)
	if err != nil {
		return err
	}
	if raw {
		_, err = fmt.Fprintln(t.Out, string(body))
		return err
	}
	for _, show := range []func(loadapi.Load) error{t.showCounts, t.showShares, t.showNotice, t.showFleet, t.showCapacity} {
		if err := show(l); err != nil {
			return err
		}
	}
	return nil
}

// showCounts prints the engines whose counts the host owns.
func (t *Tool) showCounts(l loadapi.Load) error {
	fmt.Fprintf(t.Out, "host %s in %s: owner of the counts of %d engines, the busiest %d:\n", l.Host, l.FailureDomain, l.Owner.EngineCount, len(l.Owner.Engines))
	return t.table("ENGINE\tSERVICE\tFAILURE DOMAIN\tROLE\tWAITING BY URGENCY\tEMPTY IN\tSPEED\tSLOW PERIOD\tDECODING", len(l.Owner.Engines), func(i int) string {
		e := l.Owner.Engines[i]
		speed := "unknown"
		if e.Speed > 0 {
			speed = fmt.Sprintf("%.2f", e.Speed)
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d ms\t%s\t%v\t%d", e.Name, e.Service, e.FailureDomain, e.Role, waiting(e.Waiting), e.UntilEmptyMillis, speed, e.SlowPeriod, e.Decoding)
	})
}

// showShares prints the use of the host's engines by customers.
func (t *Tool) showShares(l loadapi.Load) error {
	for _, s := range l.Owner.Services {
		share := "enough for all customers"
		if s.FairShare > 0 {
			share = fmt.Sprintf("fair share of a customer %.2f engines", s.FairShare)
		}
		fmt.Fprintf(t.Out, "\nservice %s: waiting by urgency %s, %s\n", s.Name, waiting(s.Waiting), share)
		err := t.table("CUSTOMER\tDEMAND (ENGINES)\tGRANTED\tAHEAD OF SHARE", len(s.Customers), func(i int) string {
			c := s.Customers[i]
			return fmt.Sprintf("%s\t%.2f\t%.2f\t%v", cmp.Or(c.Name, c.Hash, "(none)"), c.Demand, c.Granted, c.Ahead)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// showNotice prints what the host received from the holder of the lease.
func (t *Tool) showNotice(l loadapi.Load) error {
	n := l.Notice
	if n == nil {
		_, err := fmt.Fprintln(t.Out, "\nno load notice received: no engine's speed is uneven and no prefixes are local, or the host has just started")
		return err
	}
	fmt.Fprintf(t.Out, "\nload notice %d of term %d, %d ms ago; local prefixes: %s\n", n.Number, n.Term, n.AgeMillis, cmp.Or(strings.Join(n.LocalPrefixes, " "), "none"))
	if len(n.Speeds) == 0 {
		return nil
	}
	return t.table("UNEVEN ENGINE\tSPEED", len(n.Speeds), func(i int) string {
		return fmt.Sprintf("%s\t%.2f", n.Speeds[i].Engine, n.Speeds[i].Speed)
	})
}

// showFleet prints the summary of all engines.
func (t *Tool) showFleet(l loadapi.Load) error {
	f := l.Fleet
	if f == nil {
		_, err := fmt.Fprintln(t.Out, "\nno summary of the fleet and no capacity here: ask the host that holds the lease (last `lease acquired` in the logs)")
		return err
	}
	fmt.Fprintf(t.Out, "\nfleet, %d ms old, %.0f%% of the owners answered\n", f.AgeMillis, 100*f.Answered)
	err := t.table("SERVICE\tFAILURE DOMAIN\tPREFILL ENGINES\tPREFILL WORK\tLATE\tHEADROOM\tDECODING\tDECODE TOKENS", len(f.Domains), func(i int) string {
		d := f.Domains[i]
		return fmt.Sprintf("%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%d\t%d", d.Service, d.FailureDomain, d.PrefillEngines, d.Prefill, d.LatePrefill, d.Headroom, d.Decoding, d.DecodeTokens)
	})
	if err != nil || len(f.WorkingSet) == 0 {
		return err
	}
	return t.table("SERVICE\tWORKING SET (TOKENS)\tMEAN PART", len(f.WorkingSet), func(i int) string {
		w := f.WorkingSet[i]
		return fmt.Sprintf("%s\t%d\t%d", w.Service, w.Tokens, w.MeanPart)
	})
}

// showCapacity prints the required numbers of runners.
func (t *Tool) showCapacity(l loadapi.Load) error {
	if len(l.Capacity) == 0 {
		return nil
	}
	fmt.Fprintln(t.Out)
	return t.table("SERVICE\tLISTED\tREQUIRED\tAT MOST\tPREFILL + DECODE\tPEAK PREFILL\tPEAK DECODING\tPEAK TOKENS\tAGE\tLAST CHANGE\tKEPT BECAUSE", len(l.Capacity), func(i int) string {
		c := l.Capacity[i]
		age := "none"
		if c.AgeMillis >= 0 {
			age = fmt.Sprintf("%d ms", c.AgeMillis)
		}
		return fmt.Sprintf("%s\t%d\t%d\t%d\t%d + %d\t%.2f\t%.0f\t%.0f\t%s\t%s\t%s", c.Service, c.Listed, c.Required, c.Configured, c.PrefillEngines, c.DecodeEngines,
			c.PeakPrefill, c.PeakDecoding, c.PeakDecodeTokens, age, cmp.Or(c.LastChange, "none"), cmp.Or(c.Unusable, "-"))
	})
}

// waiting formats the number of waiting prompts by level.
func waiting(levels []int) string { return strings.Trim(fmt.Sprint(levels), "[]") }
