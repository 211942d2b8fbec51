package layers

import (
	"go/ast"
	"path/filepath"
	"strings"
	"testing"
)

// steadyOnly are the calls whose argument the runtime compares with its own clock.
var steadyOnly = map[string]bool{"SetDeadline": true, "SetReadDeadline": true, "SetWriteDeadline": true}

// The runtime's clock stands still while a machine is suspended. Processes decide by the
// clock that doesn't, and read the runtime's for the deadlines of connections and the time of
// day alone.
func TestProcessesReadTheClockThatCountsSuspensions(t *testing.T) {
	for _, layer := range []string{"transport", "daemon", "platform"} {
		eachFile(t, layer, func(path string, f *ast.File) {
			if strings.HasPrefix(path, filepath.Join("..", "transport", "wallclock")) {
				return
			}
			allowed := map[ast.Node]bool{}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.CallExpr:
					if sel, ok := n.Fun.(*ast.SelectorExpr); ok && steadyOnly[sel.Sel.Name] {
						allow(allowed, n.Args...)
					}
				case *ast.SelectorExpr:
					if strings.HasPrefix(n.Sel.Name, "Unix") {
						allow(allowed, n.X)
					}
					if isClock(n) && !allowed[n] {
						t.Errorf("%s: time.%s stands still while the machine is suspended; take transport/wallclock", path, n.Sel.Name)
					}
				}
				return true
			})
		})
	}
}

// allow marks all nodes below expressions.
func allow(allowed map[ast.Node]bool, expressions ...ast.Expr) {
	for _, e := range expressions {
		ast.Inspect(e, func(n ast.Node) bool {
			allowed[n] = true
			return true
		})
	}
}

// isClock reports whether a selector reads the runtime's clock.
func isClock(sel *ast.SelectorExpr) bool {
	id, ok := sel.X.(*ast.Ident)
	return ok && id.Name == "time" && (sel.Sel.Name == "Now" || sel.Sel.Name == "Since" || sel.Sel.Name == "Until")
}
