package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/thymerack/thymerack/coordination/account"
)

// AccountCommand names a file with the hosts' logs.
type AccountCommand struct {
	File string `arg:"positional,required" help:"the hosts' standard output, one JSON line a request"`
}

// routeAccount is one route's line.
type routeAccount struct {
	Route    string                  `json:"route"`
	Total    int                     `json:"total"`
	Requests map[account.Outcome]int `json:"requests"`
	Moved    int                     `json:"moved"`
	// HeldMS is how long those were held that were not served: median, nine in ten, all.
	HeldMS [3]int64 `json:"held_ms"`
	// Orders are the prompts by their order at an engine, and CrossDomain the number of those that
	// were prefilled in another failure domain, by the reason.
	Orders      []promptOrder  `json:"orders,omitempty"`
	CrossDomain map[string]int `json:"cross_domain_prefills,omitempty"`
}

// promptOrder is one line about the order of a route's prompts.
type promptOrder struct {
	Urgency   int    `json:"urgency"`
	Order     string `json:"order"`
	FirstRank int    `json:"first_rank"`
	LastRank  int    `json:"last_rank"`
	Prompts   int    `json:"prompts"`
	Served    int    `json:"served"`
}

// account sums up logs by route. It asks no host.
func (t *Tool) account(c *AccountCommand) error {
	file, err := os.Open(c.File)
	if err != nil {
		return &UsageError{fmt.Sprintf("the log can't be read (%v); name an existing file", err)}
	}
	defer file.Close()
	routes, err := account.Read(file)
	if err != nil {
		return &UsageError{err.Error()}
	}
	out := make([]routeAccount, 0, len(routes))
	for _, r := range routes {
		held := [3]int64{r.Held(0.5).Milliseconds(), r.Held(0.9).Milliseconds(), r.Held(1).Milliseconds()}
		out = append(out, routeAccount{r.Name, r.Total(), r.Requests, r.Moved, held, promptOrders(r), r.CrossDomain})
	}
	if t.JSON {
		return printJSON(t.Out, out)
	}
	head := "ROUTE\tREQUESTS\tSERVED\tREFUSED AT ONCE\tBY RUNNERS\tGIVEN UP\tDEADLINE\tUNKNOWN\tCALLER LEFT\tMOVED\tHELD MS 50%\t90%\tMOST"
	err = t.table(head, len(out), func(i int) string {
		r := out[i]
		n := r.Requests
		return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d", r.Route, r.Total, n[account.Served], n[account.RefusedAtOnce], n[account.RefusedByRunners],
			n[account.PrefillTimeout], n[account.DeadlinePassed], n[account.Unknown], n[account.CallerLeft], r.Moved, r.HeldMS[0], r.HeldMS[1], r.HeldMS[2])
	})
	if err != nil {
		return err
	}
	return t.accountOfPrompts(out)
}

// promptOrders returns the prompts of a route by urgency and order.
func promptOrders(r *account.Route) []promptOrder {
	var out []promptOrder
	for o, c := range r.Orders {
		out = append(out, promptOrder{o.Urgency, o.Reason, c.FirstRank, c.LastRank, c.Prompts, c.Served})
	}
	slices.SortFunc(out, func(a, b promptOrder) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), strings.Compare(a.Order, b.Order))
	})
	return out
}

// accountOfPrompts prints how prompts were ordered at engines, and why they were prefilled in other
// failure domains, if the logs have such prompts.
func (t *Tool) accountOfPrompts(routes []routeAccount) error {
	var orders, crossDomain []string
	for _, r := range routes {
		for _, o := range r.Orders {
			orders = append(orders, fmt.Sprintf("%s\t%d\t%s\t%d-%d\t%d\t%d", r.Route, o.Urgency, o.Order, o.FirstRank, o.LastRank, o.Prompts, o.Served))
		}
		for _, reason := range slices.Sorted(maps.Keys(r.CrossDomain)) {
			crossDomain = append(crossDomain, fmt.Sprintf("%s\t%s\t%d", r.Route, reason, r.CrossDomain[reason]))
		}
	}
	for _, part := range []struct {
		head string
		rows []string
	}{{"ROUTE\tURGENCY\tORDER\tRANKS\tPROMPTS\tSERVED", orders}, {"ROUTE\tCROSS-DOMAIN PREFILL\tPROMPTS", crossDomain}} {
		if len(part.rows) == 0 {
			continue
		}
		fmt.Fprintln(t.Out)
		if err := t.table(part.head, len(part.rows), func(i int) string { return part.rows[i] }); err != nil {
			return err
		}
	}
	return nil
}
