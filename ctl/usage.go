package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/thymerack/thymerack/coordination/usage"
)

// UsageCommand shows the reports of usage.
type UsageCommand struct {
	StoreFlags
	Window uint64 `arg:"--window" help:"number of one window; all recent ones otherwise"`
	Hosts  bool   `arg:"--hosts" help:"what each host said of the latest windows, in place of the customers' counts"`
}

// usage shows what was decided and sent, from the platform's store. It asks no host.
func (t *Tool) usage(ctx context.Context, c *UsageCommand) error {
	s, err := c.open("reports of usage are")
	if err != nil {
		return err
	}
	reports, err := usage.List(ctx, s)
	if err != nil {
		return c.explain(err)
	}
	reports = slices.DeleteFunc(reports, func(r usage.Report) bool { return c.Window != 0 && uint64(r.Window) != c.Window })
	if c.Window != 0 && len(reports) == 0 {
		return &UsageError{fmt.Sprintf("window %d isn't among the recent reports; leave --window away to see which are", c.Window)}
	}
	if t.JSON {
		return printJSON(t.Out, reports)
	}
	rows := customerRows
	header := "WINDOW\tCONFIRMED\tMISSING HOSTS\tCUSTOMER\tREQUESTS"
	if c.Hosts {
		rows, header = hostRows, "WINDOW\tCONFIRMED\tMISSING HOSTS\tHOST\tREQUESTS"
	}
	var lines []string
	for _, r := range reports {
		lines = append(lines, rows(r)...)
	}
	return t.table(header, len(lines), func(i int) string { return lines[i] })
}

func customerRows(r usage.Report) []string { return usageRows(r, r.Counts) }

func hostRows(r usage.Report) []string { return usageRows(r, r.ByHost) }

// usageRows are a report's numbers by name, or one row if it has none.
func usageRows(r usage.Report, numbers map[string]uint64) []string {
	row := func(name string, n uint64) string {
		return fmt.Sprintf("%d\t%v\t%s\t%s\t%d", r.Window, r.Confirmed, strings.Join(r.Missing, " "), name, n)
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		out = append(out, row(name, numbers[name]))
	}
	if len(out) == 0 {
		out = append(out, row("-", 0))
	}
	return out
}
