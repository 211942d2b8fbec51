package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/platform/platformtest"
)

const (
	// fatalCopies is how often the request comes, fatalPause the longest pause between two:
	// some seven seconds in all, of which half are later than knownAfter.
	fatalCopies = 35
	// fatalParts is how many requests with one part come: for some 16 seconds.
	fatalParts = 80
	fatalPause = 400 * time.Millisecond
	// knownAfter is the time in which all hosts must know, from the third end on, and
	// mostLate how many copies may reach a runner after it. A copy whose prompt is read
	// apart reaches two.
	knownAfter = 3 * time.Second
	mostLate   = 3
	// certainEnds is how many runners a request must have ended for that, and certainPartEnds how many requests with one
	// part.
	certainEnds, certainPartEnds = 3, 5
)

// fatalRequest sends copies of a request that ends whatever runs it, each at any host.
func (f *fleet) fatalRequest() {
	defer f.disturb(true, false)()
	rng := rand.New(rand.NewPCG(f.o.seed, 7))
	kinds := []platformtest.Kind{platformtest.KindOnce, platformtest.KindUnsafe, platformtest.KindResume, platformtest.KindSafe}
	kind := kinds[rng.IntN(len(kinds))]
	count, build := fatalCopies, func(id string) *fasthttp.Request { return platformtest.Fatal(kind, string(kind), id, deadline) }
	if f.o.parts {
		kind = []platformtest.Kind{platformtest.KindOnce, platformtest.KindResume}[rng.IntN(2)]
		count, build = fatalParts, func(id string) *fasthttp.Request { return platformtest.FatalPart(kind, id, deadline) }
	}
	var copies sync.WaitGroup
	for i := range count {
		h := f.hosts[rng.IntN(len(f.hosts))]
		id := fmt.Sprintf("fatal-%s-%d", kind, i)
		copies.Go(func() { f.judge(f.askFatal(h, kind, id, build(id))) })
		time.Sleep(time.Duration(rng.Int64N(int64(fatalPause))))
	}
	copies.Wait()
}

// askFatal sends one copy over a connection of its own.
func (f *fleet) askFatal(h *host, kind platformtest.Kind, id string, req *fasthttp.Request) result {
	r := result{id: id, kind: kind, host: h.incarnation(), began: time.Now(), customer: fatalCustomer}
	r.key = f.keys.newest(fatalCustomer)
	defer func() { r.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp4", h.addrs.Caller(), time.Second)
	if err != nil {
		r.err, r.ended = err, time.Now()
		return r
	}
	defer conn.Close()
	r.dialled = true
	c := caller{f: f, conn: conn, br: bufio.NewReader(conn), host: h}
	platformtest.ShowKey(req, r.key)
	if r.err = c.send(&r, req); r.err == nil && r.status == fasthttp.StatusOK && r.whole {
		f.problem("request %s ends its runners and was answered", id)
	}
	r.ended = time.Now()
	return r
}

// judgeFatal checks that few copies reached a runner once three had ended, sent while hosts
// and store had been well for a while.
func (f *fleet) judgeFatal() {
	for name, runs := range f.ledger.Fatal() {
		f.note("request %s: %d arrivals, %d runners ended", name, len(runs.Arrivals), len(runs.Ends))
		certain := certainEnds
		if name == platformtest.FatalPartName {
			certain = certainPartEnds
		}
		if len(runs.Ends) < certain {
			continue
		}
		late := map[string]bool{}
		for _, a := range runs.Arrivals {
			if a.At.After(runs.Ends[certain-1].Add(knownAfter)) && f.calm("", a.At, a.At, false) {
				late[a.ID] = true
			}
		}
		if len(late) > mostLate {
			f.problem("request %s ended %d runners, and %d copies reached one later than %s after number %d", name, len(runs.Ends), len(late), knownAfter, certain)
		}
	}
}
