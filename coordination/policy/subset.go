package policy

import (
	"fmt"
	"slices"
	"strings"

	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
)

// allowedBuiltins returns the functions of the language that policies may use:
// those that run in time linear in their arguments, make no larger values than
// these, and read neither the clock nor the machine.
func allowedBuiltins() []string {
	return []string{
		"abs", "ceil", "float", "floor", "hasPrefix", "hasSuffix", "indexOf", "int", "len", "lower",
		"max", "min", "round", "trim", "trimPrefix", "trimSuffix", "upper",
	}
}

// allowedOperators returns the operators that policies may use. Left out are
// ranges, which make lists of any length, and regular expressions.
func allowedOperators() []string {
	return []string{
		"or", "||", "and", "&&", "not", "!", "==", "!=", "<", ">", "<=", ">=", "in", "contains",
		"startsWith", "endsWith", "+", "-", "*", "/", "%", "**", "^",
	}
}

// subset checks that a program keeps to the part of the language that runs in
// bounded time and memory. It must pass before the program's types are checked:
// the checker itself takes time exponential in the depth of nested chains of
// comparisons (a < b < c stands for a < b && b < c, with b twice in the tree).
type subset struct {
	builtins, operators []string
	nodes               int
}

// subsetError is a breach of the subset at a node.
type subsetError struct {
	at              file.Location
	problem, remedy string
}

func (e *subsetError) Error() string { return e.problem + "; " + e.remedy }

// checkSubset returns the size of a program, or what it breaks.
func checkSubset(root ast.Node) (nodes int, err *subsetError) {
	s := subset{builtins: allowedBuiltins(), operators: allowedOperators()}
	err = s.check(root)
	return s.nodes, err
}

// check visits the tree below a node. Nodes with two parents count twice.
func (s *subset) check(node ast.Node) *subsetError {
	s.nodes++
	if s.nodes > MaxNodes {
		return refuse(node, fmt.Sprintf("the program is larger than %d operations, names and values", MaxNodes), "shorten it or split it into several policies")
	}
	switch n := node.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.StringNode:
		return nil
	case *ast.IdentifierNode:
		return s.identifier(n)
	case *ast.UnaryNode:
		return s.operator(n, n.Operator, n.Node)
	case *ast.BinaryNode:
		return s.binary(n)
	case *ast.MemberNode:
		return s.member(n)
	case *ast.BuiltinNode:
		return s.builtin(n)
	case *ast.ConditionalNode:
		return s.all(n.Cond, n.Exp1, n.Exp2)
	case *ast.VariableDeclaratorNode:
		return s.all(n.Value, n.Expr)
	case *ast.ArrayNode:
		return refuse(node, "a list stands where none may", `use lists only after "in", as in customer in ["a", "b"]`)
	case *ast.CallNode:
		return s.call(n)
	default:
		return refuse(node, "this form isn't available to policies", "use values, fields, operators, let, ?: and the functions named in docs/POLICIES.md")
	}
}

func (s *subset) all(nodes ...ast.Node) *subsetError {
	for _, n := range nodes {
		if err := s.check(n); err != nil {
			return err
		}
	}
	return nil
}

func (s *subset) identifier(n *ast.IdentifierNode) *subsetError {
	if n.Value == "$env" {
		return refuse(n, "$env isn't available to policies", "name the field itself")
	}
	return nil
}

func (s *subset) operator(node ast.Node, operator string, operands ...ast.Node) *subsetError {
	if !slices.Contains(s.operators, operator) {
		return refuse(node, fmt.Sprintf("the operator %q isn't available to policies", operator), "use ==, in, contains, startsWith or endsWith, or arithmetic")
	}
	return s.all(operands...)
}

func (s *subset) binary(n *ast.BinaryNode) *subsetError {
	list, ok := n.Right.(*ast.ArrayNode)
	if n.Operator != "in" || !ok {
		return s.operator(n, n.Operator, n.Left, n.Right)
	}
	if err := s.check(n.Left); err != nil {
		return err
	}
	return s.all(list.Nodes...)
}

// member allows the field of a structure, by name.
func (s *subset) member(n *ast.MemberNode) *subsetError {
	if _, ok := n.Property.(*ast.StringNode); !ok || n.Optional || n.Method {
		return refuse(n, "this way to reach a part of a value isn't available to policies", "name the field, as in candidate.failure_domain")
	}
	return s.check(n.Node)
}

func (s *subset) builtin(n *ast.BuiltinNode) *subsetError {
	if !slices.Contains(s.builtins, n.Name) {
		return s.noFunction(n, n.Name)
	}
	return s.all(n.Arguments...)
}

// call allows the functions that this package adds to the language.
func (s *subset) call(n *ast.CallNode) *subsetError {
	callee, ok := n.Callee.(*ast.IdentifierNode)
	if !ok {
		return refuse(n, "methods aren't available to policies", "use "+s.functions())
	}
	if callee.Value != concatName && callee.Value != stringName {
		return s.noFunction(n, callee.Value)
	}
	return s.all(n.Arguments...)
}

func (s *subset) noFunction(n ast.Node, name string) *subsetError {
	return refuse(n, fmt.Sprintf("the function %q isn't available to policies", name), "use "+s.functions())
}

func (s *subset) functions() string {
	return fmt.Sprintf("one of %s, %s", strings.Join(s.builtins, ", "), stringName)
}

func refuse(node ast.Node, problem, remedy string) *subsetError {
	return &subsetError{node.Location(), problem, remedy}
}

// constantResults visits the texts that a program may give as they stand in its
// source. The program must have passed checkSubset.
func constantResults(node ast.Node, visit func(*ast.StringNode)) {
	switch n := node.(type) {
	case *ast.StringNode:
		visit(n)
	case *ast.ConditionalNode:
		constantResults(n.Exp1, visit)
		constantResults(n.Exp2, visit)
	case *ast.VariableDeclaratorNode:
		constantResults(n.Expr, visit)
	}
}
