// Package routed wires and runs one host: it serves the configured routes of the users'
// platform, follows the platform's store and calls the other hosts of the fleet.
package routed

import (
	"errors"
	"log/slog"
	"time"

	"github.com/thymerack/thymerack/platform"
)

// Options configures a Host from its command line and its settings file.
type Options struct {
	Settings platform.Settings
	Log      *slog.Logger
	// MetricsPort is the port of the metrics endpoint on the host's address; 0 disables it.
	MetricsPort int
	// PrefillShare is the initial share of a service's engines that run prefill, between 0 and 1
	// exclusive.
	PrefillShare float64
	// RequiredRunnerShare is the number of runners that the load requires, as a share of those that
	// the deployment starts with. It is used only if the host scales runners.
	RequiredRunnerShare float64
	// FirstTrafficDelay is how long after the first start of a deployment no requests arrive; 0 if
	// they may arrive at once.
	FirstTrafficDelay time.Duration
	// SplitTokens is the prompt size, in tokens, from which prefill runs at a separate prefill
	// engine.
	SplitTokens int
	// LogLinesDropped returns the number of log lines that were dropped.
	LogLinesDropped func() uint64
}

func (o Options) validate() error {
	if o.Log == nil || o.LogLinesDropped == nil {
		return errors.New("routed: Options.Log or LogLinesDropped is nil; pass both")
	}
	if o.PrefillShare <= 0 || o.PrefillShare >= 1 {
		return errors.New("routed: PrefillShare is outside 0 to 1; use the share of prefill in the work, for example 0.7")
	}
	if o.RequiredRunnerShare <= 0 {
		return errors.New("routed: RequiredRunnerShare isn't positive; use the share of the present runners that carries the load, for example 1")
	}
	return nil
}

const (
	// storeTimeout bounds an ordinary call to the store, which usually answers in 4 ms
	// and at times takes 60 times as long.
	storeTimeout = 1500 * time.Millisecond
	// listTimeout bounds the call for one page of a list. When 300 hosts start at once, the
	// pages saturate the store's link for some seconds; a shorter timeout made the hosts
	// repeat the calls over and over (the sweep in docs/CAPACITY.md).
	listTimeout = 8 * time.Second
	// watchWait is how long a watch waits at the store; the platform allows 30 s.
	watchWait = 20 * time.Second
	// defaultConfigBound is the time within which a new key must be accepted if the settings
	// give no bound: the shortest bound of all known deployments.
	defaultConfigBound = 2 * time.Second
	// storeUserTimeout and the store's keepalive settings detect, while a watch waits, that the
	// store is unreachable: 3 s after the last packet from it. The kernel counts keepalives in
	// whole seconds. After a partition that isn't detected, the watch receives its changes only
	// with the store's next retransmission: up to 1.6 s after a partition of 3 s and 3.2 s after
	// one of 4 s, while the bounds on configuration apply again 3 s after any partition.
	storeUserTimeout    = 2500 * time.Millisecond
	storeKeepAlive      = time.Second
	storeKeepAliveCount = 2
	storeMaxConns       = 8
	storeMaxIdle        = 20 * time.Second
	storeMaxHeaderBytes = 4 << 10
	// The coalescing delays make changes in quick succession cost one call.
	configCoalesceDelay = 800 * time.Millisecond
	hostsCoalesceDelay  = time.Second
	holdsCoalesceDelay  = time.Second
	// storeRecoveryTime is how long after the store recovers entries may be missing that are
	// written again: "about two seconds" by the platform's documentation.
	storeRecoveryTime = 2100 * time.Millisecond
	// missedHeartbeats is the number of missed heartbeats after which the store drops a runner's
	// entry. defaultHeartbeatInterval is used if the settings give no interval. heartbeatSlack
	// allows for the interval of the store's checks and for the latency of its answer.
	missedHeartbeats         = 3
	defaultHeartbeatInterval = 1200 * time.Millisecond
	heartbeatSlack           = time.Second
	// leaseTTL is how long the lease of the duties is valid without a renewal. frequentPollers
	// hosts poll it every frequentPollInterval and all others every infrequentPollInterval, so
	// that the number of calls doesn't grow with the fleet. After the loss of a holder its
	// successor may act within eight seconds: a usage report is due ten seconds after the end
	// of its window.
	leaseTTL               = 6 * time.Second
	frequentPollers        = 3
	frequentPollInterval   = time.Second
	infrequentPollInterval = 30 * time.Second
	// dutyCallTimeout bounds a call under the lease. It is 20 times the response time of a healthy
	// platform and 5 times that of a slow one.
	dutyCallTimeout = time.Second
	// dutyMaxConns suffices for one concurrent call of each duty.
	dutyMaxConns = 4
	// peerDialTimeout bounds connecting to a peer, which takes two round trips between failure
	// domains (2.8 ms). peerSilenceTimeout is how long a connection may be without incoming data
	// before it counts as broken; three pings fall into it.
	peerDialTimeout    = time.Second
	peerSilenceTimeout = 6 * time.Second
	// joinReadInterval gives hosts that start together time to register. A stale copy of the
	// list may lag by some seconds, so it is read up to maxJoinReads times.
	joinReadInterval = 1500 * time.Millisecond
	maxJoinReads     = 3
	// registerInterval is the interval at which a host writes its entry while it isn't listed.
	registerInterval = time.Second
	// retryShare is the share of the retries which the requests of this host allow that it uses.
	retryShare = 0.8
	// moveShare is the share of the allowed retries that moves may use; a move continues a running
	// request at another runner. Retries wait for slots at runners, so more of them may arrive in
	// a window than were allowed in it: a third more in an overload.
	moveShare = 0.6
	// defaultMaxConns is the number of connections that a runner is assumed to accept if the
	// configuration names none: fewer than any known runner does.
	defaultMaxConns = 100
	// balancerRemovalDelay is the time after which the load balancer no longer sends connections
	// to a leaving host, after two failed readiness checks one second apart: callers whose
	// connections are closed then reconnect to other hosts. minUnreadyTime is the minimum time
	// that a leaving host keeps serving.
	balancerRemovalDelay = 2100 * time.Millisecond
	minUnreadyTime       = 2500 * time.Millisecond
	// graceMargin is the time before the end of the grace period at which a leaving host ends,
	// so that it isn't killed.
	graceMargin       = 500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// memoryShare is the share of the machine's memory that is set as the Go runtime's memory
	// limit; the rest is for the runtime, stacks and socket buffers.
	memoryShare = 0.6
	// slowReaderShare is the share of the machine's memory that callers which read slowly may take
	// together, sockets included: 18 MB of the smallest host (144 MB) suffice for 100 of them.
	slowReaderShare = 1.0 / 8
	// heldShare is the share of the machine's memory that answers may take together before they are passed on, and
	// heldAnswerShare that of one answer: 2 MB of the smallest host.
	heldShare       = 1.0 / 16
	heldAnswerShare = 1.0 / 64
	// callersShare is the share of the machine's memory for callers' connections and the bodies of their requests. A
	// connection takes callerConnBytes: the buffers of the reader (maxHeaderBytes), of the beginning of a body (8 KiB) and of the
	// writer (4 KiB), and the stack. minBodiesShare is the share left for bodies however many connections there are.
	callersShare    = 1.0 / 2
	callerConnBytes = maxHeaderBytes + 28<<10
	minBodiesShare  = 1.0 / 8
	// bodyWait is the longest wait of a request for memory for its body.
	bodyWait = time.Second
	// reservedFDs is the number of file descriptors that are reserved for files and for connections
	// to runners, the store and peers.
	reservedFDs = 1200
	// maxHeaderBytes and maxBodyBytes bound the data read of a request before the limits of the
	// configuration are checked. The platform's example configures 16 KiB and 4 MiB.
	maxHeaderBytes = 20 << 10
	maxBodyBytes   = 8 << 20
)
