package front

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/thymerack/thymerack/coordination/answer"
	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/transport/callerconn"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// source is an answer to read from, held here or elsewhere.
type source interface {
	// read waits for something after the first from tokens. A timed-out wait
	// gives an empty chunk and no error.
	read(ctx context.Context, from int, wait time.Duration) (answer.Chunk, error)
	model() string
	chat() bool
	promptTokens() int
}

// localSource reads an answer that this host holds. One goroutine reads at a time.
type localSource struct {
	answer *answer.Answer
	// timer is kept from one wait to the next: there is one for each token.
	timer *time.Timer
}

func (l *localSource) read(ctx context.Context, from int, wait time.Duration) (answer.Chunk, error) {
	chunk, changed := l.answer.Poll(from)
	if !chunk.Empty() {
		return chunk, nil
	}
	if l.timer == nil {
		l.timer = time.NewTimer(wait)
	} else {
		l.timer.Reset(wait)
	}
	defer l.timer.Stop()
	for chunk.Empty() {
		select {
		case <-changed:
			chunk, changed = l.answer.Poll(from)
		case <-l.timer.C:
			return answer.Chunk{}, nil
		case <-ctx.Done():
			return answer.Chunk{}, ctx.Err()
		}
	}
	return chunk, nil
}

func (l *localSource) model() string     { return l.answer.Model }
func (l *localSource) chat() bool        { return l.answer.Chat }
func (l *localSource) promptTokens() int { return l.answer.PromptTokens }

// errCallerGone says that the caller closed its connection.
var errCallerGone = errors.New("the caller closed the connection; come back with the request id before the work is ended")

// firstWanted returns the number of the first token that the caller lacks.
func firstWanted(c fiber.Ctx) (int, error) {
	text := c.Get(callerapi.HeaderLastEvent)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < -1 {
		return 0, bad("bad_last_event", "%s is not the number of an event; send the last id received, or leave it out", callerapi.HeaderLastEvent)
	}
	return n + 1, nil
}

// await reads until there is something, the caller leaves or the limit passes;
// a zero limit means none.
func (s *Server) await(conn net.Conn, src source, from int, limit time.Duration) (answer.Chunk, error) {
	started := wallclock.Now()
	for {
		chunk, err := src.read(s.base, from, callerPoll)
		if err != nil || !chunk.Empty() {
			return chunk, err
		}
		if callerconn.Gone(conn) {
			return chunk, errCallerGone
		}
		if limit > 0 && wallclock.Since(started) >= limit {
			return chunk, nil
		}
	}
}

// callerPoll is how often a silent answer's caller is looked for.
const callerPoll = 200 * time.Millisecond

// sendWhole sends the answer as one JSON document.
func (s *Server) sendWhole(c fiber.Ctx, id string, src source) error {
	conn := c.RequestCtx().Conn()
	var text strings.Builder
	n := 0
	for {
		chunk, err := s.await(conn, src, n, 0)
		if err != nil {
			return s.problem(c, id, err)
		}
		for _, token := range chunk.Tokens {
			text.WriteString(token)
		}
		n += len(chunk.Tokens)
		if chunk.End == nil {
			continue
		}
		if chunk.End.Err != nil {
			return s.problem(c, id, chunk.End.Err)
		}
		c.Set(callerapi.HeaderRequestID, id)
		return c.JSON(wholeCompletion(id, src, text.String(), chunk.End.Finish, n))
	}
}

func wholeCompletion(id string, src source, text, finish string, tokens int) callerapi.Completion {
	out := callerapi.Completion{
		ID: id, Object: "text_completion", Created: time.Now().Unix(), Model: src.model(),
		Usage: &callerapi.Usage{PromptTokens: src.promptTokens(), CompletionTokens: tokens, TotalTokens: src.promptTokens() + tokens},
	}
	choice := callerapi.Choice{Text: text, FinishReason: &finish}
	if src.chat() {
		out.Object = "chat.completion"
		choice = callerapi.Choice{Message: &engineapi.Message{Role: "assistant", Content: text}, FinishReason: &finish}
	}
	out.Choices = []callerapi.Choice{choice}
	return out
}

// sendStream sends the answer as server-sent events. Until the first token or
// the probe interval, whichever is sooner, a refusal still gets its own status.
// done is called once the stream has ended, whichever way.
func (s *Server) sendStream(c fiber.Ctx, id string, src source, from int, done func()) error {
	conn := c.RequestCtx().Conn()
	first, err := s.await(conn, src, from, s.o.ProbeInterval)
	if err == nil && first.End != nil && first.End.Err != nil && len(first.Tokens) == 0 {
		err = first.End.Err
	}
	if err != nil {
		defer done()
		return s.problem(c, id, err)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(callerapi.HeaderRequestID, id)
	return c.SendStream(newEventStream(s, id, src, conn, from, first, done))
}
