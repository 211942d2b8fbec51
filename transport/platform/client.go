package platform

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/protocol/platformapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	opts     Options
	http     *httpclient.Client
	gate     *gate
	counters [opCount]opCounters
	// listed belongs to the one caller of Hosts.
	listed listed
}

var _ store.Store = (*Client)(nil)

// New returns a client; it makes no connection yet.
func New(o Options) (*Client, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	h, err := httpclient.New(httpclient.Options{
		Addr:           o.Addr,
		Dial:           o.Dial,
		DialTimeout:    o.Timeout,
		WriteTimeout:   o.Timeout,
		UserTimeout:    userTimeout,
		MaxConns:       o.MaxConns,
		MaxIdle:        maxIdle,
		MaxHeaderBytes: maxHeaderBytes,
	})
	if err != nil {
		return nil, err
	}
	return &Client{opts: o, http: h, gate: newGate(o)}, nil
}

// Close closes the unused connections; calls under way go on.
func (c *Client) Close() { c.http.Close() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (store.Object, error) {
	q := c.objectCall(opGet, fasthttp.MethodGet, kind, name)
	o, err := read[platformapi.Object](ctx, c, q)
	if err != nil {
		return store.Object{}, err
	}
	if o.Kind != kind || o.Name != name || o.Version == store.Absent {
		return store.Object{}, &store.UnavailableError{Cause: errOtherAnswer}
	}
	return store.Object(o), nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	if len(value) > c.opts.MaxValueBytes {
		return 0, &store.UnavailableError{Cause: &ValueTooLargeError{kind, name, len(value), c.opts.MaxValueBytes}}
	}
	q := c.objectCall(opPut, fasthttp.MethodPut, kind, name)
	q.path += ifVersionQuery(ifVersion)
	q.expected = ifVersion
	q.body = value
	w, err := attempt[platformapi.Written](ctx, c, q)
	if err != nil {
		return 0, err
	}
	if w.Version == store.Absent {
		return 0, &store.UnavailableError{UnknownOutcome: true, Cause: errOtherAnswer}
	}
	return w.Version, nil
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	q := c.objectCall(opDelete, fasthttp.MethodDelete, kind, name)
	q.path += ifVersionQuery(ifVersion)
	q.expected = ifVersion
	_, err := attempt[platformapi.Written](ctx, c, q)
	return err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, kind string) ([]store.Object, uint64, error) {
	q := call{
		op: opList, method: fasthttp.MethodGet, path: "/v1/objects/" + url.PathEscape(kind), kind: kind,
		limits: httpclient.Limits{Timeout: c.opts.Timeout, MaxBodyBytes: c.opts.MaxListBytes},
	}
	l, err := read[platformapi.ObjectList](ctx, c, q)
	if err != nil {
		return nil, 0, err
	}
	out := make([]store.Object, 0, len(l.Objects))
	for _, o := range l.Objects {
		out = append(out, store.Object(o))
	}
	return out, l.Revision, nil
}

// Watch implements store.Store. An answer from before the asked revision is
// reported as a gap, since its sender has forgotten changes.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) (store.Batch, error) {
	q := c.waitCall(opWatch, "/v1/watch/"+url.PathEscape(kind), after)
	q.kind = kind
	w, err := attempt[platformapi.WatchBatch](ctx, c, q)
	if err != nil {
		return store.Batch{}, err
	}
	b := store.Batch{Revision: w.Revision, Gap: w.Gap || w.Revision < after}
	for _, e := range w.Events {
		b.Events = append(b.Events, watchEvent(e))
	}
	return b, nil
}

func watchEvent(e platformapi.WatchEvent) store.Event {
	out := store.Event{Object: store.Object(e.Object), Deleted: e.Deleted}
	if e.Deleted {
		out.Object.Value = nil
	}
	return out
}

// Hosts waits until the platform's list of machines is newer than the last one
// read, or for WatchWait, and returns the whole list; changed tells whether it
// differs from the last. Only changes cross the network. It is for one caller at
// a time; the slice is shared and must not be changed. Errors are those of a
// watch.
func (c *Client) Hosts(ctx context.Context) (list []state.Listed, changed bool, err error) {
	l, err := attempt[platformapi.HostList](ctx, c, c.waitCall(opHosts, "/v1/hosts", c.listed.revision))
	if err != nil {
		return nil, false, err
	}
	changed = c.listed.take(l)
	return c.listed.rows, changed, nil
}

func (c *Client) objectCall(o op, method, kind, name string) call {
	const base64Factor = 2
	return call{
		op: o, method: method, kind: kind, name: name,
		path: "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name),
		limits: httpclient.Limits{
			Timeout:      c.opts.Timeout,
			MaxBodyBytes: base64Factor*c.opts.MaxValueBytes + valueOverhead,
		},
	}
}

func (c *Client) waitCall(o op, path string, after uint64) call {
	return call{
		op: o, method: fasthttp.MethodGet, path: path + "?after=" + strconv.FormatUint(after, 10),
		wait:   c.opts.WatchWait,
		limits: httpclient.Limits{Timeout: c.opts.Timeout, MaxBodyBytes: c.opts.MaxListBytes},
	}
}

func ifVersionQuery(v uint64) string { return "?if_version=" + strconv.FormatUint(v, 10) }

func waitQuery(d time.Duration) string {
	return "&wait_ms=" + strconv.FormatInt(d.Milliseconds(), 10)
}

// read makes a call without effect, again if need be.
func read[T any](ctx context.Context, c *Client, q call) (T, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = c.opts.RetryWait
	try := func() (T, error) {
		answer, err := attempt[T](ctx, c, q)
		if err != nil && !retryable(err) {
			return answer, backoff.Permanent(err)
		}
		return answer, err
	}
	answer, err := backoff.Retry(ctx, try, backoff.WithBackOff(pauses), backoff.WithMaxTries(uint(c.opts.ReadAttempts)))
	if err == nil {
		return answer, nil
	}
	if cause := ctx.Err(); cause != nil {
		return answer, cause
	}
	return answer, unwrapPermanent(err)
}
