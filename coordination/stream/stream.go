// Package stream checks the events of one attempt: that they are this attempt's
// own, each token comes once and in order, and the answer ends with its mark.
package stream

import (
	"errors"

	"github.com/thymerack/thymerack/coordination/upstream"
)

// maxReorderDistance is how many events may wait for a missing earlier one.
const maxReorderDistance = 64

// The ways in which a stream fails to be a whole answer.
var (
	// ErrTruncated says that the connection ended without the end mark.
	ErrTruncated = errors.New("the stream ended without its end mark; resume it from the tokens already given")
	// ErrGap says that a token is missing.
	ErrGap = errors.New("a token of the stream is missing; resume it from the tokens already given")
)

// Counts says what a Checker has thrown away.
type Counts struct {
	// Foreign events carried another attempt's id.
	Foreign int
	// Duplicate events had been seen before.
	Duplicate int
	// Reordered events came before an earlier one and were held back.
	Reordered int
}

// Checker checks one attempt. It isn't safe for concurrent use.
type Checker struct {
	attempt  string
	nextSeq  int
	buffered map[int]upstream.Event
	finish   string
	ended    bool
	counts   Counts
}

// NewChecker returns a checker for an attempt whose first event must be
// numbered next.
func NewChecker(attempt string, next int) *Checker {
	return &Checker{attempt: attempt, nextSeq: next}
}

// Accept takes one event and calls give for every token that is now in order.
// It returns ErrGap when the missing event can't be waited for any longer.
func (c *Checker) Accept(e upstream.Event, deliver func(upstream.Event)) error {
	if e.End {
		return c.acceptEnd()
	}
	if e.Attempt != c.attempt {
		c.counts.Foreign++
		return nil
	}
	if e.Seq < c.nextSeq || c.finish != "" {
		c.counts.Duplicate++
		return nil
	}
	if e.Seq > c.nextSeq {
		return c.buffer(e)
	}
	c.advance(e, deliver)
	for {
		held, ok := c.buffered[c.nextSeq]
		if !ok {
			return nil
		}
		delete(c.buffered, c.nextSeq)
		c.advance(held, deliver)
	}
}

// Complete reports whether the last token and then the end mark have come.
func (c *Checker) Complete() bool { return c.ended && c.finish != "" }

// Counts returns what was thrown away so far.
func (c *Checker) Counts() Counts { return c.counts }

func (c *Checker) advance(e upstream.Event, deliver func(upstream.Event)) {
	c.nextSeq++
	c.finish = e.Finish
	deliver(e)
}

func (c *Checker) buffer(e upstream.Event) error {
	if _, ok := c.buffered[e.Seq]; ok {
		c.counts.Duplicate++
		return nil
	}
	if e.Seq-c.nextSeq > maxReorderDistance {
		return ErrGap
	}
	if c.buffered == nil {
		c.buffered = map[int]upstream.Event{}
	}
	c.counts.Reordered++
	c.buffered[e.Seq] = e
	return nil
}

// acceptEnd takes the acceptEnd mark. One that comes before the last token is no acceptEnd: the
// mark carries no attempt id, so it proves nothing by itself.
func (c *Checker) acceptEnd() error {
	if c.finish == "" {
		if len(c.buffered) > 0 {
			return ErrGap
		}
		return ErrTruncated
	}
	c.ended = true
	return nil
}
