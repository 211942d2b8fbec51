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
		Clock: h.clock, Log: h.log, Table: h.config.Table, ProvenAt: h.configProvenAt, Prove: h.proveConfig, Observer: h.metrics,
		Strict: h.settings.Bounds.Revoke > 0, RevokeWithin: h.settings.Bounds.Revoke, InForceWithin: cmp.Or(h.settings.Bounds.ConfigInForce, defaultConfigInForce),
	})
	return err
}

// errStoreUnavailable says that the store isn't asked, since others ask it already.
var errStoreUnavailable = errors.New("the store is lost to this host and its relays, which ask it until it answers")

// proveConfig asks the store for a newer configuration, but for one that doesn't answer: whoever
// follows it asks it again each second, and that each host does so too would cost a call each.
func (h *Host) proveConfig(ctx context.Context) error {
	if h.configMirror.Lost() {
		return errStoreUnavailable
	}
	return h.configMirror.Prove(ctx)
}

// configProvenAt is when the configuration in force was known to be the newest.
func (h *Host) configProvenAt() time.Time {
	proven := h.configMirror.ProvenAt()
	if h.config.Unreadable() {
		return time.Time{}
	}
	return proven
}

// proofWatchWait is how long a watch for configurations waits. Where revocations are strict the
// age of the last answered question bounds which keys may be served: a fifth of that bound
// leaves room for two relays in a row that are lost.
func (h *Host) proofWatchWait() time.Duration {
	if h.settings.Bounds.Revoke <= 0 {
		return h.boundedWatchWait()
	}
	return min(h.boundedWatchWait(), h.settings.Bounds.Revoke/5)
}
