package policy

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/expr-lang/expr/vm"

	"github.com/thymerack/thymerack/state"
)

// Set is a compiled set of policies. It is immutable but for its counts, and
// safe for concurrent use. A nil *Set has no policies.
type Set struct {
	classes  []string
	failures Failures
	// programs are in the order of their definition, byHook as well.
	programs []*program
	classify []*program
	admit    []*program
	score    []*program
	pin      []*program
	machines sync.Pool
}

// program is one compiled policy.
type program struct {
	name   string
	hook   state.PolicyHook
	code   *vm.Program
	nodes  int
	failed atomic.Uint64
	last   atomic.Pointer[RunError]
}

// Verdict is an opinion and whose it was.
type Verdict struct {
	// Value is the class, the reason to refuse, the role or "spare".
	Value string `json:"value"`
	// Policy is the policy that decided; empty for the built-in decision.
	Policy string `json:"policy,omitempty"`
}

func newSet(o Options) *Set {
	s := &Set{classes: slices.Clone(o.Classes), failures: o.Failures}
	s.machines.New = func() any { return newMachine() }
	return s
}

func (s *Set) add(p *program) {
	s.programs = append(s.programs, p)
	switch p.hook {
	case state.HookClassify:
		s.classify = append(s.classify, p)
	case state.HookAdmit:
		s.admit = append(s.admit, p)
	case state.HookScore:
		s.score = append(s.score, p)
	case state.HookPin:
		s.pin = append(s.pin, p)
	}
}

// Classify returns the class of a request: that of the first policy with an
// opinion, else r.Class.
func (s *Set) Classify(r RequestInput) string { return s.DecideClass(r).Value }

// DecideClass is Classify with the policy that decided.
func (s *Set) DecideClass(r RequestInput) Verdict {
	if s == nil || len(s.classify) == 0 {
		return Verdict{Value: r.Class}
	}
	m := s.take()
	defer s.machines.Put(m)
	m.request = r
	return s.classOf(m, s)
}

// classOf classifies m.request.
func (s *Set) classOf(m *machine, o observer) Verdict {
	v := s.first(m, s.classify, &m.request, o)
	if v.Policy == "" {
		v.Value = m.request.Class
	}
	return v
}

// Admit returns the reason of the first policy that refuses the request, or ""
// if none does. r.Class should be the class after Classify.
func (s *Set) Admit(r RequestInput) string { return s.DecideAdmission(r).Value }

// DecideAdmission is Admit with the policy that decided.
func (s *Set) DecideAdmission(r RequestInput) Verdict {
	if s == nil || len(s.admit) == 0 {
		return Verdict{}
	}
	m := s.take()
	defer s.machines.Put(m)
	m.request = r
	return s.first(m, s.admit, &m.request, s)
}

// Pin returns the role that an engine must have, or "" if the rebalancer may
// choose it, and whether the engine must never change its role.
func (s *Set) Pin(e EngineInput) (role state.Role, fixed bool) {
	word := s.DecidePin(e).Value
	if word == spare {
		return "", true
	}
	return state.Role(word), false
}

// DecidePin is Pin as the policy's word (a role, "spare" or ""), with the policy
// that decided.
func (s *Set) DecidePin(e EngineInput) Verdict {
	if s == nil || len(s.pin) == 0 {
		return Verdict{}
	}
	m := s.take()
	defer s.machines.Put(m)
	m.engine = e
	return s.first(m, s.pin, &m.engine, s)
}

// first returns the first opinion of the programs. A program that fails has none.
func (s *Set) first(m *machine, programs []*program, env any, o observer) Verdict {
	for _, p := range programs {
		text, err := s.opinion(m, p, env)
		if err != nil {
			o.observe(p, err)
			continue
		}
		if text != "" {
			return Verdict{text, p.name}
		}
	}
	return Verdict{}
}

// opinion runs a program that gives a text and checks the text.
func (s *Set) opinion(m *machine, p *program, env any) (string, *RunError) {
	out, err := m.run(p, env)
	if err != nil {
		return "", err
	}
	text, ok := out.(string)
	if !ok {
		return "", p.failure(fmt.Sprintf("it gave a %T instead of a text", out), nil)
	}
	if problem := s.problemWith(p.hook, text); problem != "" {
		return "", p.failure(problem, nil)
	}
	return text, nil
}

// problemWith says what is wrong with a program's text; "" if nothing is.
func (s *Set) problemWith(h state.PolicyHook, text string) string {
	switch {
	case text == "":
		return ""
	case len(text) > MaxTextBytes:
		return fmt.Sprintf("the text is longer than %d bytes", MaxTextBytes)
	case h == state.HookClassify && s.classes != nil && !slices.Contains(s.classes, text):
		return fmt.Sprintf("class %q is not defined", text)
	case h == state.HookPin && !knownRole(text):
		return fmt.Sprintf("%q is not a role", text)
	default:
		return ""
	}
}

func (s *Set) remedyFor(h state.PolicyHook) string {
	if h == state.HookClassify && len(s.classes) > 0 {
		return "use one of the classes " + strings.Join(s.classes, ", ")
	}
	spec, _ := specOf(h)
	return spec.remedy
}

// observer is told of failures.
type observer interface {
	observe(p *program, err *RunError)
}

// observe counts a failure of live traffic and reports it.
func (s *Set) observe(p *program, err *RunError) {
	p.failed.Add(1)
	p.last.Store(err)
	if s.failures != nil {
		s.failures.PolicyFailed(err)
	}
}

// Count tells how often a policy failed since its set was compiled.
type Count struct {
	Policy   string           `json:"policy"`
	Hook     state.PolicyHook `json:"hook"`
	Failures uint64           `json:"failures"`
	// LastFailure is the message of the last failure; empty if there was none.
	LastFailure string `json:"last_failure,omitempty"`
}

// Counts returns the failures of every policy, in the order of definition.
func (s *Set) Counts() []Count {
	if s == nil {
		return nil
	}
	out := make([]Count, 0, len(s.programs))
	for _, p := range s.programs {
		c := Count{Policy: p.name, Hook: p.hook, Failures: p.failed.Load()}
		if last := p.last.Load(); last != nil {
			c.LastFailure = last.Error()
		}
		out = append(out, c)
	}
	return out
}
