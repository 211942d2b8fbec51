package front

import (
	"context"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/thymerack/thymerack/coordination/answer"
	"github.com/thymerack/thymerack/coordination/dispatch"
)

// answers gives a caller the rest of its own answer: from this host, or from
// the host that holds it.
func (s *Server) answers(c fiber.Ctx) error {
	s.inFlight.Add(1)
	release := func() { s.inFlight.Add(-1) }
	id := strings.Clone(c.Params("id"))
	from, err := firstWanted(c)
	if err != nil {
		release()
		return s.problem(c, id, err)
	}
	src, done, err := s.find(c, id, from)
	if err != nil {
		release()
		return s.problem(c, id, err)
	}
	return s.sendStream(c, id, src, from, func() { done(); release() })
}

// find looks for the answer here and then elsewhere. It works while the host
// refuses new work: an answer that is held must be handed out.
func (s *Server) find(c fiber.Ctx, id string, from int) (source, func(), error) {
	v := s.o.Keeper.View()
	if v.Config == nil {
		return nil, nil, s.takesWork(v)
	}
	customer, err := customerOf(c, v)
	if err != nil {
		return nil, nil, err
	}
	if a := s.o.Answers.Find(id, customer.Name); a != nil && s.o.Answers.Attach(a) {
		return &localSource{answer: a}, func() { s.detach(a) }, nil
	}
	return s.remote(id, customer.Name, from)
}

// remote returns the answer that another host holds.
func (s *Server) remote(id, customer string, from int) (source, func(), error) {
	src := &remoteSource{elsewhere: s.o.Elsewhere, id: id, customer: customer}
	// The first fetch tells whether anybody holds the answer, and its kind.
	if _, err := src.read(s.base, from, callerPoll); err != nil {
		return nil, nil, err
	}
	return src, func() {}, nil
}

// remoteSource reads an answer that another host holds.
type remoteSource struct {
	elsewhere Elsewhere
	id        string
	customer  string
	meta      RemoteChunk
}

func (r *remoteSource) read(ctx context.Context, from int, _ time.Duration) (answer.Chunk, error) {
	got, err := r.elsewhere.Fetch(ctx, r.id, r.customer, from)
	if err != nil {
		return answer.Chunk{}, err
	}
	r.meta = got
	out := answer.Chunk{Tokens: got.Tokens}
	if got.Ended {
		out.End = &answer.End{Finish: got.Finish}
		if got.Problem != "" {
			out.End.Err = &dispatch.Refusal{Reason: got.Reason, Message: got.Problem}
		}
	}
	return out, nil
}

func (r *remoteSource) model() string     { return r.meta.Model }
func (r *remoteSource) chat() bool        { return r.meta.Chat }
func (r *remoteSource) promptTokens() int { return 0 }
