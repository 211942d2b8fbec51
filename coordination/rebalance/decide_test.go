package rebalance

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// speeds are those of an engine that computes 8000 prompt tokens or 1280 output
// tokens per second.
var speeds = Speeds{Prefill: 8000, Decode: 1280, TokenInterval: 0.025}

// newEngines returns engines of the roles, spread over two failure domains. The
// request counts increase with the index.
func newEngines(prefill, decode, mixed int) []Engine {
	var out []Engine
	add := func(n int, role state.Role) {
		for range n {
			i := len(out)
			out = append(out, Engine{
				Name: fmt.Sprintf("e%02d", i), FailureDomain: fmt.Sprint("failure_domain", i%2), Role: role,
				TakesWork: true, InFlight: int64(i), Speeds: speeds,
			})
		}
	}
	add(prefill, state.RolePrefill)
	add(decode, state.RoleDecode)
	add(mixed, state.RoleMixed)
	return out
}

// demandRates returns ten requests per second, half of them mostly prefill, with
// the given totals of tokens per second and the largest token interval budget.
func demandRates(prefill, decode float64) Rates {
	r := Rates{Requests: 10, PrefillRequests: 5, PrefillTokens: prefill, DecodeTokens: decode}
	r.Budgets[len(r.Budgets)-1] = 10
	return r
}

// constantDemand returns a demand that is the same over both windows.
func constantDemand(prefill, decode float64) Demand {
	return Demand{Short: demandRates(prefill, decode), Long: demandRates(prefill, decode)}
}

func TestDecide(t *testing.T) {
	balanced := constantDemand(20000, 3000)
	prefillHeavy := constantDemand(40000, 1000)
	decodeHeavy := constantDemand(5000, 7000)
	tests := []struct {
		name     string
		in       Inputs
		from, to state.Role // empty for no change
		why      string
	}{
		{"capacity covers the demand", Inputs{Engines: newEngines(4, 4, 0), Demand: balanced}, "", "", "no change is worth"},
		{"too little prefill capacity", Inputs{Engines: newEngines(4, 4, 0), Demand: prefillHeavy}, state.RoleDecode, state.RolePrefill, "more answers"},
		{"too little decode capacity", Inputs{Engines: newEngines(4, 4, 0), Demand: decodeHeavy}, state.RolePrefill, state.RoleDecode, "more answers"},
		{"prefill and decode both over capacity", Inputs{Engines: newEngines(4, 4, 0), Demand: constantDemand(64000, 10240)}, "", "", "no change"},
		{"mixed engines absorb the change of demand", Inputs{Engines: newEngines(2, 2, 4), Demand: constantDemand(5000, 5500)}, "", "", "no change"},
		{"short burst", Inputs{Engines: newEngines(4, 4, 0), Demand: Demand{Short: decodeHeavy.Short, Long: demandRates(20000, 500)}}, "", "", "no change"},
		{"another change in progress", Inputs{Engines: newEngines(4, 4, 0), Demand: decodeHeavy, ChangingEngine: "e01"}, "", "", "one at a time"},
		{"no demand", Inputs{Engines: newEngines(4, 4, 0)}, "", "", "no request"},
		{"minimum per role in both failure domains", Inputs{Engines: newEngines(4, 4, 0), Demand: decodeHeavy, Service: state.Service{MinPerRole: 2}}, "", "", "no change"},
		{"high weight of changes", Inputs{Engines: newEngines(4, 4, 0), Demand: decodeHeavy, Service: state.Service{RoleChangeWeight: 50}}, "", "", "no change"},
		{"high weight of changes and of goodput", Inputs{Engines: newEngines(4, 4, 0), Demand: decodeHeavy, Service: state.Service{RoleChangeWeight: 50, GoodputWeight: 50}}, state.RolePrefill, state.RoleDecode, "more answers"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.in.Now = start
			p := Decide(tt.in, Tuning{})
			is.True(strings.Contains(p.Why, tt.why))
			if tt.to == "" {
				is.Equal(p.Change, nil)
				return
			}
			is.True(p.Change != nil)
			is.Equal(p.Change.From, tt.from)
			is.Equal(p.Change.To, tt.to)
			is.True(p.Change.Gain > p.Change.Loss)
		})
	}
}

func TestDecidePicksLeastLoadedEngine(t *testing.T) {
	is := is.New(t)
	engines := newEngines(4, 4, 0)
	engines[2].InFlight = 0
	engines[0].InFlight = 9
	in := Inputs{Now: start, Engines: engines, Demand: constantDemand(5000, 7000)}
	is.Equal(Decide(in, Tuning{}).Change.Engine, "e02")
	engines[2].RoleSince = start.Add(-time.Second) // within MinTimeInRole
	is.Equal(Decide(in, Tuning{}).Change.Engine, "e01")
}

func TestDecideMovesPrefillOffMixedEngines(t *testing.T) {
	is := is.New(t)
	tightDemand := constantDemand(30000, 4000)
	for _, r := range []*Rates{&tightDemand.Short, &tightDemand.Long} {
		r.Budgets = IntervalBudgets{}
		r.Budgets[5] = 10 // token intervals of 30 ms to 40 ms
	}
	p := Decide(Inputs{Now: start, Engines: newEngines(0, 0, 8), Demand: tightDemand}, Tuning{})
	is.True(p.Change != nil)
	is.Equal(p.Change.From, state.RoleMixed)
}

// Under constant demand the changes come to an end: no engine returns to a role
// that it left. Oscillation would arise if a change made its reverse look
// profitable.
func TestDecideConvergesUnderConstantDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(t, name) }
		engines := newEngines(draw("prefill", 0, 6), draw("decode", 0, 6), draw("mixed", 1, 6))
		d := constantDemand(float64(draw("prompt tokens", 0, 100000)), float64(draw("output tokens", 0, 12000)))
		budget := draw("budget", 0, len(budgetBounds)-1)
		for _, r := range []*Rates{&d.Short, &d.Long} {
			r.Budgets = IntervalBudgets{}
			r.Budgets[budget] = 10
		}
		in := Inputs{Now: start, Engines: engines, Demand: d, Service: state.Service{GoodputWeight: 1, RoleChangeWeight: 0.1}}
		previous := map[string]bool{}
		for changes := 0; ; changes++ {
			p := Decide(in, Tuning{})
			if p.Change == nil {
				return
			}
			if changes > 2*len(engines) {
				t.Fatalf("still changing after %d changes: %s", changes, p.Why)
			}
			change := p.Change.Engine + " as " + string(p.Change.To)
			if previous[change] {
				t.Fatalf("%s: the engine returns to a role that it left", change)
			}
			previous[p.Change.Engine+" as "+string(p.Change.From)] = true
			for i := range engines {
				if engines[i].Name == p.Change.Engine {
					engines[i].Role = p.Change.To
				}
			}
			in.Now = in.Now.Add(time.Minute)
		}
	})
}

// Utilization must equal the smallest one found by trying 2001 divisions of the
// mixed engines' time.
func TestUtilizationMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) float64 { return float64(rapid.IntRange(0, 50).Draw(t, name)) }
		c := Capacity{Prefill: draw("p"), Decode: draw("d"), MixedPrefill: 1 + draw("mp"), MixedDecode: 1 + draw("md")}
		d := Rates{PrefillTokens: draw("prompt"), DecodeTokens: draw("output")}
		best := float64(maxUtilization)
		const divisions = 2000
		for i := range divisions + 1 {
			x := float64(i) / divisions
			p, o := c.Prefill+x*c.MixedPrefill, c.Decode+(1-x)*c.MixedDecode
			u := 0.0
			if d.PrefillTokens > 0 {
				u = d.PrefillTokens / max(p, 1e-9)
			}
			if d.DecodeTokens > 0 {
				u = max(u, d.DecodeTokens/max(o, 1e-9))
			}
			best = min(best, u)
		}
		if got := c.Utilization(d); got > best+1e-6 || got < best*0.95-0.01 {
			t.Fatalf("utilization of %+v by %+v: got %v, exhaustive search finds %v", c, d, got, best)
		}
	})
}

func TestIntervalBudgetsShareAllowing(t *testing.T) {
	is := is.New(t)
	var b IntervalBudgets
	is.Equal(b.shareAllowing(1), 1.0) // no requests
	b[4], b[6] = 3, 1                 // 25 to 30 ms and 40 to 50 ms
	is.Equal(b.shareAllowing(0.02), 1.0)
	is.True(b.shareAllowing(0.0275) > 0.62 && b.shareAllowing(0.0275) < 0.63)
	is.Equal(b.shareAllowing(0.035), 0.25)
	is.Equal(b.shareAllowing(0.06), 0.0)
}
