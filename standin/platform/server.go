// Package platform stands in for the platform's object API and host list. It
// keeps everything in memory, limits the rates of calls, counts each call per
// caller, and fails on demand.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"golang.org/x/time/rate"

	"github.com/thymerack/thymerack/protocol/platformapi"
	"github.com/thymerack/thymerack/standin/serving"
	"github.com/thymerack/thymerack/state"
)

// Limits that don't depend on the options.
const (
	maxValueBytes = 1 << 20
	maxWait       = time.Minute
	// burstSeconds is the part of a second's calls that may come at once.
	burstSeconds = 0.25
	// pollClosed is how often a waiting call looks whether its caller is there.
	pollClosed = 100 * time.Millisecond
)

// Options are the settings of a platform.
type Options struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// HistoryLimit is the number of changes of a kind that a watch can go back.
	HistoryLimit int
	// HostLag is the time until a change of the host list is shown.
	HostLag time.Duration
	// Hosts are the first rows of the host list.
	Hosts []state.Listed
	// Objects exist from the start; their versions are ignored.
	Objects []platformapi.Object
}

func (o Options) validate() error {
	if o.WritesPerSecond <= 0 || o.ReadsPerSecond <= 0 {
		return errors.New("a rate limit of the platform isn't positive; give both in calls a second")
	}
	if o.HistoryLimit < 1 {
		return errors.New("the platform's history limit is below 1; give the number of changes kept for each kind")
	}
	return nil
}

// Server is the platform behind its HTTP API.
type Server struct {
	store    *Store
	hosts    *Hosts
	faults   *faults
	accounts *accounts
	writes   *rate.Limiter
	reads    *rate.Limiter
}

// New returns a platform, or an error that names the wrong option.
func New(o Options) (*Server, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		store:    NewStore(o.HistoryLimit),
		hosts:    NewHosts(o.Hosts, o.HostLag),
		faults:   newFaults(),
		accounts: newAccounts(),
		writes:   newLimiter(o.WritesPerSecond),
		reads:    newLimiter(o.ReadsPerSecond),
	}
	for _, obj := range o.Objects {
		if _, err := s.store.Put(obj.Kind, obj.Name, 0, obj.Value); err != nil {
			return nil, fmt.Errorf("first object %s/%s: %w", obj.Kind, obj.Name, err)
		}
	}
	return s, nil
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// App returns the HTTP application.
func (s *Server) App() *fiber.App {
	app := serving.NewApp("platform")
	app.Get("/v1/objects/:kind/+", s.call(opGet, s.reads, s.get))
	app.Put("/v1/objects/:kind/+", s.call(opPut, s.writes, s.put))
	app.Delete("/v1/objects/:kind/+", s.call(opDelete, s.writes, s.remove))
	app.Get("/v1/objects/:kind", s.call(opList, s.reads, s.list))
	app.Get("/v1/watch/:kind", s.call(opWatch, s.reads, s.watch))
	app.Get("/v1/hosts", s.call(opHosts, s.reads, s.listHosts))
	app.Get("/stats", func(c fiber.Ctx) error { return c.JSON(s.accounts.stats()) })
	app.Post("/fault", s.setFault)
	app.Post("/fault/hosts", s.changeHosts)
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendStatus(fiber.StatusOK) })
	return app
}

// call counts a call, applies the faults in force and the rate limit, and then
// runs the operation.
func (s *Server) call(op string, limit *rate.Limiter, run fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		used := Usage{Calls: 1, BytesIn: int64(len(c.Body()))}
		defer func() {
			used.BytesOut = int64(len(c.Response().Body()))
			s.accounts.add(c.Get(platformapi.HeaderCaller), op, used)
		}()
		if s.down() {
			return serving.Cut(c)
		}
		time.Sleep(s.faults.slowness())
		if !limit.Allow() {
			used.Refused = 1
			c.Set(fiber.HeaderRetryAfter, "1")
			return problem(c, fiber.StatusTooManyRequests, "too many calls a second; wait and spread them", 0)
		}
		if err := run(c); err != nil {
			return err
		}
		// A call that waited may have met an outage meanwhile.
		if waits(op) && s.down() {
			return serving.Cut(c)
		}
		return nil
	}
}

// waits reports whether calls of an operation wait for a change.
func waits(op string) bool { return op == opWatch || op == opHosts }

// down reports whether the call gets no answer; an outage that hangs holds it
// until the reset.
func (s *Server) down() bool {
	mode, cleared := s.faults.present()
	if mode == ModeHang {
		<-cleared
	}
	return mode != ""
}

func (s *Server) get(c fiber.Ctx) error {
	kind, name, err := objectName(c)
	if err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	o, ok := s.store.Get(kind, name)
	if !ok {
		return problem(c, fiber.StatusNotFound, "the object does not exist; create it first", 0)
	}
	return c.JSON(o)
}

func (s *Server) put(c fiber.Ctx) error {
	kind, name, err := objectName(c)
	if err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	ifVersion, err := number(c, "if_version")
	if err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	value := bytes.Clone(c.Body())
	if len(value) > maxValueBytes {
		return problem(c, fiber.StatusRequestEntityTooLarge, "the value is above one megabyte; split it", 0)
	}
	version, err := s.store.Put(kind, name, ifVersion, value)
	return s.written(c, version, err)
}

func (s *Server) remove(c fiber.Ctx) error {
	kind, name, err := objectName(c)
	if err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	ifVersion, err := number(c, "if_version")
	if err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	version, err := s.store.Delete(kind, name, ifVersion)
	return s.written(c, version, err)
}

// written answers a write; after a successful one the answer may be lost.
func (s *Server) written(c fiber.Ctx, version uint64, err error) error {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return problem(c, fiber.StatusConflict, conflict.Error(), conflict.Present)
	}
	if s.faults.loseAnswer() {
		return serving.Cut(c)
	}
	return c.JSON(platformapi.Written{Version: version})
}

func (s *Server) list(c fiber.Ctx) error {
	return c.JSON(s.store.List(c.Params("kind")))
}

func (s *Server) watch(c fiber.Ctx) error {
	after, err := number(c, "after")
	if err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	ctx, cancel, err := s.waitContext(c)
	if err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	defer cancel()
	return c.JSON(s.store.Watch(ctx, c.Params("kind"), after))
}

func (s *Server) listHosts(c fiber.Ctx) error {
	after, err := number(c, "after")
	if err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	ctx, cancel, err := s.waitContext(c)
	if err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	defer cancel()
	return c.JSON(s.hosts.List(ctx, after))
}

func (s *Server) setFault(c fiber.Ctx) error {
	var f Fault
	if err := serving.Decode(c, &f); err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	switch f.Fault {
	case FaultWatchGap:
		s.store.ForgetHistory()
		return c.SendStatus(fiber.StatusNoContent)
	case FaultStaleHosts:
		s.hosts.Freeze(true)
		return c.SendStatus(fiber.StatusNoContent)
	case FaultReset:
		s.hosts.Freeze(false)
	}
	if err := s.faults.set(f); err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) changeHosts(c fiber.Ctx) error {
	var change HostChange
	if err := serving.Decode(c, &change); err != nil {
		return problem(c, fiber.StatusBadRequest, err.Error(), 0)
	}
	s.hosts.Change(change)
	return c.SendStatus(fiber.StatusNoContent)
}

// objectName returns the kind and name of the path.
func objectName(c fiber.Ctx) (kind, name string, err error) {
	name, err = url.PathUnescape(c.Params("+"))
	if err != nil {
		return "", "", fmt.Errorf("the name in the path is not escaped rightly: %w", err)
	}
	return c.Params("kind"), name, nil
}

// number returns a query parameter; a missing one is 0.
func number(c fiber.Ctx, name string) (uint64, error) {
	text := c.Query(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s is not a number: %w", name, err)
	}
	return n, nil
}

// waitContext ends once the wait asked for is over, the caller has gone or an
// outage begins.
func (s *Server) waitContext(c fiber.Ctx) (context.Context, context.CancelFunc, error) {
	millis, err := number(c, "wait_ms")
	if err != nil {
		return nil, nil, err
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	if wait > pollClosed {
		go serving.CancelOnClose(ctx, cancel, c.RequestCtx().Conn(), pollClosed)
		go cancelOn(ctx, cancel, s.faults.outages())
	}
	return ctx, cancel, nil
}

// cancelOn calls cancel when the event comes before ctx ends.
func cancelOn(ctx context.Context, cancel context.CancelFunc, event <-chan struct{}) {
	select {
	case <-event:
		cancel()
	case <-ctx.Done():
	}
}

func problem(c fiber.Ctx, status int, message string, version uint64) error {
	return c.Status(status).JSON(platformapi.Problem{Error: message, Version: version})
}
