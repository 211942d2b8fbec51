package policy

import "github.com/thymerack/thymerack/state"

// MaxListedFailures bounds the failures that a Report lists; all are counted.
const MaxListedFailures = 100

// Recorded is what policies saw, or would have seen, of one request or engine.
// Parts that are nil are left out of Check and Diff.
type Recorded struct {
	// ID is the request's id or the engine's name.
	ID string `json:"id"`
	// Request is for classify and admit; its Class is the class before policies.
	Request *RequestInput `json:"request,omitempty"`
	// Score is for score.
	Score *ScoreInput `json:"score,omitempty"`
	// Engine is for pin.
	Engine *EngineInput `json:"engine,omitempty"`
}

// Report tells how policies did on recorded requests.
type Report struct {
	// Records is the number of recorded requests.
	Records int `json:"records"`
	// Policies are in the order of their definition.
	Policies []PolicyReport `json:"policies"`
	// Failures are the first MaxListedFailures.
	Failures []RecordFailure `json:"failures,omitempty"`
}

// PolicyReport tells how one policy did.
type PolicyReport struct {
	Policy string           `json:"policy"`
	Hook   state.PolicyHook `json:"hook"`
	// Runs counts records that the policy was run on, Opinions those on which it
	// had one, Failures those on which it failed.
	Runs     int `json:"runs"`
	Opinions int `json:"opinions"`
	Failures int `json:"failures"`
}

// RecordFailure is the failure of one policy on one recorded request.
type RecordFailure struct {
	ID      string           `json:"id"`
	Policy  string           `json:"policy"`
	Hook    state.PolicyHook `json:"hook"`
	Problem string           `json:"problem"`
}

// OK reports whether no policy failed.
func (r Report) OK() bool { return len(r.Failures) == 0 }

// Check runs every policy on every record, also those that another policy has
// decided. It counts and reports nothing as live traffic's failures.
func Check(s *Set, records []Recorded) Report {
	c := trial{set: s.orEmpty(), stats: map[*program]*PolicyReport{}}
	c.report.Records = len(records)
	c.report.Policies = make([]PolicyReport, len(c.set.programs))
	for i, p := range c.set.programs {
		c.report.Policies[i] = PolicyReport{Policy: p.name, Hook: p.hook}
		c.stats[p] = &c.report.Policies[i]
	}
	m := newMachine()
	for i := range records {
		c.check(m, &records[i])
	}
	return c.report
}

// orEmpty returns a set without policies in place of nil.
func (s *Set) orEmpty() *Set {
	if s == nil {
		return newSet(Options{})
	}
	return s
}

// trial gathers a Report.
type trial struct {
	set    *Set
	stats  map[*program]*PolicyReport
	report Report
	id     string
}

func (c *trial) check(m *machine, r *Recorded) {
	c.id = r.ID
	if r.Request != nil {
		m.request = *r.Request
		class := c.texts(m, c.set.classify, &m.request)
		if class != "" {
			m.request.Class = class
		}
		c.texts(m, c.set.admit, &m.request)
	}
	if r.Score != nil && len(r.Score.Candidates) > 0 {
		c.scores(m, r.Score)
	}
	if r.Engine != nil {
		m.engine = *r.Engine
		c.texts(m, c.set.pin, &m.engine)
	}
}

// texts runs all programs and returns the first opinion.
func (c *trial) texts(m *machine, programs []*program, env any) string {
	first := ""
	for _, p := range programs {
		text, err := c.set.opinion(m, p, env)
		c.note(p, text != "", err)
		if first == "" {
			first = text
		}
	}
	return first
}

func (c *trial) scores(m *machine, in *ScoreInput) {
	m.score.copyFrom(in)
	m.score.summarize()
	for _, p := range c.set.score {
		m.added = zeroed(m.added, len(in.Candidates))
		err := m.scoreBy(p)
		c.note(p, anyNotZero(m.added), err)
	}
}

func anyNotZero(values []float64) bool {
	for _, v := range values {
		if v != 0 {
			return true
		}
	}
	return false
}

// note counts one run of a program.
func (c *trial) note(p *program, opinion bool, err *RunError) {
	stats := c.stats[p]
	stats.Runs++
	switch {
	case err != nil:
		stats.Failures++
		if len(c.report.Failures) < MaxListedFailures {
			c.report.Failures = append(c.report.Failures, RecordFailure{c.id, p.name, p.hook, err.Problem})
		}
	case opinion:
		stats.Opinions++
	}
}
