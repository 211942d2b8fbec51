package policy

import (
	"errors"
	"math"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/coordination/route"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

var classes = []string{"rota", "question", "swap"}

// recorder is a Failures.
type recorder struct{ got []*RunError }

func (r *recorder) PolicyFailed(e *RunError) { r.got = append(r.got, e) }

// policies returns one policy of the hook for each source, named a, b, c...
func policies(h state.PolicyHook, sources ...string) []state.Policy {
	var out []state.Policy
	for i, s := range sources {
		out = append(out, state.Policy{Name: string(rune('a' + i)), Hook: h, Source: s})
	}
	return out
}

func compile(t testing.TB, f Failures, ps []state.Policy) *Set {
	t.Helper()
	s, err := Options{Classes: classes, Failures: f}.Compile(ps)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var longCheck = RequestInput{Customer: "depot-2", Class: "question", Service: "llm", PromptTokens: 9000, MaxTokens: 40, MinuteOfDay: 320}

func TestClassify(t *testing.T) {
	tests := []struct {
		name     string
		sources  []string
		want     Verdict
		failures int
	}{
		{"no policy", nil, Verdict{"question", ""}, 0},
		{"an opinion", []string{`prompt_tokens > 8000 ? "rota" : ""`}, Verdict{"rota", "a"}, 0},
		{"no opinion", []string{`prompt_tokens > 9000 ? "rota" : ""`}, Verdict{"question", ""}, 0},
		{"the first opinion decides", []string{`""`, `"swap"`, `"rota"`}, Verdict{"swap", "b"}, 0},
		{"a failure is no opinion", []string{`int(customer) > 1 ? "swap" : "rota"`, `"rota"`}, Verdict{"rota", "b"}, 1},
		{"division by zero", []string{`prompt_tokens % weekday == 0 ? "swap" : ""`}, Verdict{"question", ""}, 1},
		{"a class that isn't defined", []string{`lower("NIGHT")`}, Verdict{"question", ""}, 1},
		{"a text of texts", []string{`let half = "ro"; half + lower("T") + "a"`}, Verdict{"rota", "a"}, 0},
		{"a text too long", []string{"let a = customer + customer + customer + customer + customer; let b = a + a + a + a + a; b + b + b + b + b"}, Verdict{"question", ""}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var failed recorder
			s := compile(t, &failed, policies(state.HookClassify, tt.sources...))
			is.Equal(s.DecideClass(longCheck), tt.want)
			is.Equal(s.Classify(longCheck), tt.want.Value)
			is.Equal(len(failed.got), 2*tt.failures)
		})
	}
}

func TestAdmit(t *testing.T) {
	is := is.New(t)
	var failed recorder
	s := compile(t, &failed, policies(state.HookAdmit,
		`weekday / weekday > 0 or int(customer) > 1 ? "" : "never"`,
		`class == "question" and prompt_tokens > 4000 ? "questions have at most 4000 tokens, not " + string(prompt_tokens) : ""`))
	is.Equal(s.DecideAdmission(longCheck), Verdict{"questions have at most 4000 tokens, not 9000", "b"})
	is.Equal(s.Admit(RequestInput{Class: "rota", PromptTokens: 9000, Customer: "1"}), "never") // 0/0 is no number, so it isn't above 0
	is.Equal(s.Admit(RequestInput{Class: "rota", PromptTokens: 9000, Weekday: 1}), "")
	is.Equal(len(failed.got), 1)
	is.Equal(s.Counts()[0].Failures, uint64(1))
	is.True(strings.Contains(s.Counts()[0].LastFailure, "int(depot-2)"))
	is.Equal(s.Counts()[1], Count{Policy: "b", Hook: state.HookAdmit})
}

func TestPin(t *testing.T) {
	s := compile(t, nil, policies(state.HookPin,
		`name == "engine-1" ? "prefill" : ""`,
		`minute_of_day in [300, 301] or "hay" in adapters ? "spare" : ""`))
	tests := []struct {
		in    EngineInput
		role  state.Role
		fixed bool
	}{
		{EngineInput{Name: "engine-1", MinuteOfDay: 300}, state.RolePrefill, false},
		{EngineInput{Name: "engine-2", MinuteOfDay: 300}, "", true},
		{EngineInput{Name: "engine-2", Adapters: []string{"hay"}}, "", true},
		{EngineInput{Name: "engine-2"}, "", false},
	}
	for _, tt := range tests {
		is := is.New(t)
		role, fixed := s.Pin(tt.in)
		is.Equal(role, tt.role)
		is.Equal(fixed, tt.fixed)
	}
}

func choice() *ScoreInput {
	return &ScoreInput{
		Service: "llm", Part: "whole", FailureDomain: "nord", PromptTokens: 9000,
		Candidates: []Candidate{
			{Name: "e0", FailureDomain: "nord", ScoreSeconds: 1, BacklogTokens: 100},
			{Name: "e1", FailureDomain: "sud", ScoreSeconds: 2, BacklogTokens: 300},
		},
	}
}

func TestScore(t *testing.T) {
	tests := []struct {
		name     string
		sources  []string
		want     []float64
		failures int
	}{
		{"no policy", nil, []float64{0, 0}, 0},
		{"sums of whole and broken numbers", []string{`candidate.failure_domain == failure_domain ? 0 : 0.5`, `candidate.failure_domain == failure_domain ? -1 : 2`}, []float64{-1, 2.5}, 0},
		{"the others are seen", []string{`candidate_count + min_score_seconds + (candidate.backlog_tokens - mean_backlog_tokens) / 100`}, []float64{2, 4}, 0},
		{"a failure on one favours none", []string{`candidate.name == "e0" ? -5 : float("x")`, `1`}, []float64{1, 1}, 1},
		{"not a number", []string{`(candidate.score_seconds - 1) / 0`}, []float64{0, 0}, 1},
		{"out of bounds", []string{`10000 * candidate.score_seconds`}, []float64{0, 0}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var failed recorder
			s := compile(t, &failed, policies(state.HookScore, tt.sources...))
			is.Equal(s.Score(choice()), tt.want)
			is.Equal(len(failed.got), tt.failures)
		})
	}
}

// routed returns n candidates of a router.
func routed(n int) []route.Candidate {
	cs := make([]route.Candidate, n)
	for i := range cs {
		domain := []string{"nord", "sud", "depot"}[i%3]
		cs[i] = route.Candidate{
			Runner: &snapshot.Runner{Upstream: state.Upstream{Name: "e" + string(rune('a'+i)), FailureDomain: domain}, Target: state.Target{Role: state.RoleMixed}},
			Score:  float64(i), CachedTokens: 300 * i, InFlight: 3,
		}
	}
	return cs
}

func TestScorerAddsToTheRoutersScores(t *testing.T) {
	is := is.New(t)
	var h Holder
	scorer := NewScorer(&h)
	q := &route.Query{Service: "llm", FailureDomain: "sud", Part: route.PartDecode, PromptTokens: 10}
	cs := routed(3)
	scorer.Score(q, cs)
	is.Equal([]float64{cs[0].Score, cs[1].Score, cs[2].Score}, []float64{0, 1, 2})
	h.Store(compile(t, nil, policies(state.HookScore, `part == "decode" and candidate.role == "mixed" and candidate.failure_domain != failure_domain ? prompt_tokens : 0`)))
	scorer.Score(q, cs)
	is.Equal([]float64{cs[0].Score, cs[1].Score, cs[2].Score}, []float64{10, 1, 12})
}

func TestCompileErrorsNamePolicyPlaceAndRemedy(t *testing.T) {
	tests := []struct {
		hook         state.PolicyHook
		source       string
		line, column int
		problem      string
		remedy       string
	}{
		{state.HookClassify, "customer ==", 1, 11, "unexpected token", "mend"},
		{state.HookClassify, "true and\n customert == 'a' ? 'rota' : ''", 2, 2, "unknown name customert", "use one of customer, class"},
		{state.HookClassify, `"a" + customert`, 1, 7, "unknown name customert", "use one of"},
		{state.HookClassify, `string(customert)`, 1, 8, "unknown name customert", "use one of"},
		{state.HookClassify, `weekday == 1 ? "rotta" : ""`, 1, 16, `class "rotta" is not defined`, "rota, question, swap"},
		{state.HookClassify, "prompt_tokens", 0, 0, "expected string, but got int", "class"},
		{state.HookClassify, `weekday == 1 ? "rota" : 1`, 0, 0, "expected string", "class"},
		{state.HookAdmit, "model == 1 ? 'a' : ''", 1, 7, "mismatched types", "float()"},
		{state.HookScore, `"a"`, 0, 0, "expected float64, but got string", "seconds"},
		{state.HookScore, `candidate.failure_domian == "a" ? 1 : 0`, 1, 11, "no field failure_domian", "candidate.failure_domain"},
		{state.HookPin, `role == "" ? "mix" : ""`, 1, 14, `"mix" is not a role`, "spare"},
		{state.HookPin, `let w = "mix"; now().String() + w`, 1, 22, "methods aren't available", "use"},
		{"fetch", `""`, 0, 0, "no such hook", "classify"},
		{state.HookAdmit, strings.Repeat(" ", MaxSourceBytes) + `""`, 0, 0, "more than 4096 bytes", "shorten"},
	}
	for _, tt := range tests {
		t.Run(tt.source[:min(len(tt.source), 30)], func(t *testing.T) {
			is := is.New(t)
			_, err := Options{Classes: classes}.Compile(policies(tt.hook, tt.source))
			var e *CompileError
			is.True(errors.As(err, &e))
			t.Log(e)
			is.Equal(e.Policy, "a")
			is.Equal([]int{e.Line, e.Column}, []int{tt.line, tt.column})
			is.True(strings.Contains(e.Problem, tt.problem))
			is.True(strings.Contains(e.Remedy, tt.remedy))
		})
	}
}

// Each of these would let a program grow without bound in time or memory, or
// read what isn't in the input.
func TestCompileRefusesUnboundedPrograms(t *testing.T) {
	nested := "1"
	for range 60 {
		nested = "(0 < " + nested + " < 2 ? 1 : 0)"
	}
	for _, source := range []string{
		nested, nested + ".a()", // exponential in the type checker and printer
		`1..1000000 == [] ? 1 : 0`, `all(candidate.adapters, # == "a") ? 1 : 0`, `sum(map([1, 2], # * 2))`, `reduce([1, 2], #acc + #)`,
		`let a = [1, 2]; let b = [a, a]; max(b)`, `len(string([failure_domain, failure_domain]))`, `len(::string(candidate.adapters))`,
		`len(repeat("a", 1000))`, `len(replace(failure_domain, "", failure_domain))`, `len(split(failure_domain, ""))`, `len(toJSON(candidate))`,
		`failure_domain matches "(a{1000}){1000}" ? 1 : 0`, `now().Unix()`, `float($env["failure_domain"])`, `candidate.adapters[0] == "" ? 1 : 0`,
		`{"a": 1}.a`, `nil ?? 1`, `candidate?.in_flight`, `1; 2`, strings.Repeat("1+", MaxNodes) + "1",
	} {
		_, err := Compile(policies(state.HookScore, source))
		var e *CompileError
		if !errors.As(err, &e) || e.Remedy == "" {
			t.Errorf("%.40q: got %v, want a *CompileError", source, err)
		}
	}
}

func TestCompileBoundsPoliciesTogether(t *testing.T) {
	is := is.New(t)
	sources := make([]string, MaxPolicies+1)
	for i := range sources {
		sources[i] = `""`
	}
	_, err := Compile(policies(state.HookAdmit, sources...))
	is.True(err != nil)
	_, err = Compile(policies(state.HookAdmit, sources[:MaxPolicies]...))
	is.NoErr(err)
	large := `string(1` + strings.Repeat("+1", 120) + `)`
	_, err = Compile(policies(state.HookAdmit, large, large, large))
	is.True(err != nil)
	_, err = Compile(policies(state.HookAdmit, large, large))
	is.NoErr(err)
	_, err = Compile(append(policies(state.HookAdmit, `""`), policies(state.HookPin, `""`)...)) // the same name twice
	is.True(err != nil)
}

func TestCheckNamesFailuresOnRecords(t *testing.T) {
	is := is.New(t)
	var failed recorder
	s := compile(t, &failed, append(
		policies(state.HookClassify, `prompt_tokens > 8000 ? "rota" : ""`, `int(model) > 3 ? "swap" : ""`),
		state.Policy{Name: "s", Hook: state.HookScore, Source: `candidate.score_seconds / (prompt_tokens - 9000)`},
		state.Policy{Name: "p", Hook: state.HookPin, Source: `role == "" ? "mixed" : ""`}))
	report := Check(s, []Recorded{
		{ID: "r1", Request: &longCheck, Score: choice()},
		{ID: "r2", Request: &RequestInput{Model: "4"}, Engine: &EngineInput{Name: "e1"}},
	})
	is.Equal(report.OK(), false)
	is.Equal(report.Policies, []PolicyReport{
		{"a", state.HookClassify, 2, 1, 0}, {"b", state.HookClassify, 2, 1, 1},
		{"s", state.HookScore, 1, 0, 1}, {"p", state.HookPin, 1, 1, 0},
	})
	is.Equal([]string{report.Failures[0].ID, report.Failures[0].Policy, report.Failures[1].ID, report.Failures[1].Policy}, []string{"r1", "b", "r1", "s"})
	is.Equal(len(failed.got), 0) // a check isn't live traffic
	is.True(Check(nil, []Recorded{{ID: "r1", Request: &longCheck}}).OK())
}

func TestDiffTellsWhatWouldChange(t *testing.T) {
	is := is.New(t)
	before := compile(t, nil, policies(state.HookAdmit, `class == "rota" ? "not now" : ""`))
	after := compile(t, nil, append(policies(state.HookClassify, `prompt_tokens > 8000 ? "rota" : ""`),
		state.Policy{Name: "admit", Hook: state.HookAdmit, Source: `class == "rota" ? "come back at night" : ""`},
		state.Policy{Name: "near", Hook: state.HookScore, Source: `candidate.name == "e0" ? 1.5 : 0`},
		state.Policy{Name: "pin", Hook: state.HookPin, Source: `name == "e1" ? "spare" : ""`}))
	records := []Recorded{
		{ID: "r1", Request: &longCheck, Score: choice()},
		{ID: "r2", Request: &RequestInput{Class: "swap"}},
		{ID: "e1", Engine: &EngineInput{Name: "e1"}},
	}
	is.Equal(Diff(before, after, records), []Change{
		{"r1", state.HookClassify, Verdict{"question", ""}, Verdict{"rota", "a"}},
		{"r1", state.HookAdmit, Verdict{"", ""}, Verdict{"come back at night", "admit"}},
		{"r1", state.HookScore, Verdict{"e0", ""}, Verdict{"e1", ""}},
		{"e1", state.HookPin, Verdict{"", ""}, Verdict{"spare", "pin"}},
	})
	is.Equal(len(Diff(nil, before, records)), 0)
	is.Equal(len(Diff(after, after, records)), 0)
}

// Every decision is made by one set from beginning to end, whatever is put in
// force meanwhile.
func TestSetIsReplacedWhileInUse(t *testing.T) {
	var h Holder
	sets := []*Set{
		compile(t, nil, append(policies(state.HookClassify, `"rota"`), state.Policy{Name: "s", Hook: state.HookScore, Source: "1"})),
		compile(t, nil, append(policies(state.HookClassify, `"swap"`), state.Policy{Name: "s", Hook: state.HookScore, Source: "int(candidate.name)"})),
	}
	h.Store(sets[0])
	var wrong atomic.Int64
	var group conc.WaitGroup
	for range 4 {
		group.Go(func() {
			scorer := NewScorer(&h)
			cs := routed(12)
			for range 500 {
				class := h.Load().Classify(longCheck)
				before := cs[0].Score
				scorer.Score(&route.Query{}, cs)
				added := cs[0].Score - before
				if class != "rota" && class != "swap" || added != 0 && added != 1 || cs[11].Score-cs[0].Score != 11 {
					wrong.Add(1)
				}
			}
		})
	}
	group.Go(func() {
		for i := range 500 {
			h.Store(sets[i%2])
		}
	})
	group.Wait()
	is.New(t).Equal(wrong.Load(), int64(0))
}

func FuzzCompile(f *testing.F) {
	hooks := []state.PolicyHook{state.HookClassify, state.HookAdmit, state.HookScore, state.HookPin}
	for _, source := range []string{
		`prompt_tokens > 8000 ? "rota" : ""`, `candidate.failure_domain == failure_domain ? 0 : 0.5`, `let a = 1; a < a < (a < 2 ? 1 : 0)`,
		`"x" in adapters ? "spare" : ""`, `if weekday in [0, 6] { "a" + string(weekday) } else { "" }`, `((((`, `max(1, -prompt_tokens ** 2) % 3`, "\xff'",
	} {
		f.Add(uint8(0), source)
		f.Add(uint8(2), source)
		f.Add(uint8(3), source)
	}
	f.Fuzz(func(t *testing.T, hook uint8, source string) {
		s, err := Options{Classes: classes}.Compile(policies(hooks[int(hook)%len(hooks)], source))
		if err != nil {
			var e *CompileError
			if !errors.As(err, &e) || e.Problem == "" || e.Remedy == "" {
				t.Fatalf("not a whole *CompileError: %v", err)
			}
			return
		}
		if class := s.Classify(longCheck); class != "question" && class != "rota" && class != "swap" {
			t.Fatalf("class %q isn't defined", class)
		}
		if reason := s.Admit(longCheck); len(reason) > MaxTextBytes {
			t.Fatalf("the reason has %d bytes", len(reason))
		}
		for _, seconds := range s.Score(choice()) {
			if math.IsNaN(seconds) || math.Abs(seconds) > MaxScoreSeconds {
				t.Fatalf("a score of %v seconds", seconds)
			}
		}
		if role, _ := s.Pin(EngineInput{Name: "e1"}); role != "" && !role.Valid() {
			t.Fatalf("role %q", role)
		}
	})
}
