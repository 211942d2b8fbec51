package ctl

import (
	"fmt"
	"os"

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
		out = append(out, routeAccount{r.Name, r.Total(), r.Requests, r.Moved, held})
	}
	if t.JSON {
		return printJSON(t.Out, out)
	}
	head := "ROUTE\tREQUESTS\tSERVED\tREFUSED AT ONCE\tBY RUNNERS\tGIVEN UP\tDEADLINE\tUNKNOWN\tCALLER LEFT\tMOVED\tHELD MS 50%\t90%\tMOST"
	return t.table(head, len(out), func(i int) string {
		r := out[i]
		n := r.Requests
		return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d", r.Route, r.Total, n[account.Served], n[account.RefusedAtOnce], n[account.RefusedByRunners],
			n[account.PrefillTimeout], n[account.DeadlinePassed], n[account.Unknown], n[account.CallerLeft], r.Moved, r.HeldMS[0], r.HeldMS[1], r.HeldMS[2])
	})
}
