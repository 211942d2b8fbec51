package front

import (
	"bytes"
	"context"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/callerconn"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// services serves a call of a plain service.
func (s *Server) services(c fiber.Ctx) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	id, _, err := s.requestID(c)
	if err != nil {
		return s.problem(c, "", err)
	}
	r, call, err := s.classifyCall(c, id)
	if err != nil {
		return s.problem(c, id, refusedUnseen(c, err))
	}
	a, err := s.call(c, r, call)
	if err != nil {
		return s.problem(c, id, err)
	}
	c.Set(callerapi.HeaderRequestID, id)
	if a.ContentType != "" {
		c.Set(fiber.HeaderContentType, a.ContentType)
	}
	c.Set(callerapi.HeaderOutcome, callerapi.OutcomeDone)
	return c.Status(a.Status).Send(a.Body)
}

// first reports the caller's statement that it sends the key for the first time.
func first(c fiber.Ctx) bool { return c.Get(callerapi.HeaderFirst) == "true" }

func (s *Server) classifyCall(c fiber.Ctx, id string) (*dispatch.Request, upstream.Call, error) {
	v := s.o.Keeper.View()
	var call upstream.Call
	if err := s.takesWork(v); err != nil {
		return nil, call, err
	}
	customer, err := customerOf(c, v)
	if err != nil {
		return nil, call, err
	}
	body, err := bodyOf(c)
	if err != nil {
		return nil, call, err
	}
	service := v.Service(c.Params("name"))
	if service == nil || service.Kind != state.KindService {
		return nil, call, &badRequest{fiber.StatusNotFound, "unknown_service", "there is no plain service " + quote(c.Params("name")) + "; name a configured one"}
	}
	key := c.Get(callerapi.HeaderKey)
	if service.NotRepeatable && key == "" {
		return nil, call, bad("no_key_of_call", "calls of %s may not be repeated and need a key; send a UUIDv7 in %s", service.Name, callerapi.HeaderKey)
	}
	r, err := s.request(c, v, customer, ClassifyInput{ID: id, Service: service.Name})
	if err != nil {
		return nil, call, err
	}
	r.ID = id
	r.NotRepeatable = service.NotRepeatable
	call = upstream.Call{
		Method: strings.Clone(c.Method()), Path: servicePath(c),
		ContentType: strings.Clone(c.Get(fiber.HeaderContentType)), Body: bytes.Clone(body),
	}
	r.Digest = quarantine.DigestOf(contentOf(customer.Name, call.Method, service.Name+call.Path, call.Body))
	if service.NotRepeatable {
		r.Key = strings.Clone(key)
		r.First = first(c)
		r.Fingerprint = fingerprint(call.Method, service.Name+call.Path, call.Body)
	}
	return r, call, nil
}

// refusedUnseen is a refusal made before the record of the call's key, if it has
// one, was looked at.
func refusedUnseen(c fiber.Ctx, err error) error {
	if c.Get(callerapi.HeaderKey) == "" || first(c) {
		return err
	}
	return dispatch.ClearNotRun(err)
}

// servicePath is the part of the request's target behind the service's name, as the caller sent it. The router's own
// parameters lack a slash at the end.
func servicePath(c fiber.Ctx) string {
	target := string(c.Request().Header.RequestURI())
	if _, afterScheme, found := strings.Cut(target, "://"); found && !strings.HasPrefix(target, "/") {
		target = afterScheme[max(0, strings.IndexByte(afterScheme, '/')):]
	}
	path, query, hasQuery := strings.Cut(target, "?")
	path = "/" + behindName(path)
	if hasQuery {
		path += "?" + query
	}
	return path
}

// behindName returns what follows the slash behind the service's name in /services/NAME/REST.
func behindName(path string) string {
	parts := strings.SplitN(path, "/", servicePathParts)
	if len(parts) < servicePathParts {
		return ""
	}
	return parts[servicePathParts-1]
}

// servicePathParts is the number of parts of /services/NAME/REST, the empty one before the first slash included.
const servicePathParts = 4

// call runs the call and ends a repeatable one whose caller has left.
func (s *Server) call(c fiber.Ctx, r *dispatch.Request, call upstream.Call) (upstream.Answer, error) {
	ctx, cancel := context.WithDeadline(context.Background(), wallclock.Steady(r.Deadline))
	defer cancel()
	watched := &callerconn.Call{Conn: c.RequestCtx().Conn(), Cancel: cancel}
	s.watch.Add(watched)
	defer s.watch.Remove(watched)
	a, err := s.o.Dispatcher.Call(ctx, r, call)
	if err == nil {
		s.o.Observer.Whole(r.Customer, r.Class, wallclock.Since(r.ArrivedAt), !wallclock.Now().After(r.Deadline))
	}
	return a, err
}
