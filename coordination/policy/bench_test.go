package policy

import (
	"fmt"
	"strings"
	"testing"

	"github.com/thymerack/thymerack/coordination/route"
	"github.com/thymerack/thymerack/state"
)

func BenchmarkClassify(b *testing.B) {
	s := compile(b, nil, policies(state.HookClassify, `prompt_tokens > 4000 and max_tokens <= 200 ? "rota" : ""`))
	b.ReportAllocs()
	for b.Loop() {
		s.Classify(longCheck)
	}
}

func BenchmarkAdmit(b *testing.B) {
	s := compile(b, nil, policies(state.HookAdmit, `class == "rota" and 300 <= minute_of_day < 420 ? "send rota checks after 7:00" : ""`))
	b.ReportAllocs()
	for b.Loop() {
		s.Admit(longCheck)
	}
}

func BenchmarkPin(b *testing.B) {
	s := compile(b, nil, policies(state.HookPin, `300 <= minute_of_day < 450 ? "spare" : ""`))
	e := EngineInput{Name: "engine-1", MinuteOfDay: 320}
	b.ReportAllocs()
	for b.Loop() {
		s.Pin(e)
	}
}

func BenchmarkScore(b *testing.B) {
	sources := map[string]string{
		"constant":       `0`,
		"failure_domain": `candidate.failure_domain == failure_domain ? 0 : 0.5`,
		"cost":           `candidate.failure_domain == failure_domain ? 0 : candidate.cached_tokens * 0.0001 + 0.05`,
	}
	for _, name := range []string{"constant", "failure_domain", "cost"} {
		for _, n := range []int{2, 12, 16} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) { benchmarkScore(b, sources[name], n) })
		}
	}
	b.Run("largest/16", func(b *testing.B) {
		benchmarkScore(b, strings.Repeat("candidate.in_flight + ", MaxNodes/3)+"1", 16)
	})
}

func benchmarkScore(b *testing.B, source string, n int) {
	var h Holder
	h.Store(compile(b, nil, policies(state.HookScore, source)))
	scorer := NewScorer(&h)
	q := &route.Query{Service: "llm", FailureDomain: "nord", PromptTokens: 9000}
	cs := routed(n)
	b.ReportAllocs()
	for b.Loop() {
		scorer.Score(q, cs)
	}
}

func BenchmarkNoPolicy(b *testing.B) {
	var h Holder
	scorer := NewScorer(&h)
	cs := routed(16)
	b.ReportAllocs()
	for b.Loop() {
		h.Load().Classify(longCheck)
		h.Load().Admit(longCheck)
		scorer.Score(&route.Query{}, cs)
	}
}

func BenchmarkCompile(b *testing.B) {
	ps := policies(state.HookClassify, `prompt_tokens > 4000 and max_tokens <= 200 ? "rota" : ""`)
	b.ReportAllocs()
	for b.Loop() {
		compile(b, nil, ps)
	}
}
