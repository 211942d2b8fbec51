package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/thymerack/thymerack/coordination/answer"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/wallclock"
)

func (s *Server) completions(c fiber.Ctx) error { return s.complete(c, false) }

func (s *Server) chat(c fiber.Ctx) error { return s.complete(c, true) }

// modelRequest is a checked model request.
type modelRequest struct {
	view     *snapshot.View
	customer *state.Customer
	chat     bool
	body     callerapi.CompletionRequest
	// id names the answer; chosen tells that the caller made it.
	id     string
	chosen bool
	// from is the first token that the caller lacks.
	from        int
	fingerprint uint64
	digest      quarantine.Digest
}

// complete serves a model request.
func (s *Server) complete(c fiber.Ctx, chat bool) error {
	s.inFlight.Add(1)
	release := func() { s.inFlight.Add(-1) }
	m := &modelRequest{view: s.o.Keeper.View(), chat: chat}
	src, detach, err := s.serve(c, m)
	if err != nil {
		release()
		return s.problem(c, m.id, err)
	}
	done := func() { detach(); release() }
	if m.body.Stream {
		return s.sendStream(c, m.id, src, m.from, done)
	}
	defer done()
	return s.sendWhole(c, m.id, src)
}

// serve checks a request and returns its answer: one that is there already, or a
// new one whose work it starts.
func (s *Server) serve(c fiber.Ctx, m *modelRequest) (source, func(), error) {
	if err := s.check(c, m); err != nil {
		return nil, nil, err
	}
	if src, detach, err := s.resume(m); src != nil || err != nil {
		return src, detach, err
	}
	return s.begin(c, m)
}

// check reads the request. Nothing runs yet.
func (s *Server) check(c fiber.Ctx, m *modelRequest) error {
	var err error
	if m.id, m.chosen, err = s.requestID(c); err != nil {
		return err
	}
	if m.from, err = firstWanted(c); err != nil {
		return err
	}
	if m.from > 0 && !m.chosen {
		return bad("bad_last_event", "%s asks for the rest of an answer without saying which; send its %s", callerapi.HeaderLastEvent, callerapi.HeaderRequestID)
	}
	if m.view.Config == nil {
		return s.takesWork(m.view)
	}
	if m.customer, err = customerOf(c, m.view); err != nil {
		return err
	}
	raw, err := bodyOf(c)
	if err != nil {
		return err
	}
	if m.body, err = decodeCompletion(raw, m.chat, s.o.Limits.MaxTokens); err != nil {
		return err
	}
	m.fingerprint = fingerprint("POST", c.Path(), raw)
	m.digest = quarantine.DigestOf(contentOf(m.customer.Name, "POST", c.Path(), raw))
	return nil
}

// decodeCompletion reads and checks the body of a model request.
func decodeCompletion(body []byte, chat bool, maxTokens int) (callerapi.CompletionRequest, error) {
	var r callerapi.CompletionRequest
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&r); err != nil {
		return r, bad("bad_json", "the body is not a valid request (%v); send a JSON object with model and prompt or messages", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return r, bad("bad_json", "something follows the JSON object; send one object only")
	}
	if r.Model == "" {
		return r, bad("no_model", "the request names no model; add the field model")
	}
	if chat && len(r.Messages) == 0 {
		return r, bad("no_messages", "the request has no messages; add at least one")
	}
	if !chat && r.Prompt == "" {
		return r, bad("no_prompt", "the request has no prompt; add one")
	}
	if r.MaxTokens < 0 || r.MaxTokens > maxTokens {
		return r, bad("bad_max_tokens", "max_tokens is outside 1 to %d; choose one within", maxTokens)
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = maxTokens
	}
	return r, nil
}

// resume finds the answer of an earlier request with the same id, on a host that
// refuses new work as well. A caller that has a part of an answer gets the rest of
// that one or nothing: the start of another would not fit. Without a part, an
// answer that was given up stands in nobody's way.
func (s *Server) resume(m *modelRequest) (source, func(), error) {
	if !m.chosen {
		return nil, nil, nil
	}
	a := s.o.Answers.Find(m.id, m.customer.Name)
	if a != nil && (m.from > 0 || !a.Aborted()) {
		if a.Fingerprint != m.fingerprint {
			return nil, nil, errIDUsed
		}
		if s.o.Answers.Attach(a) {
			return &localSource{answer: a}, func() { s.detach(a) }, nil
		}
	}
	if m.from > 0 {
		return s.remote(m.id, m.customer.Name, m.from)
	}
	return nil, nil, nil
}

var errIDUsed = bad("request_id_used", "the request id belongs to another request; choose a new one")

// begin starts the work of a new answer and attaches the caller to it.
func (s *Server) begin(c fiber.Ctx, m *modelRequest) (source, func(), error) {
	if err := s.takesWork(m.view); err != nil {
		return nil, nil, err
	}
	service := m.view.ServiceOfModel(m.body.Model)
	if service == nil {
		return nil, nil, &badRequest{fiber.StatusNotFound, "unknown_model", "no service serves the model " + quote(m.body.Model) + "; name a configured model"}
	}
	comp := completionOf(m.body, m.chat)
	r, err := s.request(c, m.view, m.customer, ClassifyInput{ID: m.id, Service: service.Name, Model: m.body.Model, PromptTokens: comp.PromptTokens, MaxTokens: comp.MaxTokens})
	if err != nil {
		return nil, nil, err
	}
	r.ID = m.id
	r.Digest = m.digest
	r.MaxTokens = comp.MaxTokens
	comp.ExpectedOutput = s.o.Estimator.Expected(r.Customer, r.Class, comp.MaxTokens)
	return s.open(m, r, comp)
}

// open adds the answer and starts its work, unless a request with the same id
// was faster.
func (s *Server) open(m *modelRequest, r *dispatch.Request, comp *dispatch.Completion) (source, func(), error) {
	ctx, cancel := context.WithCancel(s.base)
	meta := answer.Meta{
		ID: m.id, Customer: r.Customer, Class: r.Class, Model: m.body.Model, Chat: m.chat,
		PromptTokens: comp.PromptTokens, Fingerprint: m.fingerprint,
	}
	for {
		a, opened := s.o.Answers.Open(meta, cancel)
		if !opened && a.Fingerprint != m.fingerprint {
			cancel()
			return nil, nil, errIDUsed
		}
		if !s.o.Answers.Attach(a) {
			continue // it was abandoned a moment ago and gets replaced
		}
		if !opened {
			cancel()
			return &localSource{answer: a}, func() { s.detach(a) }, nil
		}
		if m.chosen {
			s.o.Elsewhere.Announce(m.id)
		}
		s.inFlight.Add(1)
		go s.generate(ctx, cancel, r, comp, a)
		return &localSource{answer: a}, func() { s.leave(m, a) }, nil
	}
}

// leave counts the first caller out. An answer whose id nobody knows but this
// host is forgotten with it.
func (s *Server) leave(m *modelRequest, a *answer.Answer) {
	s.detach(a)
	if !m.chosen && !m.body.Stream {
		s.o.Answers.Remove(a)
	}
}

// generate produces the answer and lets it expire afterwards.
func (s *Server) generate(ctx context.Context, cancel context.CancelFunc, r *dispatch.Request, comp *dispatch.Completion, a *answer.Answer) {
	defer s.inFlight.Add(-1)
	defer cancel()
	sink := &measuredSink{Answer: a, s: s, r: r, last: r.ArrivedAt}
	if err := s.o.Dispatcher.Generate(ctx, r, comp, sink); err != nil {
		a.Fail(err)
	} else {
		s.o.Estimator.Learn(r.Customer, r.Class, len(a.Tokens()))
	}
	s.o.Answers.ScheduleRemoval(s.base, a)
}

func completionOf(body callerapi.CompletionRequest, chat bool) *dispatch.Completion {
	comp := &dispatch.Completion{Model: body.Model, MaxTokens: body.MaxTokens}
	if chat {
		for _, m := range body.Messages {
			comp.Prompt.Messages = append(comp.Prompt.Messages, upstream.Message{Role: m.Role, Content: m.Content})
		}
	} else {
		comp.Prompt.Text = body.Prompt
	}
	comp.PromptTokens, comp.Prefixes = measurePrompt(comp.Prompt)
	return comp
}

func quote(text string) string {
	const longest = 64
	if len(text) > longest {
		text = text[:longest] + "..."
	}
	return `"` + strings.ToValidUTF8(text, "?") + `"`
}

// measuredSink notes when each token comes.
type measuredSink struct {
	*answer.Answer
	s    *Server
	r    *dispatch.Request
	last time.Time
	some bool
}

// Append implements dispatch.Sink.
func (m *measuredSink) Append(token string) {
	now := wallclock.Now()
	if m.some {
		m.s.o.Observer.BetweenTokens(m.r.Customer, m.r.Class, now.Sub(m.last))
	} else {
		m.s.o.Observer.FirstToken(m.r.Customer, m.r.Class, now.Sub(m.r.ArrivedAt))
	}
	m.some = true
	m.last = now
	m.Answer.Append(token)
}

// Finish implements dispatch.Sink.
func (m *measuredSink) Finish(reason string) {
	now := wallclock.Now()
	m.s.o.Observer.Whole(m.r.Customer, m.r.Class, now.Sub(m.r.ArrivedAt), !now.After(m.r.Deadline))
	m.Answer.Finish(reason)
}

func (s *Server) detach(a *answer.Answer) {
	if abandon := s.o.Answers.Detach(a); abandon != nil {
		go abandon(s.base)
	}
}
