package upstreams

import (
	"encoding/json"
	"errors"
	"io"
	"sync/atomic"

	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// stream is the answer to one attempt at an engine.
type stream struct {
	upstream state.Upstream
	body     *httpclient.Stream
	events   *eventReader
	// ended is true once the end mark has been read.
	ended atomic.Bool
}

var _ upstream.Stream = (*stream)(nil)

// Next implements upstream.Stream. Nothing is read after the end mark. However the connection ends, Next returns
// io.EOF; what is not an end (the context's, a silence, an event that can't be
// read) is an *upstream.SendError.
func (s *stream) Next() (upstream.Event, error) {
	if s.ended.Load() {
		return upstream.Event{}, io.EOF
	}
	data, err := s.events.Next()
	if err != nil {
		return upstream.Event{}, s.failure(err)
	}
	if string(data) == engineapi.DoneMark {
		s.ended.Store(true)
		return upstream.Event{End: true}, nil
	}
	return s.event(data)
}

func (s *stream) event(data []byte) (upstream.Event, error) {
	var c engineapi.Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return upstream.Event{}, badAnswer(s.upstream, "an event of the stream is unreadable", err)
	}
	if len(c.Choices) != 1 {
		return upstream.Event{}, badAnswer(s.upstream, "an event of the stream has no single choice", nil)
	}
	e := upstream.Event{Attempt: c.Attempt, Seq: c.Seq, Text: c.Choices[0].Text}
	if d := c.Choices[0].Delta; d != nil {
		e.Text = d.Content
	}
	if f := c.Choices[0].FinishReason; f != nil {
		e.Finish = *f
	}
	return e, nil
}

func (s *stream) failure(err error) error {
	if errors.Is(err, errEventTooLong) {
		return badAnswer(s.upstream, "the stream can't be read", err)
	}
	var h *httpclient.Error
	if !errors.As(err, &h) {
		return io.EOF
	}
	if isEnd(h) {
		return io.EOF
	}
	return sendError(s.upstream, err)
}

// isEnd reports whether a read failed because the connection is gone.
func isEnd(h *httpclient.Error) bool {
	return !h.Cut() && !h.TimedOut()
}

// Close implements upstream.Stream.
func (s *stream) Close() {
	if s.ended.Load() {
		s.body.Finish()
		return
	}
	s.body.Cut()
}
