package upstreams

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// maxProblemBytes bounds what is kept of an error answer.
const maxProblemBytes = 200

// StatusError is the cause of a *upstream.SendError when the upstream answered
// with an error status.
type StatusError struct {
	Status  int
	Problem string
	// RetryAfter is what the upstream asked for; zero if nothing.
	RetryAfter time.Duration
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("it answered status %d (%s); see its log", e.Status, e.Problem)
}

// AnswerError is the cause of a *upstream.SendError when the upstream's answer
// can't be used.
type AnswerError struct {
	Problem string
	Cause   error
}

// Error implements error.
func (e *AnswerError) Error() string {
	if e.Cause == nil {
		return e.Problem + "; check the upstream's version"
	}
	return fmt.Sprintf("%s (%v); check the upstream's version", e.Problem, e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Cause }

// sendError maps an attempt without a whole answer.
func sendError(u state.Upstream, err error) error {
	var h *httpclient.Error
	if !errors.As(err, &h) {
		return &upstream.SendError{Upstream: u.Name, MaybeSent: true, Cause: err}
	}
	return &upstream.SendError{Upstream: u.Name, MaybeSent: h.Sent, Cause: h.Cause}
}

// notSent is the error of an attempt that was given up before any byte.
func notSent(u state.Upstream, err error) error {
	return &upstream.SendError{Upstream: u.Name, Cause: err}
}

// badAnswer is the error of an answer that can't be used.
func badAnswer(u state.Upstream, problem string, err error) error {
	return &upstream.SendError{Upstream: u.Name, MaybeSent: true, Cause: &AnswerError{problem, err}}
}

// statusError maps an answer with an error status.
func statusError(u state.Upstream, resp *fasthttp.Response, body []byte) *upstream.SendError {
	var p engineapi.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Error == "" {
		p.Error = string(body)
	}
	p.Error = p.Error[:min(len(p.Error), maxProblemBytes)]
	status := resp.StatusCode()
	return &upstream.SendError{
		Upstream:  u.Name,
		MaybeSent: true,
		Refused:   refuses(status),
		Cause:     &StatusError{Status: status, Problem: p.Error, RetryAfter: retryAfter(resp)},
	}
}

// refused tells for how long an upstream that refused work wants none.
func (c *Client) refused(u state.Upstream, err *upstream.SendError) *upstream.SendError {
	var answered *StatusError
	if c.opts.Backoff != nil && err.Refused && errors.As(err.Cause, &answered) && answered.RetryAfter > 0 {
		c.opts.Backoff(u, answered.RetryAfter)
	}
	return err
}

// refuses reports whether a status says that the work was not taken.
func refuses(status int) bool {
	return status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
}

func retryAfter(resp *fasthttp.Response) time.Duration {
	const maxSeconds = 3600
	n, err := fasthttp.ParseUint(resp.Header.Peek(fasthttp.HeaderRetryAfter))
	if err != nil {
		return 0
	}
	return time.Duration(min(n, maxSeconds)) * time.Second
}
