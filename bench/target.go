package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// ends are the two ways that are compared.
type ends struct {
	Direct string `arg:"--direct,required" help:"ip:port of the upstream"`
	Host   string `arg:"--host,required" help:"ip:port of the host before it"`
	Key    string `arg:"--key,required" help:"a customer's key"`
	// Before makes the first of the two another host, to compare versions.
	Before bool `arg:"--before" help:"--direct is a host too"`
}

// Bounds of a load client.
const (
	clientConns   = 4096
	clientTimeout = 30 * time.Second
)

// target is one way to an upstream.
type target struct {
	name   string
	client *fasthttp.HostClient
	path   string
	key    string
}

// calls returns both ways to the plain service.
func (e ends) calls() [2]*target {
	const through = "/services/app/x"
	if e.Before {
		return [2]*target{newTarget("before", e.Direct, through, e.Key), newTarget("after", e.Host, through, e.Key)}
	}
	return [2]*target{newTarget("direct", e.Direct, "/x", e.Key), newTarget("host", e.Host, through, e.Key)}
}

func newTarget(name, addr, path, key string) *target {
	return &target{name: name, path: path, key: key, client: &fasthttp.HostClient{
		Addr: addr, MaxConns: clientConns, ReadTimeout: clientTimeout, WriteTimeout: clientTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// request fills in a POST to the target.
func (t *target) request(req *fasthttp.Request, path, body string) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + t.client.Addr + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+t.key)
	req.Header.SetContentType("application/json")
	req.SetBodyString(body)
}

var errStatus = errors.New("the answer's status is not 200")

// call makes one small call.
func (t *target) call(req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := t.client.Do(req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%w but %d: %s", errStatus, resp.StatusCode(), resp.Body())
	}
	return nil
}

// smallBody is the body of a small call.
const smallBody = `{"depot":"nord","driver":17}`
