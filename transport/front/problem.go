package front

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/protocol/callerapi"
)

// badRequest is a request that can't be served as it stands; nothing ran.
type badRequest struct {
	status  int
	kind    string
	message string
}

// Error implements error.
func (b *badRequest) Error() string { return b.message }

func bad(kind, format string, args ...any) *badRequest {
	return &badRequest{status: fiber.StatusBadRequest, kind: kind, message: fmt.Sprintf(format, args...)}
}

// UnknownAnswerError says that no host is known to hold an answer.
type UnknownAnswerError struct{ ID string }

// Error implements error.
func (e *UnknownAnswerError) Error() string {
	return fmt.Sprintf("no host holds an answer with the request id %q: it was never accepted, has expired, or its host is gone; send the request again", e.ID)
}

// report is a problem on its way to the caller.
type report struct {
	status     int
	kind       string
	message    string
	outcome    string
	retryAfter time.Duration
}

// statuses maps a refusal to its HTTP status.
var statuses = map[dispatch.Reason]int{
	dispatch.ReasonOverloaded:   fiber.StatusTooManyRequests,
	dispatch.ReasonNoUpstream:   fiber.StatusServiceUnavailable,
	dispatch.ReasonDeadline:     fiber.StatusServiceUnavailable,
	dispatch.ReasonUpstream:     fiber.StatusServiceUnavailable,
	dispatch.ReasonPolicy:       fiber.StatusTooManyRequests,
	dispatch.ReasonKey:          fiber.StatusBadRequest,
	dispatch.ReasonRunning:      fiber.StatusServiceUnavailable,
	dispatch.ReasonUnknown:      fiber.StatusServiceUnavailable,
	dispatch.ReasonPlatformDown: fiber.StatusServiceUnavailable,
	dispatch.ReasonNotRun:       fiber.StatusServiceUnavailable,
	dispatch.ReasonAnswerLost:   fiber.StatusServiceUnavailable,
	dispatch.ReasonCancelled:    fiber.StatusServiceUnavailable,
	dispatch.ReasonShutdown:     fiber.StatusServiceUnavailable,
	dispatch.ReasonCrashes:      fiber.StatusServiceUnavailable,
}

// statusOf is the status of a refusal; other hosts may know further reasons.
func statusOf(reason dispatch.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return fiber.StatusServiceUnavailable
}

func reportOf(err error) report {
	var b *badRequest
	if errors.As(err, &b) {
		return report{status: b.status, kind: b.kind, message: b.message}
	}
	var r *dispatch.Refusal
	if errors.As(err, &r) {
		return report{status: statusOf(r.Reason), kind: string(r.Reason), message: r.Message, outcome: outcomeOf(r), retryAfter: r.RetryAfter}
	}
	if errors.Is(err, errCallerGone) {
		return report{status: fiber.StatusServiceUnavailable, kind: string(dispatch.ReasonCancelled), message: err.Error()}
	}
	var u *UnknownAnswerError
	if errors.As(err, &u) {
		return report{status: fiber.StatusNotFound, kind: "unknown_answer", message: u.Error(), outcome: callerapi.OutcomeUnknown}
	}
	return report{status: fiber.StatusServiceUnavailable, kind: "internal", message: "the host failed to serve the request; send it again"}
}

func outcomeOf(r *dispatch.Refusal) string {
	switch {
	case r.NotRun:
		return callerapi.OutcomeNotRun
	case r.Reason == dispatch.ReasonAnswerLost:
		return callerapi.OutcomeDone
	case r.Reason == dispatch.ReasonRunning:
		return callerapi.OutcomeRunning
	case r.EarlierMayHaveRun, r.Reason == dispatch.ReasonUnknown:
		return callerapi.OutcomeUnknown
	}
	return ""
}

func (r report) body(id string) callerapi.Problem {
	return callerapi.Problem{Error: callerapi.ProblemDetail{Type: r.kind, Message: r.message, RequestID: id, Outcome: r.outcome}}
}

// problem sends the final answer to a request that isn't served, at once.
func (s *Server) problem(c fiber.Ctx, id string, err error) error {
	r := reportOf(err)
	if !errors.Is(err, errCallerGone) {
		s.o.Observer.Refused(r.kind)
	}
	if id != "" {
		c.Set(callerapi.HeaderRequestID, id)
	}
	if r.outcome != "" {
		c.Set(callerapi.HeaderOutcome, r.outcome)
	}
	if r.retryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds(r.retryAfter)))
	}
	return c.Status(r.status).JSON(r.body(id))
}

// retryAfterSeconds rounds up: the header knows whole seconds only, and coming
// back early would only be refused again.
func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// onError turns the library's own errors into problems.
func (s *Server) onError(c fiber.Ctx, err error) error {
	var f *fiber.Error
	if !errors.As(err, &f) {
		s.o.Log.Error("request failed", "error", err)
		return s.problem(c, "", err)
	}
	return s.problem(c, "", s.libraryProblem(f))
}

// knownMethods answers a method that the library doesn't know; it would send a
// bare status.
func (s *Server) knownMethods(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if slices.Contains(fiber.DefaultMethods, string(ctx.Method())) {
			next(ctx)
			return
		}
		c := s.app.AcquireCtx(ctx)
		defer s.app.ReleaseCtx(c)
		_ = s.problem(c, "", &badRequest{fiber.StatusNotImplemented, "bad_method", "the method is not known; use one of " + strings.Join(fiber.DefaultMethods, ", ")})
	}
}

// libraryProblem tells what is wrong with a request that no handler saw.
func (s *Server) libraryProblem(f *fiber.Error) *badRequest {
	switch f.Code {
	case fiber.StatusNotFound:
		return &badRequest{f.Code, "unknown_path", "there is nothing at this path; use /v1/completions, /v1/chat/completions, /v1/answers/{id} or /services/{name}/..."}
	case fiber.StatusMethodNotAllowed:
		return &badRequest{f.Code, "bad_method", "the path doesn't take this method; use one of the header Allow"}
	case fiber.StatusRequestEntityTooLarge:
		return &badRequest{f.Code, "body_too_large", fmt.Sprintf("the body is larger than %d bytes; shorten the prompt", s.o.Limits.BodyBytes)}
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return bad("headers_too_large", "the head of the request is larger than %d bytes; send fewer or shorter headers", s.o.Limits.HeaderBytes)
	case fiber.StatusRequestTimeout:
		return &badRequest{f.Code, "slow_sender", fmt.Sprintf("the request did not arrive within %s; send it faster or in smaller parts", s.o.Limits.ReadTimeout)}
	}
	return &badRequest{f.Code, "bad_request", f.Message + "; correct the request"}
}
