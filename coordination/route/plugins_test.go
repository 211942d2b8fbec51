package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// openBreakers contains the upstreams whose breakers are open.
type openBreakers map[string]bool

func (b openBreakers) Ready(upstream string) bool { return !b[upstream] }

func TestFilters(t *testing.T) {
	type filter interface {
		Name() string
		Keep(*snapshot.Runner, *Query) bool
	}
	engine := func(change func(*snapshot.Runner)) *snapshot.Runner {
		r := &snapshot.Runner{Upstream: state.Upstream{Name: "e1"}, Target: state.Target{Role: state.RoleMixed, Model: "m@2", Adapters: []string{"verdict"}}}
		change(r)
		return r
	}
	unchanged := func(*snapshot.Runner) {}
	role := func(role state.Role) func(*snapshot.Runner) {
		return func(r *snapshot.Runner) { r.Target.Role = role }
	}
	tests := []struct {
		name   string
		filter filter
		runner *snapshot.Runner
		query  Query
		keep   bool
	}{
		{"takes work", takesWork{}, engine(unchanged), Query{}, true},
		{"leaving", takesWork{}, engine(func(r *snapshot.Runner) { r.Leaving = true }), Query{}, false},
		{"unhealthy", takesWork{}, engine(func(r *snapshot.Runner) { r.Unhealthy = true }), Query{}, false},
		{"draining", takesWork{}, engine(func(r *snapshot.Runner) { r.Order.State = state.OrderDraining }), Query{}, false},
		{"mixed serves whole", servesPart{}, engine(unchanged), Query{Part: PartWhole}, true},
		{"mixed serves decode", servesPart{}, engine(unchanged), Query{Part: PartDecode}, true},
		{"prefill doesn't serve whole", servesPart{}, engine(role(state.RolePrefill)), Query{Part: PartWhole}, false},
		{"prefill serves prefill", servesPart{}, engine(role(state.RolePrefill)), Query{Part: PartPrefill}, true},
		{"decode doesn't serve prefill", servesPart{}, engine(role(state.RoleDecode)), Query{Part: PartPrefill}, false},
		{"unknown role serves whole", servesPart{}, engine(role("")), Query{Part: PartWhole}, true},
		{"no model asked for", hasModel{}, engine(unchanged), Query{}, true},
		{"no version asked for", hasModel{}, engine(unchanged), Query{Model: "m"}, true},
		{"loaded version", hasModel{}, engine(unchanged), Query{Model: "m@2"}, true},
		{"another version", hasModel{}, engine(unchanged), Query{Model: "m@1"}, false},
		{"loaded model with a longer name", hasModel{}, engine(func(r *snapshot.Runner) { r.Target.Model = "mx" }), Query{Model: "m"}, false},
		{"adapter", hasModel{}, engine(unchanged), Query{Model: "verdict"}, true},
		{"loaded model unknown", hasModel{}, engine(func(r *snapshot.Runner) { r.Target = state.Target{} }), Query{Model: "x"}, true},
		{"excluded", notExcluded{}, engine(unchanged), Query{Exclude: []string{"e0", "e1"}}, false},
		{"another runner excluded", notExcluded{}, engine(unchanged), Query{Exclude: []string{"e0"}}, true},
		{"open breaker", breakerReady{openBreakers{"e1": true}}, engine(unchanged), Query{}, false},
		{"no breakers", breakerReady{}, engine(unchanged), Query{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.filter.Name()+"/"+tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.filter.Keep(tt.runner, &tt.query), tt.keep)
		})
	}
}

// candidate returns an engine of the given role with the given estimated load.
func candidate(role state.Role, backlog, inFlight float64) Candidate {
	speeds := Speeds{PrefillTokensPerSecond: 1000, StepSeconds: 0.01, StepSecondsPerSequence: 0.001, MaxBatch: 10, ChunkTokens: 100, TransferTokensPerSecond: 1e4}
	return Candidate{
		Runner:        &snapshot.Runner{Upstream: state.Upstream{FailureDomain: "here"}, Target: state.Target{Role: role}},
		BacklogTokens: backlog, InFlight: inFlight, speeds: &speeds, intervalBias: 1, stats: newRunnerStats("e", speeds),
	}
}

// scoreOf returns the score of a single candidate.
func scoreOf(s Scorer, q Query, c Candidate) float64 {
	cs := []Candidate{c}
	s.Score(&q, cs)
	return cs[0].Score
}

func TestPredictedTime(t *testing.T) {
	expectNear := func(t *testing.T, got, want float64) {
		t.Helper()
		if got < want-1e-6 || got > want+1e-6 {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	tests := []struct {
		name string
		c    Candidate
		q    Query
		want float64
	}{
		{"an idle engine prefills and decodes", candidate(state.RoleMixed, 0, 0), Query{PromptTokens: 500, ExpectedOutput: 11}, 0.5 + 0.01 + 10*0.01},
		{"the backlog precedes the prompt", candidate(state.RolePrefill, 1000, 0), Query{Part: PartPrefill, PromptTokens: 500}, 1.5 + 0.01},
		{"a mixed engine decodes between the chunks", candidate(state.RoleMixed, 0, 1), Query{Part: PartPrefill, PromptTokens: 500}, 0.5 + 5*0.01 + 0.011},
		{"decode starts after the KV cache transfer", candidate(state.RoleDecode, 0, 0), Query{Part: PartDecode, PromptTokens: 500, ExpectedOutput: 11}, 0.05 + 0.01 + 10*0.01},
		{"waiting prompts are computed between decode steps", candidate(state.RoleMixed, 300, 0), Query{Part: PartDecode, PromptTokens: 500, ExpectedOutput: 11}, 0.05 + 0.01 + 10*0.01 + 0.3},
		{"a request waits for room in a full batch", candidate(state.RoleDecode, 0, 10), Query{Part: PartDecode, ExpectedOutput: 11}, 0.019 + 0.1*11*0.019 + 10*0.019},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { expectNear(t, scoreOf(predictedTime{}, tt.q, tt.c), tt.want) })
	}
}

func TestCachedPrefixIsCreditedWithinTheLoadBound(t *testing.T) {
	is := is.New(t)
	q := Query{PromptTokens: 100, Prefixes: make([]uint64, 8), BlockTokens: 12}
	cs := []Candidate{candidate(state.RoleMixed, 0, 0), candidate(state.RoleMixed, 0, 0), candidate(state.RoleMixed, 5000, 0)}
	cs[0].CachedTokens = 80
	cs[1].hasAffinity = true
	cs[2].CachedTokens = 90
	cachedPrefix{1.5}.Score(&q, cs)
	is.Equal(cs[0].creditedTokens, 80.0)
	is.Equal(cs[1].creditedTokens, affinityCredit*48) // the affinity prefix is 4 of the 8 blocks of 12 tokens
	is.Equal(cs[2].creditedTokens, 0.0)               // its backlog exceeds 1.5 times the mean plus the prompt
	is.Equal(cs[2].CachedTokens, 0)
}

func TestDelayToOthersIsScored(t *testing.T) {
	is := is.New(t)
	whole := Query{PromptTokens: 1000, ExpectedOutput: 100}
	is.Equal(scoreOf(delayToOthers{1}, whole, candidate(state.RoleMixed, 0, 0)), 0.0)
	is.Equal(scoreOf(delayToOthers{0.5}, whole, candidate(state.RoleMixed, 0, 4)), 0.5*(4*1+4*0.001*100))
	prefill := Query{Part: PartPrefill, PromptTokens: 1000}
	is.Equal(scoreOf(delayToOthers{1}, prefill, candidate(state.RolePrefill, 0, 4)), 0.0)
}

func TestNearDomain(t *testing.T) {
	is := is.New(t)
	s := nearDomain{3 * time.Millisecond}
	is.Equal(scoreOf(s, Query{FailureDomain: "here"}, candidate(state.RoleMixed, 0, 0)), 0.0)
	is.Equal(scoreOf(s, Query{FailureDomain: "there"}, candidate(state.RoleMixed, 0, 0)), 0.003)
	is.Equal(scoreOf(s, Query{}, candidate(state.RoleMixed, 0, 0)), 0.0)
}

func TestLeastInFlight(t *testing.T) {
	is := is.New(t)
	busy := scoreOf(leastInFlight{}, Query{}, candidate("", 0, 3))
	idle := scoreOf(leastInFlight{}, Query{}, candidate("", 0, 0))
	is.Equal(busy, 4*idle)
}
