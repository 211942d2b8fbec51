package policy

import (
	"fmt"
	"reflect"
	"strconv"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
)

// floatBranches makes whole numbers in the branches of a condition
// floating-point numbers: both branches must be of one type, and a policy should
// be free to say a ? 0 : 0.5.
type floatBranches struct{}

// Visit implements ast.Visitor.
func (floatBranches) Visit(node *ast.Node) {
	n, ok := (*node).(*ast.ConditionalNode)
	if !ok {
		return
	}
	toFloat(&n.Exp1)
	toFloat(&n.Exp2)
}

func toFloat(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.IntegerNode:
		ast.Patch(node, &ast.FloatNode{Value: float64(n.Value)})
	case *ast.UnaryNode:
		toFloat(&n.Node)
	}
}

// The functions that this package adds to the language.
const (
	// concatName stands for + between texts.
	concatName = "concat"
	// stringName takes the place of the language's own function.
	stringName = "string"
)

// boundedConcat replaces + between texts by a function that bounds the result:
// the virtual machine's memory budget counts lists only, and a text that is
// added to itself again and again doubles each time.
type boundedConcat struct{}

// Visit implements ast.Visitor. The types must be known. Operands of unknown type are taken for texts, so
// that no text escapes the bound.
func (boundedConcat) Visit(node *ast.Node) {
	n, ok := (*node).(*ast.BinaryNode)
	if !ok || n.Operator != "+" || isNumber(n.Left.Type()) || isNumber(n.Right.Type()) {
		return
	}
	call := &ast.CallNode{
		Callee:    &ast.IdentifierNode{Value: concatName},
		Arguments: []ast.Node{n.Left, n.Right},
	}
	call.SetType(reflect.TypeFor[string]())
	ast.Patch(node, call)
}

func isNumber(t reflect.Type) bool {
	return t.Kind() >= reflect.Int && t.Kind() <= reflect.Float64
}

// textFunctions returns the functions that make texts, each bounded.
func textFunctions() []expr.Option {
	return []expr.Option{
		expr.Function(concatName, concat, new(func(string, string) string)),
		expr.Function(stringName, text, new(func(string) string), new(func(int) string), new(func(float64) string), new(func(bool) string)),
	}
}

func concat(args ...any) (any, error) {
	a, oka := args[0].(string)
	b, okb := args[1].(string)
	if !oka || !okb {
		return nil, fmt.Errorf("+ joins two texts or two numbers, not %T and %T", args[0], args[1])
	}
	if len(a)+len(b) > MaxTextBytes {
		return nil, fmt.Errorf("a text is longer than %d bytes", MaxTextBytes)
	}
	return a + b, nil
}

// text makes a text of a plain value only: a list put into texts again and again
// would double each time.
func text(args ...any) (any, error) {
	switch v := args[0].(type) {
	case string:
		return v, nil
	case int:
		return strconv.Itoa(v), nil
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64), nil
	case bool:
		return strconv.FormatBool(v), nil
	default:
		return nil, fmt.Errorf("string() takes a text, a number or a truth value, not %T", v)
	}
}
