// Package routed wires one host that serves the configured routes of the users'
// platform.
package routed

import (
	"errors"
	"log/slog"
	"time"

	"github.com/thymerack/thymerack/platform"
)

// Options are what a host needs from its command line and its platform.
type Options struct {
	Settings platform.Settings
	Log      *slog.Logger
	// MetricsPort serves metrics on the host's address; 0 serves none.
	MetricsPort int
	// PrefillShare is the share of a service's engines that read prompts.
	PrefillShare float64
	// RequiredRunnerShare is the number of runners that carry the load, as a share of those that the
	// deployment starts with; used where numbers of runners may be ordered.
	RequiredRunnerShare float64
	// FirstTrafficDelay is how long after the first start of a deployment no caller comes; 0 if
	// callers may come at once.
	FirstTrafficDelay time.Duration
	// SplitTokens is the prompt size from which a prompt is read at a prefill
	// engine of its own.
	SplitTokens int
	// LogLinesDropped is the number of log lines that were lost.
	LogLinesDropped func() uint64
}

func (o Options) validate() error {
	if o.Log == nil || o.LogLinesDropped == nil {
		return errors.New("routed: Options.Log or LinesDropped is nil; pass both")
	}
	if o.PrefillShare <= 0 || o.PrefillShare >= 1 {
		return errors.New("routed: PrefillShare is outside 0 to 1; use the share of prefill in the work, for example 0.7")
	}
	if o.RequiredRunnerShare <= 0 {
		return errors.New("routed: RunnerNeed isn't positive; use the share of the present runners that carries the load, for example 1")
	}
	return nil
}

const (
	// storeTimeout bounds an ordinary call to the store, which answers in 4 ms
	// and at times 60 times as slowly.
	storeTimeout = 1500 * time.Millisecond
	// listTimeout bounds a page of a list. When all of 300 hosts start at once, the
	// pages fill the store's link for some seconds; a shorter bound made them ask
	// again and again (the sweep in docs/CAPACITY.md).
	listTimeout = 8 * time.Second
	// watchWait is how long a watch waits at the store; the platform allows 30 s.
	watchWait = 20 * time.Second
	// minWatchWait is the shortest wait, and watchMargin what is left of the bounds for the
	// way to other hosts.
	minWatchWait = time.Second
	watchMargin  = 500 * time.Millisecond
	// defaultConfigInForce is how soon a new key is known where the service agreement doesn't say:
	// the shortest bound of the deployments so far.
	defaultConfigInForce = 2 * time.Second
	// storeUserTimeout and storeKeepAlive find a store that is cut off while a watch
	// waits there, 3 s after its last sign. The kernel counts keepalives in whole
	// seconds. Of a cut that isn't noticed the watch learns by the store's next
	// retransmission: up to 1.6 s after a cut of 3 s, 3.2 s after one of 4 s, while the
	// bounds on configuration apply to a host again 3 s after any.
	storeUserTimeout    = 2500 * time.Millisecond
	storeKeepAlive      = time.Second
	storeKeepAliveCount = 2
	storeMaxConns       = 8
	storeMaxIdle        = 20 * time.Second
	storeMaxHeaderBytes = 4 << 10
	// configCoalesceDelay and gatherInstances let changes in quick succession cost one
	// call; the shortest bound on either change is 2 s.
	configCoalesceDelay    = 800 * time.Millisecond
	instancesCoalesceDelay = time.Second
	hostsCoalesceDelay     = time.Second
	holdsCoalesceDelay     = time.Second
	// storeRecoveryTime is how long after the store's return entries of living runners
	// may be missing: "about two seconds", by the platform's pages. holdFor bounds
	// the trust in one while the store is still away: a leaving runner may be sent
	// to for 2 s, and a peer's word of it may be a moment old.
	storeRecoveryTime    = 2100 * time.Millisecond
	missingEntryHoldTime = 1800 * time.Millisecond
	// missedHeartbeats is how many heartbeats of a runner the store waits for before it drops its
	// entry, defaultHeartbeat is theirs where the settings don't say, and heartbeatSlack is for
	// the store's look and the way of its answer.
	missedHeartbeats = 3
	defaultHeartbeat = 1200 * time.Millisecond
	heartbeatSlack   = time.Second
	// leaseTTL is how long a holder of the duties' lease may be silent. lookers hosts
	// look every lookOften and all others every lookSeldom, so that the calls for it
	// don't grow with the fleet. A lost holder is replaced, and its successor's silence
	// over, within eight seconds: a report of usage is due ten seconds after its window.
	leaseTTL               = 6 * time.Second
	frequentPollers        = 3
	frequentPollInterval   = time.Second
	infrequentPollInterval = 30 * time.Second
	// dutyCallTimeout bounds a call under the lease: twenty answers of a sound platform, five
	// of one that is slow.
	dutyCallTimeout = time.Second
	// dutyMaxConns are enough for one call of each duty at a time.
	dutyMaxConns = 4
	// peerDialTimeout bounds the making of a connection to a peer, which takes two
	// round trips between failure domains (2.8 ms); peerSilence is how long nothing
	// may be heard on one before it counts as silent, with three pings in it.
	peerDialTimeout    = time.Second
	peerSilenceTimeout = 6 * time.Second
	// joinReadInterval lets hosts that start together list themselves first; a stale copy
	// of the list may lag behind by some seconds, so that it is read joinReads times.
	joinReadInterval = 1500 * time.Millisecond
	maxJoinReads     = 3
	// registerInterval is how often a host whose entry isn't listed writes it.
	registerInterval = time.Second
	// assumedHosts divides the shared limits until the list of hosts is read: above the
	// size of the largest deployment's fleet with its spares.
	assumedHosts = 400
	// limitShare keeps room below the shared limits for hosts not listed yet.
	limitShare = 0.8
	// moveShare is the part of the repeats up to which runs go on elsewhere. Repeats wait for
	// places, so that more arrive in some window than are allowed in it: in an overload a third
	// more.
	moveShare = 0.6
	// minConns is the least number of connections to a runner.
	minConns = 4
	// balancerRemovalDelay is when the balancer has turned away from a leaving host, after
	// two checks a second apart: callers whose connections are closed then come
	// back at other hosts. unreadyFor is how long it goes on before it may end.
	balancerRemovalDelay = 2100 * time.Millisecond
	minUnreadyTime       = 2500 * time.Millisecond
	// graceMargin ends a leaving host before it is killed.
	graceMargin = 500 * time.Millisecond
	drainPoll   = 50 * time.Millisecond
	// memoryShare of the machine's memory is the collector's limit; the rest is
	// for the runtime, stacks and socket buffers.
	memoryShare = 0.6
	// reservedFDs are kept for files, connections to runners, the store and peers.
	reservedFDs = 1200
	// maxHeaderBytes and maxBodyBytes bound what is read before the configuration's
	// own limits are looked at: those that the platform's example names are 16 KiB
	// and 4 MiB.
	maxHeaderBytes = 20 << 10
	maxBodyBytes   = 8 << 20
)
