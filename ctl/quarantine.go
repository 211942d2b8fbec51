package ctl

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/transport/httpclient"
	ownplatform "github.com/thymerack/thymerack/transport/platform"
)

// QuarantineCommand names the platform's store, where the quarantine is kept.
type QuarantineCommand struct {
	Store   string                    `arg:"--store,env:THYMECTL_STORE" help:"ip:port of the platform's store, as in the hosts' settings"`
	Users   bool                      `arg:"--users" help:"the store is that of the users' platform (thymerackd --platform)"`
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

const (
	// storeTimeout bounds one call to the store by hand, storeConns its connections.
	storeTimeout = 10 * time.Second
	storeConns   = 2
	// storeHeaderBytes bounds the head of an answer.
	storeHeaderBytes = 4 << 10
)

// quarantine lists or releases requests at the platform's store. It asks no host.
func (t *Tool) quarantine(ctx context.Context, c *QuarantineCommand) error {
	if c.Store == "" {
		return &UsageError{"the quarantine is kept at the platform's store; name its ip:port with --store or THYMECTL_STORE"}
	}
	s, err := openStore(c)
	if err != nil {
		return &UsageError{err.Error()}
	}
	switch {
	case c.List != nil:
		err = t.listHeld(ctx, s)
	case c.Release != nil:
		err = t.release(ctx, s, c.Release.Digest)
	default:
		return errNoCommand
	}
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		return &StoreUnreachableError{Addr: c.Store, Cause: err}
	}
	return err
}

// openStore returns the store that the command line names; no connection is made yet.
func openStore(c *QuarantineCommand) (store.Store, error) {
	if !c.Users {
		return ownplatform.New(ownplatform.Options{Addr: c.Store, Caller: "thymectl", Timeout: storeTimeout, ReadAttempts: 1})
	}
	client, err := httpclient.New(httpclient.Options{
		Addr: c.Store, DialTimeout: storeTimeout, WriteTimeout: storeTimeout, UserTimeout: storeTimeout, KeepAlive: storeTimeout,
		MaxConns: storeConns, MaxIdle: storeTimeout, MaxHeaderBytes: storeHeaderBytes,
	})
	if err != nil {
		return nil, err
	}
	return platform.NewStore(platform.StoreOptions{Client: client, Host: c.Store, Timeout: storeTimeout, ListTimeout: storeTimeout, WatchWait: storeTimeout}), nil
}

// StoreUnreachableError says that the platform's store gave no answer.
type StoreUnreachableError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *StoreUnreachableError) Error() string {
	return fmt.Sprintf("the store at %s gave no answer (%v); check --store against the hosts' settings", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreUnreachableError) Unwrap() error { return e.Cause }

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
		return fmt.Sprintf("%s\t%s\t%d\t%s", h.Digest, state, h.Times, crashesOf(h.Evidence))
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
	if err := quarantine.Lift(ctx, s, d); err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.Out, "released %s: hosts let it run within a second\n", d)
	return err
}
