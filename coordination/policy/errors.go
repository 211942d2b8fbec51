package policy

import (
	"errors"
	"fmt"
	"strings"

	"github.com/expr-lang/expr/file"

	"github.com/thymerack/thymerack/state"
)

// CompileError says why a policy can't be accepted and how to mend it.
type CompileError struct {
	Policy string
	Hook   state.PolicyHook
	// Line and Column count from 1; both are 0 when the problem has no place.
	Line, Column int
	// Problem says what is wrong.
	Problem string
	// Remedy says what to do.
	Remedy string
}

// Error implements error.
func (e *CompileError) Error() string {
	at := ""
	if e.Line > 0 {
		at = fmt.Sprintf(", line %d, column %d", e.Line, e.Column)
	}
	return fmt.Sprintf("policy %q (%s)%s: %s; %s", e.Policy, e.Hook, at, e.Problem, e.Remedy)
}

// RunError says that a policy failed at run time. The request went on with the
// built-in decision.
type RunError struct {
	Policy string
	Hook   state.PolicyHook
	// Problem says what went wrong.
	Problem string
	// Cause is the error of the program, if it gave one.
	Cause error
}

// Error implements error.
func (e *RunError) Error() string {
	return fmt.Sprintf("policy %q (%s) failed and had no say: %s; mend or remove the policy, and check it against recorded requests", e.Policy, e.Hook, e.Problem)
}

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Cause }

// Failures is told of policies that fail at run time.
type Failures interface {
	// PolicyFailed is called for every failure, on the path of the request: it
	// must be quick and safe for concurrent use.
	PolicyFailed(e *RunError)
}

// placed returns the message and the place, counted from 1, of a program's error.
// An error without a place is cut to its first line: after it, the compiler of
// expr puts a stack trace.
func placed(err error) (message string, line, column int) {
	var at *file.Error
	if !errors.As(err, &at) {
		message, _, _ = strings.Cut(err.Error(), "\n")
		return message, 0, 0
	}
	return at.Message, at.Line, at.Column + 1
}
