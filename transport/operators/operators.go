// Package operators answers the operators' calls over HTTP.
package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/thymerack/thymerack/protocol/operatorapi"
	"github.com/thymerack/thymerack/state"
)

// callTimeout bounds one operator's call.
const callTimeout = 10 * time.Second

// Backend does what the operators ask for. Its errors are *Error, or any error
// whose message names the remedy.
type Backend interface {
	Status(ctx context.Context) operatorapi.Status
	Hosts(ctx context.Context) []operatorapi.Host
	Upstreams(ctx context.Context) []operatorapi.Upstream
	Config(ctx context.Context) (operatorapi.ConfigObject, error)
	Edit(ctx context.Context, base uint64, value []byte) (uint64, error)
	Check(ctx context.Context, value []byte) error
	PolicyCheck(ctx context.Context, value []byte) (operatorapi.PolicyChecked, error)
	PolicyDiff(ctx context.Context, value []byte) (operatorapi.PolicyDiffed, error)
	ConfigStatus(ctx context.Context) operatorapi.ConfigStatus
	Order(ctx context.Context, engine string) (state.Order, error)
	Request(ctx context.Context, engine string, r operatorapi.OrderRequest) (state.Order, error)
	WhyRequest(ctx context.Context, id, host string) (operatorapi.Why, error)
	WhyEngine(ctx context.Context, engine string) (operatorapi.Why, error)
	Claim(ctx context.Context, key string) (state.Claim, error)
	SetLogLevel(level string) error
	Metrics(w io.Writer)
}

// Error is a refused call with its HTTP status.
type Error struct {
	Status  int
	Kind    string
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// API mounts the operators' routes on an app.
type API struct {
	backend Backend
	tokens  *Tokens
}

// New returns an API; both arguments are required.
func New(b Backend, t *Tokens) (*API, error) {
	if b == nil || t == nil {
		return nil, errors.New("operators: backend and tokens are required; pass both")
	}
	return &API{backend: b, tokens: t}, nil
}

// Mount adds the routes. Metrics are open, as scrapers expect.
func (a *API) Mount(app *fiber.App) {
	app.Get("/metrics", a.metrics)
	g := app.Group("/admin/v1", a.authenticate)
	g.Get("/status", answer(func(ctx context.Context, _ fiber.Ctx) (any, error) { return a.backend.Status(ctx), nil }))
	g.Get("/hosts", answer(func(ctx context.Context, _ fiber.Ctx) (any, error) { return a.backend.Hosts(ctx), nil }))
	g.Get("/upstreams", answer(func(ctx context.Context, _ fiber.Ctx) (any, error) { return a.backend.Upstreams(ctx), nil }))
	g.Get("/config", answer(func(ctx context.Context, _ fiber.Ctx) (any, error) { return a.backend.Config(ctx) }))
	g.Put("/config", answer(a.edit))
	g.Get("/config/status", answer(func(ctx context.Context, _ fiber.Ctx) (any, error) { return a.backend.ConfigStatus(ctx), nil }))
	g.Post("/config/check", answer(a.check))
	g.Post("/policy/check", answer(func(ctx context.Context, c fiber.Ctx) (any, error) {
		return a.backend.PolicyCheck(ctx, bytes.Clone(c.Body()))
	}))
	g.Post("/policy/diff", answer(func(ctx context.Context, c fiber.Ctx) (any, error) {
		return a.backend.PolicyDiff(ctx, bytes.Clone(c.Body()))
	}))
	g.Get("/engines/:name/order", answer(func(ctx context.Context, c fiber.Ctx) (any, error) {
		return a.backend.Order(ctx, strings.Clone(c.Params("name")))
	}))
	g.Post("/engines/:name/order", answer(a.order))
	g.Get("/why/request/:id", answer(func(ctx context.Context, c fiber.Ctx) (any, error) {
		return a.backend.WhyRequest(ctx, strings.Clone(c.Params("id")), strings.Clone(c.Query("host")))
	}))
	g.Get("/why/engine/:name", answer(func(ctx context.Context, c fiber.Ctx) (any, error) {
		return a.backend.WhyEngine(ctx, strings.Clone(c.Params("name")))
	}))
	g.Get("/claims/:key", answer(func(ctx context.Context, c fiber.Ctx) (any, error) {
		return a.backend.Claim(ctx, strings.Clone(c.Params("key")))
	}))
	g.Put("/log/level", answer(a.logLevel))
}

func (a *API) authenticate(c fiber.Ctx) error {
	token, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !a.tokens.Good(token) {
		return problem(c, &Error{http.StatusUnauthorized, "unauthorized", "the call carries no operator's token; pass one with --token or THYMECTL_TOKEN"})
	}
	return c.Next()
}

// answer wraps a call: a time limit, JSON out, errors as problems.
func answer(call func(ctx context.Context, c fiber.Ctx) (any, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		ctx, stop := context.WithTimeout(context.Background(), callTimeout)
		defer stop()
		out, err := call(ctx, c)
		if err != nil {
			return problem(c, err)
		}
		return c.JSON(out)
	}
}

func problem(c fiber.Ctx, err error) error {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{http.StatusServiceUnavailable, "failed", err.Error()}
	}
	return c.Status(e.Status).JSON(operatorapi.Problem{Error: e.Message, Kind: e.Kind})
}

func (a *API) edit(ctx context.Context, c fiber.Ctx) (any, error) {
	base, err := strconv.ParseUint(c.Query("base"), 10, 64)
	if err != nil {
		return nil, &Error{http.StatusBadRequest, "no_base", "the edit names no version; pass base=VERSION, the version it was made on"}
	}
	version, err := a.backend.Edit(ctx, base, bytes.Clone(c.Body()))
	return operatorapi.ConfigWritten{Version: version}, err
}

func (a *API) check(ctx context.Context, c fiber.Ctx) (any, error) {
	if err := a.backend.Check(ctx, bytes.Clone(c.Body())); err != nil {
		return operatorapi.Checked{Problem: err.Error()}, nil
	}
	return operatorapi.Checked{OK: true}, nil
}

func (a *API) order(ctx context.Context, c fiber.Ctx) (any, error) {
	var r operatorapi.OrderRequest
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		return nil, &Error{http.StatusBadRequest, "bad_json", "the body is not an order (" + err.Error() + "); send {\"action\": ...}"}
	}
	return a.backend.Request(ctx, strings.Clone(c.Params("name")), r)
}

func (a *API) logLevel(_ context.Context, c fiber.Ctx) (any, error) {
	var l operatorapi.LogLevel
	if err := json.Unmarshal(c.Body(), &l); err != nil {
		return nil, &Error{http.StatusBadRequest, "bad_json", "the body is not a level (" + err.Error() + "); send {\"level\": \"debug\"}"}
	}
	if err := a.backend.SetLogLevel(l.Level); err != nil {
		return nil, &Error{http.StatusBadRequest, "bad_level", err.Error()}
	}
	return l, nil
}

func (a *API) metrics(c fiber.Ctx) error {
	var b bytes.Buffer
	a.backend.Metrics(&b)
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Send(b.Bytes())
}
