// Package operatorapi holds the wire types of the operators' calls, which every
// host answers (JSON over HTTP, Authorization: Bearer with an operator's token).
//
//	GET  /admin/v1/status
//	GET  /admin/v1/hosts
//	GET  /admin/v1/upstreams
//	GET  /admin/v1/config                        ConfigObject
//	PUT  /admin/v1/config?base=VERSION           the configuration -> ConfigWritten
//	GET  /admin/v1/config/status                 ConfigStatus
//	POST /admin/v1/config/check                  the configuration -> Checked
//	POST /admin/v1/policy/check                  a list of policies -> PolicyChecked
//	POST /admin/v1/policy/diff                   a list of policies -> PolicyDiffed
//	GET  /admin/v1/engines/{name}/order          state.Order
//	POST /admin/v1/engines/{name}/order          OrderRequest -> state.Order
//	GET  /admin/v1/why/request/{id}?host=NAME    Why
//	GET  /admin/v1/why/engine/{name}             Why
//	GET  /admin/v1/claims/{key}                  state.Claim
//	PUT  /admin/v1/log/level                     LogLevel
package operatorapi

import (
	"encoding/json"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Status is one host in short.
type Status struct {
	Host          state.HostID `json:"host"`
	FailureDomain string       `json:"failure_domain"`
	Ready         bool         `json:"ready"`
	// Isolated is true while the host hears neither the platform nor a peer.
	Isolated      bool   `json:"isolated"`
	Standing      string `json:"standing"`
	ConfigVersion uint64 `json:"config_version"`
	// InFlight counts requests being served, Answers those held for callers.
	InFlight int64 `json:"in_flight"`
	Answers  int   `json:"answers"`
	Hosts    int   `json:"hosts"`
	Runners  int   `json:"runners"`
	// TakingWork counts the runners that may be given new work.
	TakingWork int `json:"taking_work"`
	// PlatformCalls counts this host's calls since it started.
	PlatformCalls uint64 `json:"platform_calls"`
	// Problem is the last refused configuration's error; empty when there is none.
	Problem string `json:"problem,omitempty"`
}

// Host is one row of the hosts.
type Host struct {
	state.Member
	Live          bool   `json:"live"`
	ConfigVersion uint64 `json:"config_version"`
	AgeMillis     int64  `json:"age_ms"`
}

// Upstream is one row of the upstreams as this host sees them.
type Upstream struct {
	state.Upstream
	Target    state.Target     `json:"target"`
	Order     state.OrderState `json:"order"`
	Fence     uint64           `json:"fence"`
	Drained   bool             `json:"drained"`
	Leaving   bool             `json:"leaving"`
	Unhealthy bool             `json:"unhealthy"`
	// Breaker is closed, half-open or open.
	Breaker string `json:"breaker"`
	// BackoffMillis is how much longer it wants nothing of this host; 0 for no rest.
	BackoffMillis int64 `json:"rest_ms"`
	// InFlight is this host's, PeersInFlight the other hosts' requests there.
	InFlight             int64 `json:"in_flight"`
	PeersInFlight        int64 `json:"peers_in_flight"`
	PrefillBacklogTokens int64 `json:"prefill_backlog_tokens"`
	DecodeRunning        int64 `json:"decode_running"`
	// ReportAgeMillis is the age of the engine's last report; -1 without one.
	ReportAgeMillis int64 `json:"report_age_ms"`
}

// ConfigObject is the shared configuration with its version.
type ConfigObject struct {
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// ConfigWritten answers an accepted edit.
type ConfigWritten struct {
	Version uint64 `json:"version"`
}

// ConfigStatus tells which version is in force where.
type ConfigStatus struct {
	// Accepted is the highest version known here.
	Accepted uint64       `json:"accepted"`
	Hosts    []HostConfig `json:"hosts"`
	Problem  string       `json:"problem,omitempty"`
}

// HostConfig is the version in force at one host.
type HostConfig struct {
	Host          state.HostID `json:"host"`
	FailureDomain string       `json:"failure_domain"`
	Version       uint64       `json:"version"`
	AgeMillis     int64        `json:"age_ms"`
	// Answers is false when the host has not been heard for some seconds.
	Answers bool `json:"answers"`
}

// Checked answers a check of a configuration that isn't applied.
type Checked struct {
	OK      bool   `json:"ok"`
	Problem string `json:"problem,omitempty"`
}

// PolicyChecked tells how policies do on the requests that a host remembers.
type PolicyChecked struct {
	OK       bool        `json:"ok"`
	Records  int         `json:"records"`
	Policies []PolicyRow `json:"policies"`
	Failures []string    `json:"failures,omitempty"`
}

// PolicyRow is one policy's part of a check.
type PolicyRow struct {
	Name string `json:"name"`
	Hook string `json:"hook"`
	// Runs counts records it ran on, Opinions those it decided.
	Runs     int `json:"runs"`
	Opinions int `json:"opinions"`
	Failures int `json:"failures"`
}

// PolicyDiffed tells which remembered decisions would change.
type PolicyDiffed struct {
	Records int      `json:"records"`
	Changes []string `json:"changes"`
}

// Action is what an operator wants of an engine.
type Action string

// The actions.
const (
	ActionDrain   Action = "drain"
	ActionUndrain Action = "undrain"
	ActionRole    Action = "role"
	ActionLoad    Action = "load"
	ActionCallOff Action = "call-off"
)

// OrderRequest is an operator's wish for one engine. It takes the same path as
// the rebalancer's.
type OrderRequest struct {
	Action Action     `json:"action"`
	Role   state.Role `json:"role,omitempty"`
	Model  string     `json:"model,omitempty"`
	// Adapters replace the loaded ones in a load.
	Adapters []string `json:"adapters,omitempty"`
	Reason   string   `json:"reason,omitempty"`
}

// Why answers a question with plain sentences and the records behind them.
type Why struct {
	Subject   string           `json:"subject"`
	Sentences []string         `json:"sentences"`
	Decisions []state.Decision `json:"decisions"`
	// AskedHosts were asked, of which Silent did not answer.
	AskedHosts int       `json:"asked_hosts"`
	Silent     []string  `json:"silent,omitempty"`
	At         time.Time `json:"at"`
}

// LogLevel changes what is logged at run time.
type LogLevel struct {
	Level string `json:"level"`
}

// Problem is the body of every answer above 399.
type Problem struct {
	Error string `json:"error"`
	// Kind is a stable word for programs, for example "edit_conflict".
	Kind string `json:"kind"`
}
