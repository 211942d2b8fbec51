package state

import "time"

// Role is the part of a model request that an engine serves.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Valid reports whether r is a known role.
func (r Role) Valid() bool {
	return r == RoleMixed || r == RolePrefill || r == RoleDecode
}

// UpstreamKind tells model engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Upstream is one runner of a service: where it is and what it is.
type Upstream struct {
	Name          string       `json:"name" msgpack:"n"`
	Service       string       `json:"service" msgpack:"s"`
	Kind          UpstreamKind `json:"kind" msgpack:"k"`
	Addr          string       `json:"addr" msgpack:"a"`
	FailureDomain string       `json:"failure_domain" msgpack:"p"`
	// Incarnation tells runs of the same name apart.
	Incarnation string `json:"incarnation,omitempty" msgpack:"i"`
	// ChecksFence tells whether an engine refuses orders with an old fence.
	ChecksFence bool `json:"checks_fence,omitempty" msgpack:"f"`
}

// Target is what an engine is ordered to be.
type Target struct {
	Role Role `json:"role" msgpack:"r"`
	// Model is the model loaded, with its version ("name@version" or "name").
	Model string `json:"model" msgpack:"m"`
	// Adapters are the names of the loaded adapters, sorted.
	Adapters []string `json:"adapters,omitempty" msgpack:"a"`
}

// Equal reports whether both targets ask for the same.
func (t Target) Equal(o Target) bool {
	if t.Role != o.Role || t.Model != o.Model || len(t.Adapters) != len(o.Adapters) {
		return false
	}
	for i, a := range t.Adapters {
		if o.Adapters[i] != a {
			return false
		}
	}
	return true
}

// LoadReport is an engine's own, lagging account of its load. It is a sample
// with an age, not the truth.
type LoadReport struct {
	Engine string `json:"engine" msgpack:"e"`
	// Incarnation of the engine that reports.
	Incarnation string `json:"incarnation" msgpack:"i"`
	// TakenAt is when the engine sampled its load.
	TakenAt time.Time `json:"taken_at" msgpack:"t"`
	// Shown is what the engine is at that moment.
	Shown Target `json:"shown" msgpack:"s"`
	// Fence is the highest fence the engine has accepted.
	Fence uint64 `json:"fence" msgpack:"f"`
	// Changing is true while an order is being carried out.
	Changing bool `json:"changing" msgpack:"c"`
	// PrefillBacklogTokens are prompt tokens accepted and not yet computed.
	PrefillBacklogTokens int64 `json:"prefill_backlog_tokens" msgpack:"p"`
	// DecodeRunning is the number of sequences in the decode batch.
	DecodeRunning int64 `json:"decode_running" msgpack:"d"`
	// DecodeBacklogTokens are output tokens expected and not yet produced.
	DecodeBacklogTokens int64 `json:"decode_backlog_tokens" msgpack:"b"`
	// PrefillTokensPerSecond and DecodeStepMillis are the measured speeds.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second" msgpack:"v"`
	DecodeStepMillis       float64 `json:"decode_step_ms" msgpack:"m"`
}
