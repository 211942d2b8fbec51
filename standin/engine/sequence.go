package engine

import (
	"strings"

	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/standin/answer"
)

// End tells how a sequence ended.
type End int

// The ends of a sequence.
const (
	// Done means that every token was produced.
	Done End = iota + 1
	// Cancelled means that the caller gave the attempt up.
	Cancelled
	// Killed means that an order took the engine away.
	Killed
)

// Token is one token of an answer.
type Token struct {
	// Seq numbers the tokens of the whole answer from 0.
	Seq  int
	Text string
	// Finish is "stop" or "length" with the last token, else empty.
	Finish string
}

// Sequence is one attempt being computed. Tokens is closed at its end; End is
// valid after that. The engine never waits for a reader.
type Sequence struct {
	Attempt string
	Model   string
	Chat    bool
	Tokens  chan Token
	End     End

	key      string
	total    int
	finish   string
	next     int
	priority int
	arrival  uint64
	// pending are the prompt tokens not yet computed; started tells that the
	// cached ones are taken off.
	pending  int
	started  bool
	imported bool
	// prompt is the number of prompt tokens.
	prompt   int
	prefixes []uint64
	// prefillOnly sequences produce no tokens.
	prefillOnly bool
}

func newSequence(r engineapi.GenerateRequest, prefillOnly bool) *Sequence {
	text := answer.Text(r.Prompt, r.Messages)
	total, finish := answer.Length(text, r.MaxTokens)
	prompt := answer.Words(text)
	s := &Sequence{
		Attempt:     r.Attempt,
		Model:       r.Model,
		Chat:        len(r.Messages) > 0,
		key:         answer.Key(text),
		total:       total,
		finish:      finish,
		next:        len(r.Given),
		priority:    r.Priority,
		prompt:      prompt,
		pending:     prompt + len(r.Given),
		prefixes:    Prefixes(text + " " + strings.Join(r.Given, "")),
		prefillOnly: prefillOnly,
	}
	s.Tokens = make(chan Token, max(1, s.left()))
	return s
}

// left is the number of tokens still to be produced.
func (s *Sequence) left() int {
	if s.prefillOnly {
		return 0
	}
	return max(0, s.total-s.next)
}

// produce makes the next token and reports whether it was the last. An answer
// whose tokens were all given gets an empty last one.
func (s *Sequence) produce() bool {
	if s.next >= s.total {
		s.Tokens <- Token{Seq: s.next, Finish: s.finish}
		return true
	}
	t := Token{Seq: s.next, Text: answer.Token(s.key, s.next)}
	s.next++
	if s.next == s.total {
		t.Finish = s.finish
	}
	s.Tokens <- t
	return t.Finish != ""
}

// close ends the sequence; the engine's mutex is held.
func (s *Sequence) close(end End) {
	s.End = end
	close(s.Tokens)
}
