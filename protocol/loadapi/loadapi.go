// Package loadapi holds the wire types of `GET /load` on a host's metrics port: what the host knows
// of the load of engines, as JSON. Times are in milliseconds, and ages are those at the answer. A
// host that isn't ready answers 503 with an operatorapi.Problem.
package loadapi

import "github.com/thymerack/thymerack/state"

// Path is the path of the document.
const Path = "/load"

// Bounds of a document, in rows.
const (
	// MaxEngines bounds Owner.Engines, and MaxSpeeds bounds Notice.Speeds.
	MaxEngines = 100
	MaxSpeeds  = 64
	// MaxServices bounds the services of an owner and of a summary. MaxDomains bounds Fleet.Domains.
	MaxServices = 64
	MaxDomains  = 256
)

// Load is the document.
type Load struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	// Owner is what this host knows as the owner of engines' counts.
	Owner Owner `json:"owner"`
	// Notice is the last load notice; nil if none was received.
	Notice *Notice `json:"notice,omitempty"`
	// Fleet is the summary of all engines; nil except at the holder of the lease of the duties.
	Fleet *Fleet `json:"fleet,omitempty"`
	// Capacity has a row for each service whose number of runners follows the demand; empty except
	// at the holder of the lease of the duties.
	Capacity []Capacity `json:"capacity,omitempty"`
}

// Owner is the state of the engines whose counts one host owns.
type Owner struct {
	// EngineCount is the number of engines with a count, and Engines are the busiest of them.
	EngineCount int       `json:"engine_count"`
	Engines     []Engine  `json:"engines"`
	Services    []Service `json:"services"`
}

// Engine is the work of all hosts at one engine.
type Engine struct {
	Name          string     `json:"name"`
	Service       string     `json:"service"`
	FailureDomain string     `json:"failure_domain"`
	Role          state.Role `json:"role"`
	// Waiting is the number of waiting prompts by level of urgency, 0 first.
	Waiting []int `json:"waiting"`
	// UntilEmptyMillis is the predicted time until all admitted prompts are computed.
	UntilEmptyMillis int64 `json:"until_empty_ms"`
	// Speed is the lasting speed relative to the usual one: 2 is twice as fast. 0 is unknown.
	Speed float64 `json:"speed"`
	// SlowPeriod says that the engine is slower at present than its lasting speed.
	SlowPeriod bool `json:"slow_period"`
	// Decoding is the number of reservations for decodes.
	Decoding int `json:"decoding"`
}

// Service is the use of a service's engines by customers, at one owner.
type Service struct {
	Name string `json:"name"`
	// Waiting is the number of waiting prompts by level of urgency, 0 first.
	Waiting []int `json:"waiting"`
	// FairShare is the share of a customer, in engines; 0 if there is enough for all.
	FairShare float64 `json:"fair_share"`
	// Customers are those of the largest demand, in descending order.
	Customers []Customer `json:"customers"`
}

// Customer is the recent use of one customer. Demand and Granted are in engines that it keeps busy.
type Customer struct {
	// Name is the customer's name, or those of several customers with the same hash. It is empty if
	// the host's configuration has no customer of the hash.
	Name string `json:"name,omitempty"`
	// Hash is the hash of the name in hexadecimal digits; empty for prompts without a customer.
	Hash string `json:"hash,omitempty"`
	// Demand is that of all prompts, and Granted that of prompts that were not late or deferred.
	Demand  float64 `json:"demand"`
	Granted float64 `json:"granted"`
	// Ahead says that the customer is ahead of its share.
	Ahead bool `json:"ahead"`
}

// Notice is what the host received from the holder of the lease.
type Notice struct {
	AgeMillis int64  `json:"age_ms"`
	Term      uint64 `json:"term"`
	Number    uint64 `json:"number"`
	// Speeds are the engines whose speed isn't the usual one, those that deviate most first.
	Speeds []EngineSpeed `json:"speeds"`
	// LocalPrefixes lists the services whose prefixes are local to failure domains.
	LocalPrefixes []string `json:"local_prefixes"`
}

// EngineSpeed is the speed of an engine relative to the usual one.
type EngineSpeed struct {
	Engine string  `json:"engine"`
	Speed  float64 `json:"speed"`
}

// Fleet is the summary of the load of all engines.
type Fleet struct {
	AgeMillis int64 `json:"age_ms"`
	// Answered is the share of the owners that answered, 0 to 1.
	Answered   float64      `json:"answered"`
	Domains    []DomainLoad `json:"domains"`
	WorkingSet []WorkingSet `json:"working_set"`
}

// DomainLoad is the load of a service's engines in one failure domain.
type DomainLoad struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	// PrefillEngines is the number of listed engines that do prefill and accept work.
	PrefillEngines int `json:"prefill_engines"`
	// Prefill is the prefill work that arrived recently, in engines that it keeps busy. LatePrefill
	// is the part of it that was predicted to be late.
	Prefill     float64 `json:"prefill"`
	LatePrefill float64 `json:"late_prefill"`
	// Headroom is PrefillEngines less Prefill; below 0 the domain can't do its work.
	Headroom float64 `json:"headroom"`
	// ActiveEngines is the number of engines with work, of any role.
	ActiveEngines int `json:"active_engines"`
	// Decoding is the number of requests that decode, and DecodeTokens the memory reserved for them,
	// in tokens.
	Decoding     int `json:"decoding"`
	DecodeTokens int `json:"decode_tokens"`
}

// WorkingSet is the size of the shareable prompt parts in use of a service, in tokens.
type WorkingSet struct {
	Service  string `json:"service"`
	Tokens   int    `json:"tokens"`
	MeanPart int    `json:"mean_part"`
}

// Capacity is the required number of a service's runners and what it was computed from.
type Capacity struct {
	Service string `json:"service"`
	// Listed is the number of runners in the list, Required that of those that carry the load, and
	// Configured the upper bound of Required.
	Listed     int `json:"listed"`
	Required   int `json:"required"`
	Configured int `json:"configured"`
	// PrefillEngines and DecodeEngines are the numbers that the expected demand needs.
	PrefillEngines int `json:"prefill_engines"`
	DecodeEngines  int `json:"decode_engines"`
	// PeakPrefill (engines), PeakDecoding (requests) and PeakDecodeTokens are the highest values of
	// the last 30 s.
	PeakPrefill      float64 `json:"peak_prefill"`
	PeakDecoding     float64 `json:"peak_decoding"`
	PeakDecodeTokens float64 `json:"peak_decode_tokens"`
	// AgeMillis is the age of the last usable summary, -1 if there was none, and Answered the share
	// of the owners in it.
	AgeMillis int64   `json:"age_ms"`
	Answered  float64 `json:"answered"`
	// Unusable says why the demand decides nothing at present; empty if it does.
	Unusable string `json:"unusable,omitempty"`
	// LastChange is the reason of the last change of Required; empty if there was none.
	LastChange string `json:"last_change,omitempty"`
}
