// Package stream validates the event stream of one attempt: it discards events of
// other attempts and duplicates, puts reordered tokens in order, and detects missing
// tokens and a missing end mark.
package stream

import (
	"errors"

	"github.com/thymerack/thymerack/coordination/upstream"
)

// maxReorderDistance bounds how far an event's number may be ahead of the next expected
// one, and so how many events are buffered for a missing one.
const maxReorderDistance = 64

// The errors of an incomplete stream. In both cases the answer can be resumed from the
// tokens already delivered.
var (
	// ErrTruncated means that the stream ended, or its end mark arrived, before the
	// last token.
	ErrTruncated = errors.New("the stream ended without its end mark; resume it from the tokens already given")
	// ErrGap means that a token is missing.
	ErrGap = errors.New("a token of the stream is missing; resume it from the tokens already given")
)

// Counts counts the irregular events that a Checker received.
type Counts struct {
	// Foreign events carried another attempt's id and were discarded.
	Foreign int
	// Duplicate events repeated a token, or followed the last one, and were discarded.
	Duplicate int
	// Reordered events arrived ahead of a missing one and were buffered.
	Reordered int
}

// Checker validates the stream of one attempt. It isn't safe for concurrent use.
type Checker struct {
	attempt string
	// nextSeq is the number of the next token to deliver.
	nextSeq int
	// buffered holds reordered events by their number.
	buffered map[int]upstream.Event
	// finish is the finish reason, which arrives with the last token.
	finish string
	// ended is set once the end mark has arrived after the last token.
	ended  bool
	counts Counts
}

// NewChecker returns a checker for the attempt with this id, whose first event must have
// the number next.
func NewChecker(attempt string, next int) *Checker {
	return &Checker{attempt: attempt, nextSeq: next}
}

// Accept processes one event and calls deliver for every token that is now in order. It
// returns ErrGap when an event is too far ahead of a missing one, or the end mark arrives
// while one is missing, and ErrTruncated when the end mark precedes the last token.
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

// Complete reports whether the last token and then the end mark have arrived.
func (c *Checker) Complete() bool { return c.ended && c.finish != "" }

// Counts returns the irregular events received so far.
func (c *Checker) Counts() Counts { return c.counts }

// advance delivers the event that is next in order.
func (c *Checker) advance(e upstream.Event, deliver func(upstream.Event)) {
	c.nextSeq++
	c.finish = e.Finish
	deliver(e)
}

// buffer keeps a reordered event until the missing ones have arrived.
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

// acceptEnd processes the end mark. The mark carries no attempt id, so it may belong to
// another attempt: it completes the stream only after the last token.
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
