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
	fatalPause  = 400 * time.Millisecond
	// knownAfter is the time in which all hosts must know, from the third end on, and
	// mostLate how many copies may reach a runner after it. A copy whose prompt is read
	// apart reaches two.
	knownAfter = 3 * time.Second
	mostLate   = 3
)

// fatalRequest sends copies of a request that ends whatever runs it, each at any host.
func (f *fleet) fatalRequest() {
	defer f.disturb(true, false)()
	rng := rand.New(rand.NewPCG(f.o.seed, 7))
	kinds := []platformtest.Kind{platformtest.KindOnce, platformtest.KindUnsafe, platformtest.KindResume, platformtest.KindSafe}
	kind := kinds[rng.IntN(len(kinds))]
	var copies sync.WaitGroup
	for i := range fatalCopies {
		h := f.hosts[rng.IntN(len(f.hosts))]
		copies.Go(func() { f.judge(f.askFatal(h, kind, fmt.Sprintf("fatal-%s-%d", kind, i))) })
		time.Sleep(time.Duration(rng.Int64N(int64(fatalPause))))
	}
	copies.Wait()
}

// askFatal sends one copy over a connection of its own.
func (f *fleet) askFatal(h *host, kind platformtest.Kind, id string) result {
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
	req := platformtest.Fatal(kind, string(kind), id, deadline)
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
		if len(runs.Ends) < 3 {
			continue
		}
		late := map[string]bool{}
		for _, a := range runs.Arrivals {
			if a.At.After(runs.Ends[2].Add(knownAfter)) && f.calm("", a.At, a.At, false) {
				late[a.ID] = true
			}
		}
		if len(late) > mostLate {
			f.problem("request %s ended %d runners, and %d copies reached one later than %s after the third", name, len(runs.Ends), len(late), knownAfter)
		}
	}
}
