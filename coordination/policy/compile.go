package policy

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/checker"
	"github.com/expr-lang/expr/compiler"
	"github.com/expr-lang/expr/conf"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/optimizer"
	"github.com/expr-lang/expr/parser"

	"github.com/thymerack/thymerack/state"
)

// Options say how policies are compiled and watched.
type Options struct {
	// Classes are the defined classes. A classify policy that gives another one
	// is refused, or fails at run time if that can't be seen earlier. Nil leaves
	// the check to the caller of Classify.
	Classes []string
	// Failures is told of failures at run time; nil for nobody.
	Failures Failures
}

// Compile compiles policies under the default options.
func Compile(policies []state.Policy) (*Set, error) {
	return Options{}.Compile(policies)
}

// CompileConfig compiles the policies of a configuration, which knows the
// classes. Failures may be nil.
func CompileConfig(c *state.Config, failures Failures) (*Set, error) {
	classes := make([]string, 0, len(c.Classes))
	for _, k := range c.Classes {
		classes = append(classes, k.Name)
	}
	return Options{Classes: classes, Failures: failures}.Compile(c.Policies)
}

// Compile compiles all policies, or returns the *CompileError of the first that
// can't be accepted.
func (o Options) Compile(policies []state.Policy) (*Set, error) {
	if len(policies) > MaxPolicies {
		p := policies[MaxPolicies]
		return nil, whole(p, fmt.Sprintf("there are more than %d policies", MaxPolicies), "remove or merge some")
	}
	s := newSet(o)
	seen := map[string]bool{}
	sizes := map[state.PolicyHook]int{}
	for _, p := range policies {
		if p.Name == "" || seen[p.Name] {
			return nil, whole(p, "the name is empty or used twice", "give each policy a name of its own")
		}
		seen[p.Name] = true
		compiled, err := s.compile(p)
		if err != nil {
			return nil, err
		}
		sizes[p.Hook] += compiled.nodes
		if sizes[p.Hook] > MaxHookNodes {
			return nil, whole(p, fmt.Sprintf("with it the programs of the hook are larger than %d operations, names and values", MaxHookNodes), "shorten or remove some")
		}
		s.add(compiled)
	}
	return s, nil
}

// compile returns the program of one policy or its *CompileError.
func (s *Set) compile(p state.Policy) (_ *program, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = whole(p, fmt.Sprintf("the compiler can't take the program (%v)", r), "write it in a simpler way")
		}
	}()
	spec, ok := specOf(p.Hook)
	if !ok {
		return nil, whole(p, "there is no such hook", "use classify, admit, score or pin")
	}
	if len(p.Source) > MaxSourceBytes {
		return nil, whole(p, fmt.Sprintf("the program has more than %d bytes", MaxSourceBytes), "shorten it or split it into several policies")
	}
	return s.build(p, spec)
}

// build takes the steps of expr.Compile one by one. What needs no types is
// checked and changed before the types are, because expr's own way to change
// programs (expr.Patch) checks them repeatedly, and the repeated check overlooks
// errors in the arguments of a function.
func (s *Set) build(p state.Policy, spec hookSpec) (*program, error) {
	config := configOf(spec)
	tree, err := parser.ParseWithConfig(p.Source, config)
	if err != nil {
		return nil, syntaxError(p, err)
	}
	nodes, err := s.checkTree(p, tree.Node)
	if err != nil {
		return nil, err
	}
	ast.Walk(&tree.Node, floatBranches{})
	if _, err := checker.Check(tree, config); err != nil {
		return nil, typeError(p, spec, err)
	}
	ast.Walk(&tree.Node, boundedConcat{})
	if err := optimizer.Optimize(&tree.Node, config); err != nil {
		return nil, typeError(p, spec, err)
	}
	code, err := compiler.Compile(tree, config)
	if err != nil {
		return nil, typeError(p, spec, err)
	}
	return &program{name: p.Name, hook: p.Hook, code: code, nodes: nodes}, nil
}

// configOf returns the language as the programs of a hook may use it.
func configOf(spec hookSpec) *conf.Config {
	c := conf.New(spec.env)
	c.Expect = spec.result
	c.MaxNodes = parserNodes
	for _, add := range textFunctions() {
		add(c)
	}
	allowed := allowedBuiltins()
	for name := range c.Builtins {
		if !slices.Contains(allowed, name) {
			c.Disabled[name] = true
			delete(c.Builtins, name)
		}
	}
	return c
}

// checkTree checks all that needs no types and returns the program's size.
func (s *Set) checkTree(p state.Policy, root ast.Node) (nodes int, wrong error) {
	nodes, e := checkSubset(root)
	if e != nil {
		return 0, located(p, e.at, e.problem, e.remedy)
	}
	constantResults(root, func(n *ast.StringNode) {
		problem := s.problemWith(p.Hook, n.Value)
		if problem != "" && wrong == nil {
			wrong = located(p, n.Location(), problem, s.remedyFor(p.Hook))
		}
	})
	return nodes, wrong
}

// whole makes a *CompileError that concerns the whole policy.
func whole(p state.Policy, problem, remedy string) *CompileError {
	return &CompileError{Policy: p.Name, Hook: p.Hook, Problem: problem, Remedy: remedy}
}

// located makes a *CompileError for a place in the source.
func located(p state.Policy, at file.Location, problem, remedy string) *CompileError {
	_, line, column := placed((&file.Error{Location: at}).Bind(file.NewSource(p.Source)))
	return &CompileError{Policy: p.Name, Hook: p.Hook, Line: line, Column: column, Problem: problem, Remedy: remedy}
}

func syntaxError(p state.Policy, err error) *CompileError {
	message, line, column := placed(err)
	return &CompileError{Policy: p.Name, Hook: p.Hook, Line: line, Column: column, Problem: message, Remedy: "mend the program there; docs/POLICIES.md has examples"}
}

// typeError turns an error of the type checker into a *CompileError.
func typeError(p state.Policy, spec hookSpec, err error) *CompileError {
	message, line, column := placed(err)
	remedy := "compare and combine values of one kind; convert with float(), int() or string()"
	switch {
	case line == 0:
		remedy = spec.remedy
	case strings.Contains(message, "unknown name"), strings.Contains(message, "has no field"):
		remedy = "use one of " + strings.Join(fieldNames(reflect.TypeOf(spec.env), ""), ", ")
	}
	return &CompileError{Policy: p.Name, Hook: p.Hook, Line: line, Column: column, Problem: message, Remedy: remedy}
}
