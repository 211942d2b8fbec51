package routed

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/auth"
)

// buildKeys creates the checker that maps a caller's key to its customer.
func (h *Host) buildKeys() error {
	var err error
	h.keys, err = auth.New(auth.Options{
		Clock: h.clock, Log: h.log, Table: h.config.Table, ProvenAt: h.configProvenAt, Prove: h.proveConfig, Observer: h.metrics,
		Strict: h.settings.Bounds.Revoke > 0, RevokeWithin: h.settings.Bounds.Revoke, InForceWithin: cmp.Or(h.settings.Bounds.ConfigInForce, defaultConfigBound),
	})
	return err
}

// errStoreUnavailable is returned instead of calling an unavailable store: the hosts that follow
// the store already poll it.
var errStoreUnavailable = errors.New("the store is unavailable to this host and its relays, which poll it until it answers")

// proveConfig checks with the store that the configuration is the newest. It returns
// errStoreUnavailable if the store doesn't answer: the hosts that follow the store retry each
// second, and a retry of every host would add one call per host.
func (h *Host) proveConfig(ctx context.Context) error {
	if h.configMirror.Lost() {
		return errStoreUnavailable
	}
	return h.configMirror.Prove(ctx)
}

// configProvenAt returns the last time at which the configuration in force was known to be the
// newest, or the zero time if the newest one can't be decoded.
func (h *Host) configProvenAt() time.Time {
	proven := h.configMirror.ProvenAt()
	if h.config.Unreadable() {
		return time.Time{}
	}
	return proven
}

// proofWatchWait returns how long a watch for configurations waits. If revocations are strict, keys
// are accepted only while the last answered watch is younger than a bound: a fifth of that bound
// tolerates the loss of two relays in a row.
func (h *Host) proofWatchWait() time.Duration {
	if h.settings.Bounds.Revoke <= 0 {
		return h.delays().WatchWait
	}
	return min(h.delays().WatchWait, h.settings.Bounds.Revoke/5)
}
