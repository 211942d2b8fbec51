// Package ctl is the operators' tool: it asks any host over HTTP and prints the
// answers for people or for programs.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/protocol/operatorapi"
)

// callTimeout bounds one call.
const callTimeout = 15 * time.Second

// CallError is a call that a host refused.
type CallError struct {
	Status  int
	Kind    string
	Message string
}

// Error implements error.
func (e *CallError) Error() string { return e.Message }

// UnreachableError says that the host gave no answer.
type UnreachableError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("host %s gave no answer (%v); name another with --host or THYMECTL_HOST", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Client calls one host.
type Client struct {
	addr  string
	token string
	http  *fasthttp.Client
}

// NewClient returns a client of the host at addr (ip:port).
func NewClient(addr, token string) *Client {
	return &Client{addr: addr, token: token, http: &fasthttp.Client{
		ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// get reads path into out.
func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.do(ctx, http.MethodGet, path, nil, out)
}

// do makes one call. Nothing is repeated: the operator decides.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.addr + path)
	if c.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return &UnreachableError{Addr: c.addr, Cause: err}
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		return problemOf(resp)
	}
	return json.Unmarshal(resp.Body(), out)
}

func problemOf(resp *fasthttp.Response) error {
	var p operatorapi.Problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil || p.Error == "" {
		p = operatorapi.Problem{Kind: "http", Error: fmt.Sprintf("the host answered %d; check that the address is a thymerack host's callers' listener", resp.StatusCode())}
	}
	return &CallError{Status: resp.StatusCode(), Kind: p.Kind, Message: p.Error}
}

// Exit codes of the tool.
const (
	ExitOK = 0
	// ExitFailed is any other failure.
	ExitFailed = 1
	// ExitUsage is a wrong command line.
	ExitUsage = 2
	// ExitConflict is an edit on an old version, or a change already under way.
	ExitConflict = 3
	// ExitUnreachable is a host that gave no answer.
	ExitUnreachable = 4
	// ExitNotEverywhere is an edit that was accepted but isn't in force at
	// every host within the time to wait.
	ExitNotEverywhere = 5
)

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var call *CallError
	var unreachable *UnreachableError
	var storeGone *StoreUnreachableError
	var loadGone *LoadUnreachableError
	var partial *NotEverywhereError
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &partial):
		return ExitNotEverywhere
	case errors.As(err, &unreachable), errors.As(err, &storeGone), errors.As(err, &loadGone):
		return ExitUnreachable
	case errors.As(err, &call) && call.Status == http.StatusConflict:
		return ExitConflict
	}
	return ExitFailed
}

// UsageError is a command line that can't be carried out.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// printJSON writes any answer for programs.
func printJSON(w io.Writer, value any) error {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}
