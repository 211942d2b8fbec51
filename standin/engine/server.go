package engine

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/standin/serving"
)

// Times of the server.
const (
	// pollClosed is how often a waiting call looks whether its caller is there.
	pollClosed = 20 * time.Millisecond
	// pullTimeout bounds the transfer of a KV cache.
	pullTimeout = 30 * time.Second
)

// Server is an engine behind its HTTP API.
type Server struct {
	engine *Engine
	client *fasthttp.Client
}

// NewServer returns the server of an engine.
func NewServer(e *Engine) *Server {
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadTimeout:               pullTimeout,
	}
	return &Server{engine: e, client: client}
}

// App returns the HTTP application.
func (s *Server) App() *fiber.App {
	app := serving.NewApp("engine")
	app.Get("/stats", func(c fiber.Ctx) error { return c.JSON(s.engine.Stats()) })
	app.Post("/fault", s.fault)
	app.Use(func(c fiber.Ctx) error {
		s.engine.waitHang()
		return c.Next()
	})
	app.Post("/v1/completions", s.generate)
	app.Post("/v1/chat/completions", s.generate)
	app.Post("/v1/prefill", s.prefill)
	app.Get("/v1/kv/:handle", s.kv)
	app.Post("/v1/cancel", s.cancel)
	app.Get("/v1/load", func(c fiber.Ctx) error { return c.JSON(s.engine.Load()) })
	app.Get("/v1/cache/events", s.cacheEvents)
	app.Post("/v1/orders", s.order)
	app.Get("/v1/orders", func(c fiber.Ctx) error { return c.JSON(s.engine.Show()) })
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendStatus(fiber.StatusOK) })
	return app
}

func (s *Server) generate(c fiber.Ctx) error {
	r, err := request(c)
	if err != nil {
		return fail(c, err)
	}
	if r.KVSource != "" {
		if err := s.pull(r); err != nil {
			return fail(c, err)
		}
	}
	faults := s.engine.streamFaults()
	seq, err := s.engine.Generate(r, r.KVSource != "")
	if err != nil {
		return fail(c, err)
	}
	c.Set(engineapi.HeaderAttempt, r.Attempt)
	out := &stream{engine: s.engine, seq: seq, faults: faults, conn: c.RequestCtx().Conn()}
	if !r.Stream {
		return out.whole(c)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Response().ImmediateHeaderFlush = true
	return c.SendStream(out.body())
}

// request reads a GenerateRequest; the header names the attempt if the body
// doesn't.
func request(c fiber.Ctx) (engineapi.GenerateRequest, error) {
	var r engineapi.GenerateRequest
	if err := serving.Decode(c, &r); err != nil {
		return r, &RequestError{err.Error()}
	}
	if r.Attempt == "" {
		r.Attempt = c.Get(engineapi.HeaderAttempt)
	}
	return r, nil
}

// pull fetches the KV cache that a request names from the engine that holds it.
func (s *Server) pull(r engineapi.GenerateRequest) error {
	status, body, err := s.client.GetTimeout(nil, "http://"+r.KVSource+"/v1/kv/"+r.KVHandle, pullTimeout)
	if err != nil || status != fiber.StatusOK {
		return ErrHandle
	}
	var kv KVExport
	if err := json.Unmarshal(body, &kv); err != nil || kv.Prompt != promptKey(r) || kv.Model != r.Model {
		return ErrHandle
	}
	return nil
}

func (s *Server) prefill(c fiber.Ctx) error {
	r, err := request(c)
	if err != nil {
		return fail(c, err)
	}
	seq, err := s.engine.Prefill(r)
	if err != nil {
		return fail(c, err)
	}
	for range readTokens(s.engine, seq, c.RequestCtx().Conn()) {
		// A prefill gives no tokens; the end of the channel is its end.
	}
	if seq.End != Done {
		return serving.Cut(c)
	}
	c.Set(engineapi.HeaderAttempt, r.Attempt)
	return c.JSON(s.engine.Export(seq))
}

func (s *Server) kv(c fiber.Ctx) error {
	kv, takes, err := s.engine.KV(c.Params("handle"))
	if err != nil {
		return fail(c, err)
	}
	time.Sleep(takes)
	return c.JSON(kv)
}

func (s *Server) cancel(c fiber.Ctx) error {
	var r engineapi.CancelRequest
	if err := serving.Decode(c, &r); err != nil {
		return fail(c, &RequestError{err.Error()})
	}
	s.engine.Cancel(r.Attempt)
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) cacheEvents(c fiber.Ctx) error {
	after, err := strconv.ParseUint(strings.TrimSpace(c.Query("after", "0")), 10, 64)
	if err != nil {
		return fail(c, &RequestError{"after is not a number; give that of the last event received"})
	}
	return c.JSON(s.engine.CacheEvents(after))
}

func (s *Server) order(c fiber.Ctx) error {
	var r engineapi.OrderRequest
	if err := serving.Decode(c, &r); err != nil {
		return fail(c, &RequestError{err.Error()})
	}
	shown, err := s.engine.Order(r)
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(shown)
}

func (s *Server) fault(c fiber.Ctx) error {
	var f Fault
	if err := serving.Decode(c, &f); err != nil {
		return fail(c, &RequestError{err.Error()})
	}
	if err := s.engine.SetFault(f); err != nil {
		return fail(c, err)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// fail answers with the status that belongs to an error.
func fail(c fiber.Ctx, err error) error {
	var stale *StaleFenceError
	status := fiber.StatusBadRequest
	switch {
	case errors.As(err, &stale):
		status = fiber.StatusConflict
	case errors.Is(err, ErrHandle):
		status = fiber.StatusGone
	case errors.Is(err, ErrChanging):
		status = fiber.StatusServiceUnavailable
	}
	return c.Status(status).JSON(engineapi.Problem{Error: err.Error()})
}

// readTokens passes the tokens of a sequence on and gives the sequence up once
// its caller has gone.
func readTokens(e *Engine, seq *Sequence, conn net.Conn) func(yield func(Token) bool) {
	return func(yield func(Token) bool) {
		ticker := time.NewTicker(pollClosed)
		defer ticker.Stop()
		for {
			select {
			case t, open := <-seq.Tokens:
				if !open || !yield(t) {
					return
				}
			case <-ticker.C:
				if serving.ClosedByPeer(conn) {
					e.Abandon(seq)
					return
				}
			}
		}
	}
}
