package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/platform/platformtest"
)

// result is what a caller saw of one request.
type result struct {
	id      string
	kind    platformtest.Kind
	version uint64
	host    string
	// key is shown, and customer has or had it.
	key, customer string
	began         time.Time
	ended         time.Time
	// status is 0 if no head of an answer came.
	status int
	body   string
	// whole says that the body came to its end.
	whole bool
	// dialled says that there was a connection to send on.
	dialled bool
	err     error
}

// caller sends requests to hosts, one at a time, over connections that it keeps
// until they end.
type caller struct {
	f    *fleet
	n    int
	rng  *rand.Rand
	conn net.Conn
	br   *bufio.Reader
	host *host
	// only is the host that the caller sends to; nil for any.
	only *host
	// large has the caller send large bodies to a plain service, with pauses, over connections that it keeps.
	large bool
}

// deadline is the time that callers give a request, and largeDeadline one with a large body.
const (
	deadline      = 3 * time.Second
	largeDeadline = 10 * time.Second
)

// deadline returns the time that the caller gives a request.
func (c *caller) deadline() time.Duration {
	if c.large {
		return largeDeadline
	}
	return deadline
}

// run sends requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	kinds := []platformtest.Kind{
		platformtest.KindSafe, platformtest.KindUnsafe, platformtest.KindUnsafe, platformtest.KindOnce,
		platformtest.KindResume, platformtest.KindResume, platformtest.KindProbe,
	}
	for i := 0; ; i++ {
		select {
		case <-stop:
			c.drop()
			return
		case <-time.After(c.pause()):
		}
		switch drops := c.rng.IntN(12) == 0; {
		case c.large:
		case c.f.o.silent:
			c.stayIdle()
		case drops:
			c.drop()
		}
		kind := kinds[c.rng.IntN(len(kinds))]
		id := fmt.Sprintf("c%d-%d", c.n, i)
		if c.large {
			kind, id = platformtest.KindUnsafe, platformtest.LargeID+id
		}
		r := c.ask(kind, id, nil)
		c.f.judge(r)
		if c.f.o.versions && kind == platformtest.KindResume {
			c.takeUp(r)
		}
	}
}

// pause is how long the caller waits before its next request.
func (c *caller) pause() time.Duration {
	if c.large {
		return 3*time.Second + time.Duration(c.rng.IntN(4000))*time.Millisecond
	}
	return time.Duration(5+c.rng.IntN(20)) * time.Millisecond
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// maxDials is how often a caller tries to connect to a host with a broken stream, and dialPause the time between.
const (
	maxDials  = 20
	dialPause = 100 * time.Millisecond
)

// takeUp takes a broken stream up at any host, twice at most.
func (c *caller) takeUp(r result) {
	first, body := r.id, r.body
	for n := 1; n <= 2 && r.status == 200 && !r.whole; n++ {
		after := strings.Count(body, "\n\n")
		if after == 0 {
			return
		}
		takeUp := func(req *fasthttp.Request) { platformtest.TakeUp(req, first, after) }
		r = c.ask(r.kind, fmt.Sprintf("%s-%d", first, n), takeUp)
		for tries := 1; !r.dialled && tries < maxDials; tries++ { // all hosts may be down
			time.Sleep(dialPause)
			r = c.ask(r.kind, r.id, takeUp)
		}
		c.f.judgeTakenUp(r, first, after)
		body = body[:strings.LastIndex(body, "\n\n")+2] + r.body
	}
}

// ask sends a request, changed by change unless that is nil.
func (c *caller) ask(kind platformtest.Kind, id string, change func(req *fasthttp.Request)) result {
	r := result{id: id, kind: kind, began: time.Now()}
	r.key = c.f.keys.choose(customerName(c.n), c.rng)
	_, r.customer, _ = strings.Cut(r.key, "-of-")
	if kind == platformtest.KindProbe {
		r.version = 1 + c.rng.Uint64N(c.f.version.Load())
	}
	defer func() { r.ended = time.Now() }()
	if c.conn == nil {
		c.host = c.only
		if c.host == nil {
			c.host = c.f.hosts[c.rng.IntN(len(c.f.hosts))]
		}
		conn, err := net.DialTimeout("tcp4", c.host.addrs.Caller(), time.Second)
		if err != nil {
			r.err, r.ended = err, time.Now()
			return r
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	r.dialled = true
	r.host = c.host.incarnation()
	if err := c.exchange(&r, change); err != nil {
		r.err = err
		c.drop()
	}
	r.ended = time.Now()
	return r
}

// exchange sends the request and reads the answer; an error leaves the
// connection unusable.
func (c *caller) exchange(r *result, change func(req *fasthttp.Request)) error {
	req := platformtest.Request(r.kind, r.version, r.id, c.deadline())
	if change != nil {
		change(req)
	}
	platformtest.ShowKey(req, r.key)
	return c.send(r, req)
}

// maxAnswer is far more than a sound answer has, in bytes; a caller that gets as much leaves.
const maxAnswer = 1 << 20

var errAnswerWithoutEnd = errors.New("the answer has no end")

func (c *caller) send(r *result, req *fasthttp.Request) error {
	if err := c.conn.SetDeadline(time.Now().Add(c.deadline() + 2*time.Second)); err != nil {
		return err
	}
	bw := bufio.NewWriter(c.conn)
	if err := req.Write(bw); err != nil {
		return err
	}
	if err := bw.Flush(); err != nil {
		return err
	}
	resp := fasthttp.Response{StreamBody: true}
	if err := resp.Read(c.br); err != nil {
		return err
	}
	r.status = resp.StatusCode()
	var body strings.Builder
	if stream := resp.BodyStream(); stream != nil {
		n, err := io.Copy(&body, io.LimitReader(stream, maxAnswer))
		if err == nil && n == maxAnswer {
			err = errAnswerWithoutEnd
		}
		if err != nil {
			r.body = body.String()
			return err
		}
	}
	r.body, r.whole = body.String(), true
	if resp.ConnectionClose() {
		c.drop()
	}
	return nil
}
