package replay

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

var traceNames = []string{
	"rostering-calm", "rostering-shift", "rostering-peak", "rostering-lost", "rostering-slow", "rostering-flood",
	"hay-calm", "hay-shift", "hay-peak", "hay-lost", "hay-slow", "hay-flood",
}

const traceDir = "../../traces"

func load(t testing.TB, name string) *Trace {
	t.Helper()
	f, err := os.Open(filepath.Join(traceDir, name+".trace"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	tr, err := Parse(f)
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

// expected is a stated outcome of a trace.
type expected struct {
	name            string
	goodput, others float64
	roleChanges     int
}

// outcomes reads the stated outcomes.
func outcomes(t *testing.T) []expected {
	t.Helper()
	f, err := os.Open(filepath.Join(traceDir, "outcomes.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var out []expected
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var e expected
		if _, err := fmt.Sscanf(line, "%s goodput %f others %f changes %d", &e.name, &e.goodput, &e.others, &e.roleChanges); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		out = append(out, e)
	}
	return out
}

func TestTracesReachTheirStatedOutcomes(t *testing.T) {
	list := outcomes(t)
	if len(list) != len(traceNames) {
		t.Errorf("outcomes are stated for %d traces of %d", len(list), len(traceNames))
	}
	for _, e := range list {
		t.Run(e.name, func(t *testing.T) {
			if raceEnabled && e.name != "hay-calm" {
				t.Skip("one goroutine; run without -race")
			}
			t.Parallel()
			tr := load(t, e.name)
			r, err := Run(tr, Setup{Name: "the whole", Start: start, Rebalance: true, Service: weights(tr.Deployment)})
			if err != nil {
				t.Fatal(err)
			}
			if r.Total() != len(tr.Requests) {
				t.Errorf("%d of %d requests have an outcome", r.Total(), len(tr.Requests))
			}
			if r.Goodput() < e.goodput || r.OthersGoodput < e.others || r.RoleChanges > e.roleChanges {
				t.Errorf("goodput %.3f, others' %.3f, %d role changes; stated were %.3f, %.3f, %d",
					r.Goodput(), r.OthersGoodput, r.RoleChanges, e.goodput, e.others, e.roleChanges)
			}
		})
	}
}

// short is a trace of one class at an even rate.
func short(requests, prompt, output int, every time.Duration) *Trace {
	t := &Trace{Deployment: "test", Shape: "even", Classes: []Class{{Name: "c", Deadline: 20 * time.Second, MaxTokens: 1000}}}
	for i := range requests {
		t.Requests = append(t.Requests, Request{
			At: time.Duration(i) * every, Customer: fmt.Sprint("t", i%5), Class: "c",
			Prefix: i % 3, PrefixTokens: prompt / 2, PromptTokens: prompt, OutputTokens: output,
		})
	}
	return t
}

func TestReplayRepeats(t *testing.T) {
	is := is.New(t)
	tr := short(300, 3000, 60, 40*time.Millisecond)
	tr.Events = []Event{{At: 3 * time.Second, What: EventLost, Engine: "engine-01"}, {At: 8 * time.Second, What: EventBack, Engine: "engine-01"}}
	setup := Setup{Start: Split{2, 2, 0}, Rebalance: true, Service: state.Service{GoodputWeight: 1}, ComeBack: true}
	first, err := Run(tr, setup)
	is.NoErr(err)
	second, err := Run(tr, setup)
	is.NoErr(err)
	is.True(reflect.DeepEqual(first, second))
	is.Equal(first.Total(), 300)
	is.True(first.Attempts > 300-first.sum(func(c ClassResult) int { return c.Refused })) // the lost engine's were tried again
}

// One request at a time takes what the model says.
func TestEngineTakesTheTimeOfItsModel(t *testing.T) {
	is := is.New(t)
	tr := short(1, 4000, 101, time.Second)
	m := DefaultModel()
	r, err := Run(tr, Setup{Start: Split{Mixed: 1}, NoAdmission: true, Model: &m, Hosts: 1})
	is.NoErr(err)
	is.Equal(r.Goodput(), 1.0)
	prefill := 4000 * m.MixedSlowdown / m.PrefillTokensPerSecond
	first := r.Classes[0].FirstToken.P50.Seconds()
	is.True(first > prefill && first < prefill+0.02)
	step := (m.StepBase + m.StepPerSeq).Seconds() * m.MixedSlowdown
	gap := r.Classes[0].BetweenTokens.P50.Seconds()
	is.True(gap > step*0.99 && gap < step*1.01)
}

func TestNoSetupExceedsTheBound(t *testing.T) {
	is := is.New(t)
	tr := short(400, 4000, 100, 10*time.Millisecond) // far above what two engines can do
	bound := UpperBound(tr, DefaultModel(), 2)
	is.True(bound < 0.9)
	for _, s := range []Setup{
		{Start: Split{1, 1, 0}}, {Start: Split{0, 0, 2}}, {Start: Split{0, 0, 2}, Chooser: ChooseRoundRobin, NoAdmission: true},
	} {
		r, err := Run(tr, s)
		is.NoErr(err)
		is.True(r.Goodput() <= bound)
	}
}

func TestParseNamesTheWrongLine(t *testing.T) {
	is := is.New(t)
	_, err := Parse(strings.NewReader("trace a b\n12 t c 1 2 x 4\n"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "line 2"))
}
