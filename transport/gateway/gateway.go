// Package gateway is the callers' side of a host that forwards configured routes:
// it reads requests strictly, hands them to the dispatcher and writes answers back
// unchanged.
package gateway

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/auth"
	"github.com/thymerack/thymerack/coordination/bodies"
	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/coordination/routing"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/callerconn"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// Dispatcher forwards one request. Errors are *forward.Refusal.
type Dispatcher interface {
	Forward(ctx context.Context, r *forward.Request) (*forward.Answer, error)
}

// Codec reads what a request says of itself; it returns the time left that the
// caller named, or zero.
type Codec interface {
	DecodeRequest(h *fasthttp.RequestHeader, r *forward.Request) time.Duration
	// RequestID is the request's ID, or "".
	RequestID(h *fasthttp.RequestHeader) string
	// Key is the key that a request shows, nil for none; false if it shows several.
	Key(h *fasthttp.RequestHeader) (key []byte, ok bool)
}

// Keys knows whose key a caller shows. Errors are *auth.UnknownKeyError and
// *auth.UnprovenError.
type Keys interface {
	Check(ctx context.Context, read time.Time, key []byte) (*state.Customer, error)
}

// Observer takes the measures of the callers' side.
type Observer interface {
	// Answered notes an answer or refusal, and the time since the arrival; for a
	// stream, the time to its first event.
	Answered(r *forward.Request, status int, took time.Duration)
	// Rejected notes a request that was not dispatched.
	Rejected(reason string)
	// ConnectionEnded notes why a caller's connection ended.
	ConnectionEnded(cause callerconn.Cause)
}

// Options configure a Server. All fields but SlowReaderBytes are required.
type Options struct {
	Codec      Codec
	Dispatcher Dispatcher
	// Keys is asked about requests of routes that need a key.
	Keys Keys
	// Table returns the routes in force, or nil before the first configuration.
	Table    func() *routing.Table
	Observer Observer
	Log      *slog.Logger
	// Bodies bounds what is held of requests' bodies.
	Bodies *bodies.Pool
	// MaxBodyBytes and MaxHeaderBytes bound a request.
	MaxBodyBytes, MaxHeaderBytes int
	// MaxConnections bounds the callers' connections.
	MaxConnections int
	// SlowReaderBytes bounds the bytes held for callers that read slowly: beyond it, the connections
	// that have been blocked longest are closed. It also bounds the kernel's send buffer of each
	// connection. 0 for no bound.
	SlowReaderBytes int64
}

const (
	// callerPoll is how often a waiting caller is looked for; the platform wants work
	// for callers that left ended within half a second.
	callerPoll = 150 * time.Millisecond
	// bodyTimeout bounds the reading of one request's body, writeTimeout the writing of
	// one part of an answer.
	bodyTimeout  = 10 * time.Second
	writeTimeout = 5 * time.Second
	// defaultDeadline is used where neither caller nor route names a limit.
	defaultDeadline = 15 * time.Second
)

// Server serves callers. Create it with New.
type Server struct {
	o        Options
	http     *fasthttp.Server
	watch    *callerconn.Watch
	base     context.Context
	stopBase context.CancelFunc
	leaving  atomic.Pointer[Departure]
	conns    callerconn.Activity
	slow     *callerconn.SlowReaders
	// bodies holds the IDs of requests whose body is read, by *fasthttp.RequestHeader: the library
	// forgets the header of a request whose body can't be read.
	bodies sync.Map
	// reading holds the connections on which a body is read, by *bodyReader.
	reading sync.Map
}

// New validates the options.
func New(o Options) (*Server, error) {
	if o.Codec == nil || o.Dispatcher == nil || o.Keys == nil || o.Table == nil || o.Observer == nil || o.Log == nil || o.Bodies == nil {
		return nil, errors.New("gateway: a field of Options is nil; set all of them")
	}
	if o.MaxBodyBytes <= 0 || o.MaxHeaderBytes <= 0 || o.MaxConnections <= 0 {
		return nil, errors.New("gateway: MaxBodyBytes, MaxHeaderBytes and MaxConnections must be positive")
	}
	s := &Server{o: o, watch: callerconn.NewWatch(callerPoll)}
	s.slow = callerconn.NewSlowReaders(callerconn.SlowOptions{MaxBytes: o.SlowReaderBytes, ConnBytes: streamBytes(o.MaxHeaderBytes), Log: o.Log})
	s.conns.Limits, s.conns.Ended = s.limits, s.connectionEnded
	s.base, s.stopBase = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.malformed,
		ConnState:             s.conns.Note,
		Concurrency:           o.MaxConnections,
		ReadBufferSize:        o.MaxHeaderBytes,
		MaxRequestBodySize:    o.MaxBodyBytes,
		StreamRequestBody:     true, // bodies are read into memory that is reserved for them
		HeaderReceived:        s.headerReceived,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
		SecureErrorLogMessage: true, // errors are logged, and headers hold credentials
		// The library would read a form into a map, and write it from there with other bytes.
		DisablePreParseMultipartForm: true,
	}
	return s, nil
}

// quiet drops the library's own lines: malformed requests are counted here, and
// callers that leave are no event.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Serve answers the connections of ln until Close.
func (s *Server) Serve(ln net.Listener) error {
	go s.watch.Run(s.base)
	go s.slow.Run(s.base)
	go s.conns.Run(s.base)
	go s.cutStalled(s.base)
	return s.http.Serve(&callerconn.Listener{Listener: ln, WriteLimit: writeTimeout, Slow: s.slow, SendBuffer: s.sendBuffer()})
}

// Close cuts everything that is left.
func (s *Server) Close() error {
	s.conns.NoteShutdown()
	s.stopBase()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.conns.Shutdown(func() error { return s.http.ShutdownWithContext(ctx) })
	s.conns.ReportServing()
	return err
}

// closeTimeout bounds the end of the listener.
const closeTimeout = 200 * time.Millisecond

// problem writes an answer of the host's own.
func (s *Server) problem(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(text + "\n")
	if s.leaving.Load() != nil {
		ctx.SetConnectionClose()
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	arrived := wallclock.Now()
	s.bodies.Delete(&ctx.Request.Header)
	if err := checkFraming(&ctx.Request.Header); err != nil {
		s.malformed(ctx, err)
		return
	}
	r := &forward.Request{
		Method: string(ctx.Method()), URI: string(ctx.Request.Header.RequestURI()), Host: string(ctx.Request.Header.Host()),
		ArrivedAt: arrived,
	}
	left := s.o.Codec.DecodeRequest(&ctx.Request.Header, r)
	callerconn.SetRequest(ctx.Conn(), r.ID)
	table := s.selectRoute(ctx, r)
	if table == nil {
		return
	}
	r.Service = routing.Backend(r.Route, cmp.Or(r.Resumes, r.ID)) // a stream goes on at its service
	if spec := table.Service(r.Service); spec != nil {
		r.Engine = spec.Engine
	}
	r.Contention = table.Class(r.Service, r.Route, r.Customer)
	r.Deadline = arrived.Add(shortest(left, r.Route.Timeout))
	if s.tooLate(r) {
		s.rejectTooLate(ctx, r)
		return
	}
	body, err := s.readBody(ctx, r, s.bodyLimit(table.Config))
	if err != nil {
		s.bodyFailed(ctx, r, err)
		return
	}
	if s.tooLate(r) { // the reading of the body may have taken long
		body.Release()
		s.rejectTooLate(ctx, r)
		return
	}
	s.forward(ctx, r, body)
}

// selectRoute notes the route and the customer of a request by one table, and returns it; nil if it has
// answered the request.
func (s *Server) selectRoute(ctx *fasthttp.RequestCtx, r *forward.Request) *routing.Table {
	for {
		table := s.o.Table()
		if table == nil {
			s.reject(ctx, r, "no_configuration", fasthttp.StatusServiceUnavailable, "this host has no configuration yet; send the request again")
			return nil
		}
		r.Route, r.ConfigVersion, r.Customer = table.Route(r.Host, r.URI), table.Version, nil
		if r.Route == nil {
			s.reject(ctx, r, "no_route", fasthttp.StatusNotFound, "no route matches; check host and path")
			return nil
		}
		if r.ID == "" {
			s.reject(ctx, r, "no_request_id", fasthttp.StatusBadRequest, "the request has no id; send one of its own for each attempt")
			return nil
		}
		if !table.NeedsKey(r.Route) {
			return table
		}
		key, ok := s.o.Codec.Key(&ctx.Request.Header)
		if !ok {
			s.reject(ctx, r, "several_keys", fasthttp.StatusBadRequest, "the request shows several keys; send one")
			return nil
		}
		customer, err := s.o.Keys.Check(s.base, r.ArrivedAt, key)
		if s.o.Table().Version != table.Version {
			continue // the key may have been checked by the newer table, whose routes may need none
		}
		if err != nil {
			s.rejectKey(ctx, r, err)
			return nil
		}
		r.Customer = customer
		return table
	}
}

// rejectKey answers a request whose key isn't known, or can't be checked.
func (s *Server) rejectKey(ctx *fasthttp.RequestCtx, r *forward.Request, err error) {
	var unproven *auth.UnprovenError
	if errors.As(err, &unproven) {
		s.reject(ctx, r, "key_unproven", fasthttp.StatusServiceUnavailable, err.Error())
		setRetryAfter(ctx, unproven.RetryAfter)
		return
	}
	s.reject(ctx, r, "unknown_key", fasthttp.StatusUnauthorized, err.Error())
}

// shortest is the least of the positive times.
func shortest(a, b time.Duration) time.Duration {
	switch {
	case a <= 0 && b <= 0:
		return defaultDeadline
	case a <= 0:
		return b
	case b <= 0:
		return a
	default:
		return min(a, b)
	}
}

func (s *Server) reject(ctx *fasthttp.RequestCtx, r *forward.Request, reason string, status int, text string) {
	s.discardBody(ctx)
	s.o.Observer.Rejected(reason)
	s.o.Log.Warn("request rejected", "request_id", r.ID, "reason", reason, "status", status, "host", r.Host, "uri", r.URI)
	s.problem(ctx, status, text)
	if status == fasthttp.StatusServiceUnavailable {
		setRetryAfter(ctx, rejectRetry)
	}
}

// rejectRetry is when to come back to a host without a configuration, which has
// one a few answers of the store (4 ms) after its start, or to another than one
// that stops.
const rejectRetry = 50 * time.Millisecond

func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// forward dispatches the request while its caller is watched, and releases its body once it is answered.
func (s *Server) forward(ctx *fasthttp.RequestCtx, r *forward.Request, body *bodies.Reservation) {
	work, cancel := context.WithDeadline(s.base, wallclock.Steady(r.Deadline))
	call := &callerconn.Call{Conn: ctx.Conn(), Cancel: cancel}
	s.watch.Add(call)
	end := func() {
		s.watch.Remove(call)
		cancel()
		body.Release()
	}
	answer, err := s.o.Dispatcher.Forward(work, r)
	took := wallclock.Since(r.ArrivedAt)
	if err != nil {
		end()
		s.refuse(ctx, r, err, took)
		return
	}
	from, length := sourceOf(answer), lengthOf(answer)
	if from != nil && length == untilEnd && !ctx.Request.Header.IsHTTP11() {
		answer, err = s.collect(answer, from)
		from = nil
		if err != nil {
			end()
			s.refuse(ctx, r, err, took)
			return
		}
	}
	s.o.Observer.Answered(r, answer.Head.Status, took)
	s.writeHead(ctx, answer.Head)
	if from != nil {
		ctx.Response.ImmediateHeaderFlush = true
		ctx.Response.SetBodyStream(&passedBody{source: from, conn: ctx.Conn(), done: end}, length)
		return
	}
	end()
	if answer.Head.Bodiless && answer.Head.Length > 0 {
		ctx.Response.SkipBody = true
		ctx.Response.Header.SetContentLength(answer.Head.Length)
		return
	}
	if answer.Counted() {
		ctx.Response.SetBodyStream(newCountedBody(answer), len(answer.Body))
		return
	}
	ctx.Response.SetBodyRaw(answer.Body)
}

func (s *Server) writeHead(ctx *fasthttp.RequestCtx, head *forward.Head) {
	ctx.SetStatusCode(head.Status)
	for _, h := range head.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	if s.leaving.Load() != nil {
		ctx.SetConnectionClose()
	}
}

// refuse writes the final answer to a request that no runner answered. Statuses
// that promise "not run" are used only where that is certain.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, r *forward.Request, err error, took time.Duration) {
	var refusal *forward.Refusal
	if !errors.As(err, &refusal) {
		refusal = &forward.Refusal{Reason: forward.ReasonUnknown, Cause: err}
	}
	status := fasthttp.StatusBadGateway
	switch {
	case refusal.Reason == forward.ReasonQuota:
		status = fasthttp.StatusTooManyRequests
	case refusal.NotRun:
		status = fasthttp.StatusServiceUnavailable
	case refusal.Reason == forward.ReasonDeadline:
		status = fasthttp.StatusGatewayTimeout
	}
	s.o.Observer.Answered(r, status, took)
	s.problem(ctx, status, refusal.Error())
	if refusal.NotRun && refusal.RetryAfter > 0 {
		setRetryAfter(ctx, refusal.RetryAfter)
	}
	if refusal.Reason == forward.ReasonCancelled {
		ctx.SetConnectionClose()
	}
}
