package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/thymerack/thymerack/protocol/operatorapi"
	"github.com/thymerack/thymerack/state"
)

// table prints rows in aligned columns.
func (t *Tool) table(head string, rows int, row func(i int) string) error {
	w := tabwriter.NewWriter(t.Out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, head); err != nil {
		return err
	}
	for i := range rows {
		if _, err := fmt.Fprintln(w, row(i)); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (t *Tool) status(ctx context.Context) error {
	var s operatorapi.Status
	if err := t.Client.get(ctx, "/admin/v1/status", &s); err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, s)
	}
	_, err := fmt.Fprintf(t.Out, "host %s in %s, %s\nready %v, isolated %v\nconfiguration %d\nin flight %d, answers held %d\nhosts %d, runners %d of which %d take work\nplatform calls %d\n",
		s.Host, s.FailureDomain, s.Standing, s.Ready, s.Isolated, s.ConfigVersion, s.InFlight, s.Answers, s.Hosts, s.Runners, s.TakingWork, s.PlatformCalls)
	if err == nil && s.Problem != "" {
		_, err = fmt.Fprintln(t.Out, "refused configuration:", s.Problem)
	}
	return err
}

func (t *Tool) hosts(ctx context.Context) error {
	var hosts []operatorapi.Host
	if err := t.Client.get(ctx, "/admin/v1/hosts", &hosts); err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, hosts)
	}
	return t.table("NAME\tFAILURE DOMAIN\tCALLERS\tPEERS\tLIVE\tCONFIG\tHEARD", len(hosts), func(i int) string {
		h := hosts[i]
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%v\t%d\t%d ms ago", h.ID.Name, h.FailureDomain, h.CallerAddr, h.PeerAddr, h.Live, h.ConfigVersion, h.AgeMillis)
	})
}

func (t *Tool) upstreams(ctx context.Context) error {
	var ups []operatorapi.Upstream
	if err := t.Client.get(ctx, "/admin/v1/upstreams", &ups); err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, ups)
	}
	return t.table("NAME\tSERVICE\tFAILURE DOMAIN\tROLE\tMODEL\tSTATE\tIN FLIGHT\tPEERS'\tPREFILL BACKLOG\tDECODING\tREPORT", len(ups), func(i int) string {
		u := ups[i]
		age := "none"
		if u.ReportAgeMillis >= 0 {
			age = fmt.Sprintf("%d ms old", u.ReportAgeMillis)
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s", u.Name, u.Service, u.FailureDomain, u.Target.Role, u.Target.Model,
			stateOf(u), u.InFlight, u.PeersInFlight, u.PrefillBacklogTokens, u.DecodeRunning, age)
	})
}

// stateOf names what keeps work from an upstream, the strongest reason first.
func stateOf(u operatorapi.Upstream) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Drained:
		return "drained"
	case u.Order == state.OrderDraining || u.Order == state.OrderIssued:
		return string(u.Order)
	case u.Unhealthy:
		return "unhealthy"
	case u.Breaker != "closed":
		return "breaker " + u.Breaker
	case u.BackoffMillis > 0:
		return fmt.Sprintf("rests %d ms", u.BackoffMillis)
	}
	return "ok"
}

func (t *Tool) why(ctx context.Context, c *WhyCommand) error {
	var path string
	switch {
	case c.Request != nil:
		path = "/admin/v1/why/request/" + url.PathEscape(c.Request.ID) + "?host=" + url.QueryEscape(c.Request.Host)
	case c.Engine != nil:
		path = "/admin/v1/why/engine/" + url.PathEscape(c.Engine.Engine)
	default:
		return errNoCommand
	}
	var w operatorapi.Why
	if err := t.Client.get(ctx, path, &w); err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, w)
	}
	if len(w.Sentences) == 0 {
		fmt.Fprintf(t.Out, "nothing is recorded about %s at the %d hosts asked; check the name, or name the host that served it with --of-host\n", w.Subject, w.AskedHosts)
	}
	for _, s := range w.Sentences {
		fmt.Fprintln(t.Out, s)
	}
	for _, h := range w.Silent {
		fmt.Fprintf(t.Out, "host %s did not answer; it may know more\n", h)
	}
	return nil
}

func (t *Tool) claim(ctx context.Context, key string) error {
	var c state.Claim
	if err := t.Client.get(ctx, "/admin/v1/claims/"+url.PathEscape(key), &c); err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, c)
	}
	_, err := fmt.Fprintf(t.Out, "key %s of customer %s: %s\nheld by %s since %s\n", c.Key, c.Customer, c.State, c.Holder, c.ClaimedAt.Format(time.RFC3339Nano))
	if err == nil && c.Answer != nil {
		_, err = fmt.Fprintf(t.Out, "answered with status %d, %d bytes\n", c.Answer.Status, len(c.Answer.Body))
	}
	return err
}

func (t *Tool) logLevel(ctx context.Context, level string) error {
	body, err := json.Marshal(operatorapi.LogLevel{Level: level})
	if err != nil {
		return err
	}
	var l operatorapi.LogLevel
	if err := t.Client.do(ctx, http.MethodPut, "/admin/v1/log/level", body, &l); err != nil {
		return err
	}
	_, err = fmt.Fprintln(t.Out, "the host logs from", l.Level)
	return err
}

// clearScreen moves the cursor home and clears what is below.
const clearScreen = "\x1b[H\x1b[J"

func (t *Tool) top(ctx context.Context, c *TopCommand) error {
	for n := 1; ; n++ {
		if !t.JSON {
			fmt.Fprint(t.Out, clearScreen)
		}
		if err := t.status(ctx); err != nil {
			return err
		}
		if err := t.upstreams(ctx); err != nil {
			return err
		}
		if c.Times > 0 && n >= c.Times {
			return nil
		}
		select {
		case <-time.After(c.Every):
		case <-ctx.Done():
			return nil
		}
	}
}
