package state

import "time"

// DecisionKind tells what was decided.
type DecisionKind string

// The kinds of decision that leave a record.
const (
	DecisionClassify DecisionKind = "classify"
	DecisionAdmit    DecisionKind = "admit"
	DecisionRoute    DecisionKind = "route"
	DecisionRetry    DecisionKind = "retry"
	DecisionClaim    DecisionKind = "claim"
	DecisionAnswer   DecisionKind = "answer"
	DecisionRole     DecisionKind = "role"
	DecisionOrder    DecisionKind = "order"
	DecisionPolicy   DecisionKind = "policy"
)

// Decision is one record of what was considered, known, chosen and why.
type Decision struct {
	At   time.Time    `json:"at" msgpack:"t"`
	Host string       `json:"host" msgpack:"h"`
	Kind DecisionKind `json:"kind" msgpack:"k"`
	// Subject is a request id or an engine name.
	Subject string `json:"subject" msgpack:"s"`
	// Chosen is the outcome in a word or a name.
	Chosen string `json:"chosen" msgpack:"c"`
	// Why is a plain sentence.
	Why string `json:"why" msgpack:"w"`
	// ConfigVersion in force when the decision was made.
	ConfigVersion uint64 `json:"config_version" msgpack:"v"`
	// Candidates are the options with their figures.
	Candidates []Candidate `json:"candidates,omitempty" msgpack:"o"`
}

// Candidate is one option that a decision weighed.
type Candidate struct {
	Name string `json:"name" msgpack:"n"`
	// PredictedFirstTokenMillis is the predicted time to the first token.
	PredictedFirstTokenMillis float64 `json:"predicted_first_token_ms" msgpack:"f"`
	// CachedTokens are prompt tokens thought to be in the engine's cache.
	CachedTokens int `json:"cached_tokens" msgpack:"c"`
	// KnowledgeAgeMillis is the age of the load report used.
	KnowledgeAgeMillis int64 `json:"knowledge_age_ms" msgpack:"a"`
	// Rejected names the filter that removed the candidate; empty if kept.
	Rejected string `json:"rejected,omitempty" msgpack:"r"`
}
