package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/protocol/platformapi"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// call is one request to the object API.
type call struct {
	op           op
	method, path string
	kind, name   string
	// expected is the version that a conditional write names.
	expected uint64
	body     []byte
	// wait is how long the platform may hold the call; zero for an answer at once.
	wait   time.Duration
	limits httpclient.Limits
}

// ValueTooLargeError says that a value doesn't fit into an object.
type ValueTooLargeError struct {
	Kind, Name   string
	Bytes, Limit int
}

// Error implements error.
func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("%s %q has %d bytes and the limit is %d; store less or split it", e.Kind, e.Name, e.Bytes, e.Limit)
}

// StatusError is an answer of the platform that isn't what was asked for.
type StatusError struct {
	Status  int
	Problem string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered status %d (%s); see its log for this caller", e.Status, e.Problem)
}

var errOtherAnswer = errors.New("the platform's answer is not to this call; check what stands between")

// attempt makes one call and decodes its answer. Errors are of store's kinds.
func attempt[T any](ctx context.Context, c *Client, q call) (T, error) {
	var none T
	counters := &c.counters[q.op]
	p, err := c.gate.enter(ctx, q.op.waits() || c.opts.urgent(q.kind))
	if err != nil {
		counters.refused.Add(1)
		return none, refused(ctx, err)
	}
	counters.calls.Add(1)
	counters.sent.Add(uint64(len(q.body)))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	began := c.gate.clock.Now()
	if err := c.send(ctx, q, p, resp); err != nil {
		counters.failures.Add(1)
		p.done(c.verdict(ctx, q, err, began))
		return none, lost(ctx, q.op, err)
	}
	counters.received.Add(uint64(len(resp.Body())))
	answer, err := decode[T](q, resp)
	if store.IsUnavailable(err) {
		counters.failures.Add(1)
	}
	p.done(answerVerdict(resp.StatusCode()))
	if resp.StatusCode() == fasthttp.StatusTooManyRequests {
		c.gate.hold(retryAfter(resp))
	}
	return answer, err
}

func (c *Client) send(ctx context.Context, q call, p pass, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	path := q.path
	if q.op.waits() {
		wait := q.wait
		if p.probing {
			wait = 0
		}
		path += waitQuery(wait)
		q.limits.Timeout += wait
	}
	req.Header.SetMethod(q.method)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(c.opts.Addr)
	req.Header.Set(platformapi.HeaderCaller, c.opts.Caller)
	if q.body != nil {
		req.SetBodyRaw(q.body)
	}
	return c.http.Do(ctx, req, resp, q.limits)
}

// refused maps an attempt that this host held back.
func refused(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return &store.UnavailableError{Cause: err}
}

// lost maps an attempt without an answer.
func lost(ctx context.Context, o op, err error) error {
	var h *httpclient.Error
	sent := !errors.As(err, &h) || h.Sent
	unknown := sent && o.write()
	if cause := ctx.Err(); cause != nil && !unknown {
		return cause
	}
	return &store.UnavailableError{UnknownOutcome: unknown, Cause: err}
}

// verdict is what an attempt without an answer tells the breaker. One that its
// caller ended tells nothing, unless a platform that is up would have answered
// by then.
func (c *Client) verdict(ctx context.Context, q call, err error, began time.Time) error {
	const patience = 4
	if errors.Is(err, httpclient.ErrBusy) {
		return errNoVerdict
	}
	waited := c.gate.clock.Now().Sub(began)
	if ctx.Err() != nil && (q.op.waits() || waited < c.opts.Timeout/patience) {
		return errNoVerdict
	}
	return err
}

// answerVerdict is what an answer tells the breaker: a platform that limits
// this host is up, one that answers with a fault of its own isn't.
func answerVerdict(status int) error {
	if status >= fasthttp.StatusInternalServerError {
		return &StatusError{Status: status}
	}
	return nil
}

// decode maps an answer.
func decode[T any](q call, resp *fasthttp.Response) (T, error) {
	var answer, none T
	if resp.StatusCode() != fasthttp.StatusOK {
		return none, refusal(q, resp)
	}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return none, &store.UnavailableError{UnknownOutcome: q.op.write(), Cause: fmt.Errorf("unreadable answer: %w", err)}
	}
	return answer, nil
}

// refusal maps an answer other than 200.
func refusal(q call, resp *fasthttp.Response) error {
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusNotFound:
		return store.ErrNotFound
	case fasthttp.StatusConflict:
		return conflict(q, resp)
	default:
		return &store.UnavailableError{
			UnknownOutcome: q.op.write() && !withoutEffect(status),
			Cause:          statusError(resp),
		}
	}
}

func conflict(q call, resp *fasthttp.Response) error {
	var p platformapi.Problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil {
		// The status alone says that nothing was written, but not what is there.
		return &store.UnavailableError{Cause: statusError(resp)}
	}
	return &store.ConflictError{Kind: q.kind, Name: q.name, Expected: q.expected, Actual: p.Version}
}

// withoutEffect reports whether a status proves that a write was not made.
func withoutEffect(status int) bool {
	if status == fasthttp.StatusServiceUnavailable {
		return true
	}
	return status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError
}

func statusError(resp *fasthttp.Response) *StatusError {
	const maxProblemBytes = 200
	var p platformapi.Problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil {
		p.Error = string(resp.Body())
	}
	return &StatusError{Status: resp.StatusCode(), Problem: p.Error[:min(len(p.Error), maxProblemBytes)]}
}

func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := fasthttp.ParseUint(resp.Header.Peek(fasthttp.HeaderRetryAfter))
	if err != nil {
		return 0
	}
	return time.Duration(min(seconds, maxHoldSeconds)) * time.Second
}

// retryable reports whether a read that failed so may fare better soon. One that
// the platform or this host limits would only add to the load.
func retryable(err error) bool {
	var s *StatusError
	if errors.As(err, &s) && s.Status < fasthttp.StatusInternalServerError {
		return false
	}
	held := errors.Is(err, errOpen) || errors.Is(err, errOwnLimit) || errors.Is(err, errHeld)
	return store.IsUnavailable(err) && !held
}

// unwrapPermanent removes backoff's mark, which it leaves on the last try.
func unwrapPermanent(err error) error {
	var p *backoff.PermanentError
	if errors.As(err, &p) {
		return p.Unwrap()
	}
	return err
}
