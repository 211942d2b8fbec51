package policy

import (
	"fmt"

	"github.com/expr-lang/expr/vm"
)

// machine is the working memory of one decision. It is used by one goroutine at
// a time and reused by the Set that made it.
type machine struct {
	vm      vm.VM
	request RequestInput
	engine  EngineInput
	score   scoreEnv
	// added and total hold seconds by candidate.
	added, total []float64
}

func newMachine() *machine {
	return &machine{vm: vm.VM{MemoryBudget: memoryBudget}}
}

func (s *Set) take() *machine { return s.machines.Get().(*machine) }

// run runs a program. No panic of the program gets out. The virtual machine
// recovers by itself; the recovery here covers what happens outside of that.
func (m *machine) run(p *program, env any) (out any, failed *RunError) {
	defer func() {
		if r := recover(); r != nil {
			failed = p.failure(fmt.Sprint(r), nil)
		}
	}()
	out, err := m.vm.Run(p.code, env)
	if err != nil {
		message, line, column := placed(err)
		return nil, p.failure(fmt.Sprintf("%s (line %d, column %d)", message, line, column), err)
	}
	return out, nil
}

func (p *program) failure(problem string, cause error) *RunError {
	return &RunError{Policy: p.name, Hook: p.hook, Problem: problem, Cause: cause}
}
