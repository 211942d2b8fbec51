package policy

import "time"

// RequestInput is what classify and admit policies see of a request.
type RequestInput struct {
	// Customer is the name of the caller's customer.
	Customer string `expr:"customer" json:"customer"`
	// Class is the class so far: the one that the caller asked for, else the
	// customer's. An admit policy sees the class after the classify policies.
	Class string `expr:"class" json:"class"`
	// Service is the name of the service that is called.
	Service string `expr:"service" json:"service"`
	// Model is the model or adapter asked for; empty for plain services.
	Model string `expr:"model" json:"model,omitempty"`
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int `expr:"prompt_tokens" json:"prompt_tokens"`
	// MaxTokens is the longest answer that the caller accepts, in tokens.
	MaxTokens int `expr:"max_tokens" json:"max_tokens"`
	// MinuteOfDay is 0 to 1439, in the time zone that the owner of the Set uses.
	MinuteOfDay int `expr:"minute_of_day" json:"minute_of_day"`
	// Weekday is 0 (Sunday) to 6, in the same time zone.
	Weekday int `expr:"weekday" json:"weekday"`
}

// ScoreInput is what score policies see of one choice of a runner. All counts
// are floating-point numbers, so that a program can mix them freely.
type ScoreInput struct {
	// Service is the name of the service that is called.
	Service string `expr:"service" json:"service"`
	// Model is the model or adapter asked for; empty for plain services.
	Model string `expr:"model" json:"model,omitempty"`
	// Part is whole, prefill or decode.
	Part string `expr:"part" json:"part"`
	// FailureDomain is the failure domain of the host that chooses.
	FailureDomain string `expr:"failure_domain" json:"failure_domain"`
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens float64 `expr:"prompt_tokens" json:"prompt_tokens"`
	// ExpectedOutputTokens is the predicted length of the answer in tokens.
	ExpectedOutputTokens float64 `expr:"expected_output_tokens" json:"expected_output_tokens"`
	// Candidates are the runners left by the filters.
	Candidates []Candidate `expr:"-" json:"candidates"`
}

// Candidate is one runner that a score policy gives its opinion on.
type Candidate struct {
	// Name is the runner's name.
	Name string `expr:"name" json:"name"`
	// FailureDomain is the runner's failure domain.
	FailureDomain string `expr:"failure_domain" json:"failure_domain"`
	// Role is mixed, prefill or decode; empty when unknown and for plain services.
	Role string `expr:"role" json:"role,omitempty"`
	// Model is the loaded model as "name@version" or "name"; empty when unknown.
	Model string `expr:"model" json:"model,omitempty"`
	// Adapters are the names of the loaded adapters.
	Adapters []string `expr:"adapters" json:"adapters,omitempty"`
	// CachedTokens are prompt tokens thought to be in the runner's cache.
	CachedTokens float64 `expr:"cached_tokens" json:"cached_tokens"`
	// BacklogTokens is the estimated prefill work that waits there, in tokens.
	BacklogTokens float64 `expr:"backlog_tokens" json:"backlog_tokens"`
	// InFlight is the estimated number of requests there.
	InFlight float64 `expr:"in_flight" json:"in_flight"`
	// FirstTokenSeconds is the predicted time to the first token, from now.
	FirstTokenSeconds float64 `expr:"first_token_seconds" json:"first_token_seconds"`
	// FinishSeconds is the predicted time to the whole answer, from now.
	FinishSeconds float64 `expr:"finish_seconds" json:"finish_seconds"`
	// ScoreSeconds is the score before any policy; the lowest is chosen.
	ScoreSeconds float64 `expr:"score_seconds" json:"score_seconds"`
}

// EngineInput is what pin policies see of an engine.
type EngineInput struct {
	// Name is the engine's name.
	Name string `expr:"name" json:"name"`
	// Service is the service that the engine belongs to.
	Service string `expr:"service" json:"service"`
	// FailureDomain is the engine's failure domain.
	FailureDomain string `expr:"failure_domain" json:"failure_domain"`
	// Role is the present role: mixed, prefill or decode; empty when unknown.
	Role string `expr:"role" json:"role,omitempty"`
	// Model is the loaded model as "name@version" or "name"; empty when unknown.
	Model string `expr:"model" json:"model,omitempty"`
	// Adapters are the names of the loaded adapters.
	Adapters []string `expr:"adapters" json:"adapters,omitempty"`
	// MinuteOfDay is 0 to 1439, in the time zone that the owner of the Set uses.
	MinuteOfDay int `expr:"minute_of_day" json:"minute_of_day"`
	// Weekday is 0 (Sunday) to 6, in the same time zone.
	Weekday int `expr:"weekday" json:"weekday"`
}

// MinuteOfDay returns the minute of t's day, 0 to 1439, in t's time zone.
func MinuteOfDay(t time.Time) int { return t.Hour()*60 + t.Minute() }

// scoreEnv is the environment of a score program: the choice, the candidate in
// question and how it stands among the others.
type scoreEnv struct {
	ScoreInput
	Candidate *Candidate `expr:"candidate"`
	// CandidateCount is the number of candidates of the choice.
	CandidateCount float64 `expr:"candidate_count"`
	// MinScoreSeconds is the lowest score before any policy.
	MinScoreSeconds float64 `expr:"min_score_seconds"`
	// MeanBacklogTokens is the mean of the candidates' backlogs.
	MeanBacklogTokens float64 `expr:"mean_backlog_tokens"`
}

// summarize fills in how the candidates stand together. There must be one.
func (e *scoreEnv) summarize() {
	n := float64(len(e.Candidates))
	e.CandidateCount = n
	e.MinScoreSeconds = e.Candidates[0].ScoreSeconds
	backlog := 0.0
	for i := range e.Candidates {
		c := &e.Candidates[i]
		e.MinScoreSeconds = min(e.MinScoreSeconds, c.ScoreSeconds)
		backlog += c.BacklogTokens
	}
	e.MeanBacklogTokens = backlog / n
}
