package load

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/thymerack/thymerack/standin/answer"
)

// Defect tells what is wrong with an answer.
type Defect string

// The defects of an answer.
const (
	// DefectForeign is a token of another prompt's answer.
	DefectForeign Defect = "foreign"
	// DefectDoubled is a token that came before.
	DefectDoubled Defect = "doubled"
	// DefectMissing is a token left out.
	DefectMissing Defect = "missing"
	// DefectEnd is a wrong end: too early, too late or for a wrong reason.
	DefectEnd Defect = "end"
	// DefectNumber is an event whose number isn't its token's.
	DefectNumber Defect = "number"
	// DefectShape is an event that can't be read.
	DefectShape Defect = "shape"
)

// DefectError says what is wrong with an answer and where.
type DefectError struct {
	Defect Defect
	Detail string
}

// Error implements error.
func (e *DefectError) Error() string { return string(e.Defect) + ": " + e.Detail }

// Checker checks that an answer holds every token of its own prompt, once and
// in order, and the right end.
type Checker struct {
	key    string
	total  int
	finish string
	next   int
	ended  bool
}

// NewChecker expects the answer to a prompt.
func NewChecker(text string, maxTokens int) *Checker {
	total, finish := answer.Length(text, maxTokens)
	return &Checker{key: answer.Key(text), total: total, finish: finish}
}

// Restart expects the whole answer anew; what came before is thrown away.
func (c *Checker) Restart() {
	c.next = 0
	c.ended = false
}

// Next is the number of the next token expected.
func (c *Checker) Next() int { return c.next }

// Event takes one event: the number of its last token, its text (one or more
// tokens; none in a closing event) and its finish reason. The error is a
// *DefectError.
func (c *Checker) Event(number int, text, finish string) error {
	if c.ended {
		return &DefectError{DefectEnd, fmt.Sprintf("event %d after the last token", number)}
	}
	tokens := strings.Fields(text)
	for _, t := range tokens {
		if err := c.token(t); err != nil {
			return err
		}
	}
	if len(tokens) > 0 && number != c.next-1 {
		return &DefectError{DefectNumber, fmt.Sprintf("event %d holds token %d", number, c.next-1)}
	}
	if finish == "" {
		return nil
	}
	c.ended = true
	if c.next != c.total || finish != c.finish {
		return &DefectError{DefectEnd, fmt.Sprintf("finish %q after %d tokens, not %q after %d", finish, c.next, c.finish, c.total)}
	}
	return nil
}

// token takes one token, key:i.
func (c *Checker) token(t string) error {
	key, digits, _ := strings.Cut(t, ":")
	i, err := strconv.Atoi(digits)
	switch {
	case key != c.key || err != nil:
		return &DefectError{DefectForeign, fmt.Sprintf("token %q, not %s:%d", t, c.key, c.next)}
	case i < c.next:
		return &DefectError{DefectDoubled, fmt.Sprintf("token %d again, not %d", i, c.next)}
	case i > c.next:
		return &DefectError{DefectMissing, fmt.Sprintf("token %d, not %d", i, c.next)}
	}
	c.next++
	return nil
}

// End takes the end mark.
func (c *Checker) End() error {
	if !c.ended {
		return &DefectError{DefectEnd, fmt.Sprintf("the end mark came after %d of %d tokens without a finish reason", c.next, c.total)}
	}
	return nil
}
