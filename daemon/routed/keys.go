package routed

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/auth"
)

// buildKeys makes what knows whose key a caller shows.
func (h *Host) buildKeys() error {
	var err error
	h.keys, err = auth.New(auth.Options{
		Clock: h.clock, Log: h.log, Table: h.config.Table, ProvenAt: h.configProven, Prove: h.proveConfig, Observer: h.metrics,
		Strict: h.s.Bounds.Revoke > 0, RevokeWithin: h.s.Bounds.Revoke, InForceWithin: cmp.Or(h.s.Bounds.ConfigInForce, defaultInForce),
	})
	return err
}

// errStoreLost says that the store isn't asked, since others ask it already.
var errStoreLost = errors.New("the store is lost to this host and its relays, which ask it until it answers")

// proveConfig asks the store for a newer configuration, but for one that doesn't answer: whoever
// follows it asks it again each second, and that each host does so too would cost a call each.
func (h *Host) proveConfig(ctx context.Context) error {
	if h.configs.Lost() {
		return errStoreLost
	}
	return h.configs.Prove(ctx)
}

// configProven is when the configuration in force was known to be the newest.
func (h *Host) configProven() time.Time {
	proven := h.configs.ProvenAt()
	if h.config.Unreadable() {
		return time.Time{}
	}
	return proven
}

// proofWatchWait is how long a watch for configurations waits. Where revocations are strict the
// age of the last answered question bounds which keys may be served: a fifth of that bound
// leaves room for two relays in a row that are lost.
func (h *Host) proofWatchWait() time.Duration {
	if h.s.Bounds.Revoke <= 0 {
		return h.boundedWatchWait()
	}
	return min(h.boundedWatchWait(), h.s.Bounds.Revoke/5)
}
