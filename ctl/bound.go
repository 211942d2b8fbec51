package ctl

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/thymerack/thymerack/coordination/bound"
	"github.com/thymerack/thymerack/platform/site"
)

// BoundCommand names a site file of the users' bench.
type BoundCommand struct {
	File string `arg:"positional,required" help:"site file (TOML)"`
	Day  string `arg:"--day" help:"one day only"`
}

// dayBound is what could be earned on a day.
type dayBound struct {
	Day   string  `json:"day"`
	Share float64 `json:"share"`
	// Binds names the services whose capacity did not do, with the seconds in which.
	Binds string `json:"binds"`
	// Classes are shares of each class's requests.
	Classes []classBound `json:"classes"`
}

type classBound struct {
	Class  string  `json:"class"`
	InTime float64 `json:"in_time"`
	Late   float64 `json:"late"`
}

// bound prints what a deployment could earn at best on each day of a site file. It asks
// no host.
func (t *Tool) bound(c *BoundCommand) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return &UsageError{fmt.Sprintf("the site file can't be read (%v); name an existing one", err)}
	}
	days, err := site.Decode(text)
	if err != nil {
		return &UsageError{err.Error()}
	}
	var out []dayBound
	for _, d := range days {
		if c.Day == "" || c.Day == d.Name {
			out = append(out, boundOf(d))
		}
	}
	if len(out) == 0 {
		return &UsageError{fmt.Sprintf("the site file has no day %q; leave --day out for all of them", c.Day)}
	}
	if t.JSON {
		return printJSON(t.Out, out)
	}
	return t.table("DAY\tOF THE CREDIT\tCAPACITY BINDS\tIN TIME (LATE)", len(out), func(i int) string {
		return fmt.Sprintf("%s\t%.3f\t%s\t%s", out[i].Day, out[i].Share, out[i].Binds, out[i].shares())
	})
}

func boundOf(d site.Day) dayBound {
	r := bound.Evaluate(d.Classes, d.Seconds)
	out := dayBound{Day: d.Name, Share: r.Share(), Binds: binds(r.SaturatedSeconds)}
	for i, c := range d.Classes {
		out.Classes = append(out.Classes, classBound{c.Name, r.InTime[i], r.Late[i]})
	}
	return out
}

func binds(short map[string]int) string {
	var out []string
	for service, seconds := range short {
		out = append(out, fmt.Sprintf("%s, %d s", service, seconds))
	}
	if len(out) == 0 {
		return "never"
	}
	slices.Sort(out)
	return strings.Join(out, "; ")
}

func (d dayBound) shares() string {
	var out []string
	for _, c := range d.Classes {
		out = append(out, fmt.Sprintf("%s %.3f (%.3f)", c.Class, c.InTime, c.Late))
	}
	return strings.Join(out, ", ")
}
