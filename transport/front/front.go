// Package front is the callers' side of a host: HTTP in, typed requests on, and
// answers or problems back.
package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/answer"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/transport/callerconn"
)

// Dispatcher serves classified requests.
type Dispatcher interface {
	Generate(ctx context.Context, r *dispatch.Request, c *dispatch.Completion, sink dispatch.Sink) error
	Call(ctx context.Context, r *dispatch.Request, c upstream.Call) (upstream.Answer, error)
	// Running counts the calls that go on after their caller was told so.
	Running() int64
}

// Estimator predicts the output of a model request, in tokens.
type Estimator interface {
	Expected(customer, class string, maxTokens int) int
	Learn(customer, class string, tokens int)
}

// Elsewhere finds answers that other hosts hold.
type Elsewhere interface {
	// Announce tells the fleet that this host holds the answer of that id.
	Announce(id string)
	// Fetch reads an answer held elsewhere, from the given token on. It waits a
	// moment for new tokens; a found but silent answer gives an empty chunk.
	// It returns an *UnknownAnswerError when nobody is known to hold it.
	Fetch(ctx context.Context, id, customer string, from int) (RemoteChunk, error)
}

// RemoteChunk is a part of an answer held by another host.
type RemoteChunk struct {
	Model  string
	Chat   bool
	Tokens []string
	Ended  bool
	Finish string
	// Problem and Reason are set when the answer was given up.
	Problem string
	Reason  dispatch.Reason
}

// Observer takes the measures of the callers' side. Durations are from the
// arrival of the request, or from the token before.
type Observer interface {
	FirstToken(customer, class string, d time.Duration)
	BetweenTokens(customer, class string, d time.Duration)
	Whole(customer, class string, d time.Duration, inTime bool)
	Refused(reason string)
}

// Limits bounds what callers may send.
type Limits struct {
	// BodyBytes is the largest body.
	BodyBytes int
	// HeaderBytes is the largest head of a request.
	HeaderBytes int
	// ReadTimeout is the longest time that reading one request may take.
	ReadTimeout time.Duration
	// WriteTimeout is the longest time that a caller may take to receive a part
	// of an answer of at most 64 KiB.
	WriteTimeout time.Duration
	// IdleTimeout closes idle keep-alive connections.
	IdleTimeout time.Duration
	// Connections is the largest number of concurrent connections.
	Connections int
	// MaxTokens is the largest max_tokens, and its default.
	MaxTokens int
}

// Options configures a Server. All fields but Mount are required.
type Options struct {
	Host          string
	FailureDomain string
	Keeper        *snapshot.Keeper
	Dispatcher    Dispatcher
	Estimator     Estimator
	Answers       *answer.Registry
	Elsewhere     Elsewhere
	Observer      Observer
	Policies      Policies
	Log           *slog.Logger
	Limits        Limits
	// ProbeInterval is how often a silent stream is given a comment line, and
	// how soon its headers are sent.
	ProbeInterval time.Duration
	// Isolated reports that the host hears neither the platform nor a peer.
	Isolated func() bool
	// Ready reports that the host has what it needs to serve.
	Ready func() bool
	// Mount adds further routes, for operators and metrics.
	Mount func(app *fiber.App)
}

// Server serves callers. Create it with New.
type Server struct {
	o   Options
	app *fiber.App
	// base is the parent of the work behind all answers.
	base     context.Context
	stopBase context.CancelFunc
	phase    atomic.Int32
	inFlight atomic.Int64
	requests atomic.Uint64
	watch    *callerconn.Watch
	conns    callerconn.Activity
}

// The phases of a server's life.
const (
	phaseServing int32 = iota
	// phaseUnready serves on, but tells the balancer to go elsewhere.
	phaseUnready
	// phaseRefusing answers new work with "not run".
	phaseRefusing
)

// New validates the options and builds the routes.
func New(o Options) (*Server, error) {
	if o.Keeper == nil || o.Dispatcher == nil || o.Estimator == nil || o.Answers == nil || o.Elsewhere == nil ||
		o.Observer == nil || o.Policies == nil || o.Log == nil || o.Isolated == nil || o.Ready == nil {
		return nil, errors.New("front: a required field of Options is nil; set all but Mount")
	}
	if o.Limits.BodyBytes <= 0 || o.Limits.MaxTokens <= 0 || o.ProbeInterval <= 0 {
		return nil, errors.New("front: BodyBytes, MaxTokens and ProbeInterval must be positive")
	}
	s := &Server{o: o, watch: callerconn.NewWatch(callerPoll)}
	s.base, s.stopBase = context.WithCancel(context.Background())
	s.app = fiber.New(fiber.Config{
		BodyLimit:                o.Limits.BodyBytes,
		ReadBufferSize:           o.Limits.HeaderBytes,
		ReadTimeout:              o.Limits.ReadTimeout,
		IdleTimeout:              o.Limits.IdleTimeout,
		Concurrency:              o.Limits.Connections,
		ErrorHandler:             s.onError,
		DisableDefaultDate:       true,
		DisableHeaderNormalizing: false,
		// The library would read a form into a map, and write it from there with other bytes.
		DisablePreParseMultipartForm: true,
	})
	server := s.app.Server()
	server.ConnState = s.conns.Note
	server.Handler = releasesBody(s.knownMethods(server.Handler))
	s.routes()
	return s, nil
}

// releasesBody drops the buffers of large bodies once their requests are answered.
func releasesBody(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer callerconn.ReleaseBody(&ctx.Request)
		next(ctx)
	}
}

func (s *Server) routes() {
	s.app.Use(s.sendAway)
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.readyz)
	s.app.Post("/v1/completions", s.completions)
	s.app.Post("/v1/chat/completions", s.chat)
	s.app.Get("/v1/answers/:id", s.answers)
	s.app.All("/services/:name", s.services)
	s.app.All("/services/:name/*", s.services)
	if s.o.Mount != nil {
		s.o.Mount(s.app)
	}
}

// sendAway closes callers' connections after the response once the host is about
// to leave, so that their next requests go elsewhere.
func (s *Server) sendAway(c fiber.Ctx) error {
	if s.phase.Load() != phaseServing {
		c.Set(fiber.HeaderConnection, "close")
	}
	return c.Next()
}

func (s *Server) readyz(c fiber.Ctx) error {
	if s.phase.Load() != phaseServing || !s.o.Ready() || s.o.Isolated() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// Serve answers connections of ln until the server is shut down.
func (s *Server) Serve(ln net.Listener) error {
	go s.watch.Run(s.base)
	return s.app.Listener(&callerconn.Listener{Listener: ln, WriteLimit: s.o.Limits.WriteTimeout}, fiber.ListenConfig{DisableStartupMessage: true})
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Requests returns the number of requests that came in since the start.
func (s *Server) Requests() uint64 { return s.requests.Load() }

// Unready tells the balancer to send new work elsewhere; work that comes all
// the same is still served.
func (s *Server) Unready() { s.phase.CompareAndSwap(phaseServing, phaseUnready) }

// Drain refuses new work with "not run" and waits until every request is
// finished, its response written, and every ended answer has been kept for its
// time, however long that takes, or until ctx ends. The listener stays open meanwhile: closing it
// earlier would reset connections that the kernel has already accepted.
func (s *Server) Drain(ctx context.Context) error {
	s.phase.Store(phaseRefusing)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for !s.idle() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// idle reports whether nothing is left to finish. A request counts in before it
// looks at the phase and Drain sets the phase before it looks at the counts, so
// one of the two always sees the other.
func (s *Server) idle() bool {
	return s.inFlight.Load() == 0 && s.o.Answers.Len() == 0 && s.o.Dispatcher.Running() == 0 && s.conns.Active() == 0
}

// drainPoll is how often Drain looks whether all work is finished.
const drainPoll = 20 * time.Millisecond

// Close ends everything that is left and closes the listener.
func (s *Server) Close() error {
	s.stopBase()
	return s.conns.Shutdown(func() error { return s.app.ShutdownWithTimeout(closeTimeout) })
}

// closeTimeout bounds the end of the connections: by then nothing is left to
// answer, and the host's process ends after it.
const closeTimeout = time.Second

// newID makes a request id that names the host, so that any host finds it.
func (s *Server) newID() string {
	return s.o.Host + hostSeparator + uuid.Must(uuid.NewV7()).String()
}

// hostSeparator stands between host name and UUID in ids made by hosts.
const hostSeparator = "~"

// HostOfID returns the host that made a request id, or "" for callers' ids.
func HostOfID(id string) string {
	for i := range len(id) {
		if id[i:i+1] == hostSeparator {
			return id[:i]
		}
	}
	return ""
}
