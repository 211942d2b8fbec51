package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/store"
)

// QuarantineCommand names the platform's store, where the quarantine is kept.
type QuarantineCommand struct {
	StoreFlags
	List    *QuarantineListCommand    `arg:"subcommand:list" help:"the requests that are held, and the crashes that speak against them"`
	Release *QuarantineReleaseCommand `arg:"subcommand:release" help:"let a request run again at all hosts"`
}

type (
	// QuarantineListCommand lists what is held.
	QuarantineListCommand struct{}
	// QuarantineReleaseCommand names a request that is held.
	QuarantineReleaseCommand struct {
		Digest string `arg:"positional,required" help:"the request's digest, from list or a log line"`
	}
)

// quarantine lists or releases requests at the platform's store. It asks no host.
func (t *Tool) quarantine(ctx context.Context, c *QuarantineCommand) error {
	s, err := c.open("the quarantine is")
	if err != nil {
		return err
	}
	switch {
	case c.List != nil:
		err = t.listHeld(ctx, s)
	case c.Release != nil:
		err = t.release(ctx, s, c.Release.Digest)
	default:
		return errNoCommand
	}
	return c.explain(err)
}

func (t *Tool) listHeld(ctx context.Context, s store.Store) error {
	held, err := quarantine.List(ctx, s)
	if err != nil {
		return err
	}
	if t.JSON {
		return printJSON(t.Out, held)
	}
	return t.table("DIGEST\tSTATE\tTIMES\tCRASHES (RUNNER UNDER REQUEST OF HOST)", len(held), func(i int) string {
		h := held[i]
		state := "held"
		if h.Released {
			state = "released"
		}
		return fmt.Sprintf("%s\t%s\t%d\t%s", h.Digest, state, h.HoldCount, crashesOf(h.Evidence))
	})
}

func crashesOf(evidence []quarantine.Evidence) string {
	var out []string
	for _, e := range evidence {
		out = append(out, fmt.Sprintf("%s under %s of %s at %s", e.Runner, e.RequestID, e.Host, e.At.UTC().Format(time.RFC3339)))
	}
	return strings.Join(out, "; ")
}

func (t *Tool) release(ctx context.Context, s store.Store, text string) error {
	d, err := quarantine.ParseDigest(text)
	if err != nil {
		return &UsageError{err.Error()}
	}
	if err := quarantine.Release(ctx, s, d); err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.Out, "released %s: hosts let it run within a second\n", d)
	return err
}
