package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/standin/answer"
	"github.com/thymerack/thymerack/standin/serving"
)

// The object names of chunks and answers.
const (
	objectText = "text_completion"
	objectChat = "chat.completion.chunk"
)

// foreign is the prompt whose answer the wrong_answer fault sends.
const foreign = "the prompt of somebody else"

// stream writes a sequence to its caller, with the faults in force.
type stream struct {
	engine *Engine
	seq    *Sequence
	faults streamFaults
	conn   net.Conn
	// held is an event that the reorder fault keeps back.
	held *Token
	sent int
}

// promptKey is the key of the answer to a request.
func promptKey(r engineapi.GenerateRequest) string {
	return answer.Key(answer.Text(r.Prompt, r.Messages))
}

// errCut ends the body of a stream that breaks off: the server closes the
// connection without the body's end, after all that was written before.
var errCut = errors.New("the engine broke off the stream")

// body returns the stream as the body of an answer. Each event is taken up by the
// server before the next is made, so that a cut loses nothing of what went before.
func (s *stream) body() io.Reader {
	r, w := io.Pipe()
	go func() { _ = w.CloseWithError(s.write(bufio.NewWriter(w))) }()
	return r
}

// write sends the tokens as SSE events. The end mark follows only a whole
// answer; else the stream is cut.
func (s *stream) write(w *bufio.Writer) error {
	for t := range readTokens(s.engine, s.seq, s.conn) {
		s.engine.waitHang()
		if s.faults.cut && s.sent >= s.faults.cutAfter {
			s.engine.Abandon(s.seq)
			return s.cut()
		}
		if err := s.token(w, t); err != nil {
			s.engine.Abandon(s.seq)
			return err
		}
	}
	if s.seq.End != Done {
		return errCut
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", engineapi.DoneMark); err != nil {
		return err
	}
	return w.Flush()
}

// cut ends the stream before its end mark: with the body's end if the fault asks
// for it.
func (s *stream) cut() error {
	if s.faults.cutClean {
		return nil
	}
	return errCut
}

// token sends one token, changed as the faults ask.
func (s *stream) token(w *bufio.Writer, t Token) error {
	if s.faults.reorder && t.Finish == "" && s.held == nil {
		s.held = &t
		return nil
	}
	if err := s.event(w, t); err != nil {
		return err
	}
	if s.held != nil {
		held := *s.held
		s.held = nil
		return s.event(w, held)
	}
	return nil
}

// event writes the SSE event of a token and sends it off.
func (s *stream) event(w *bufio.Writer, t Token) error {
	data, err := json.Marshal(s.chunk(t))
	if err != nil {
		return fmt.Errorf("event %d: %w", t.Seq, err)
	}
	times := 1
	if s.faults.double {
		times = 2
	}
	for range times {
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return err
		}
	}
	s.sent++
	return w.Flush()
}

func (s *stream) chunk(t Token) engineapi.Chunk {
	chunk := engineapi.Chunk{
		ID:      s.seq.Attempt,
		Object:  objectText,
		Model:   s.seq.Model,
		Attempt: s.seq.Attempt,
		Seq:     t.Seq,
	}
	if s.faults.wrong {
		chunk.Attempt = "of-another-" + s.seq.Attempt
		t.Text = answer.Token(answer.Key(foreign), t.Seq)
	}
	choice := engineapi.Choice{Text: t.Text}
	if s.seq.Chat {
		chunk.Object = objectChat
		choice = engineapi.Choice{Delta: &engineapi.Message{Role: "assistant", Content: t.Text}}
	}
	if t.Finish != "" {
		choice.FinishReason = &t.Finish
	}
	chunk.Choices = []engineapi.Choice{choice}
	return chunk
}

// whole answers with all tokens in one JSON chunk, whose number is that of the
// last token.
func (s *stream) whole(c fiber.Ctx) error {
	var text strings.Builder
	last := Token{}
	for t := range readTokens(s.engine, s.seq, s.conn) {
		text.WriteString(t.Text)
		last = t
	}
	if s.seq.End != Done {
		return serving.Cut(c)
	}
	last.Text = text.String()
	return c.JSON(s.chunk(last))
}
