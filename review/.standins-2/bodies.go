package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Clients send bodies up to the configured limit, with a length or in chunks. In the case "burst" there come
// 1.9 times as many for 14 s; in the case "kept" one of two machines is killed, so that its clients come to the other.
const (
	bodyBytes   = 4 << 20
	memoryLimit = 284
)

// bodyConfig is a configuration like those on the platform's pages, with one route and one service.
func bodyConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-a", "host": "a.example", "path-prefix": "/file/", "kind": "unsafe", "timeout-ms": 15000, "slo-ms": 5000, "priority": 1,
			"service": "lodge", "attempts": 1}},
		"services": []any{map[string]any{"name": "lodge", "health-path": "/health", "max-conns": 400, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": bodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// tally counts how clients' requests ended, and how many were under way at most.
type tally struct {
	sent, ok, refused, failed, cut, cutRun, cutKept, underWay, mostUnderWay atomic.Int64
}

// platform is the stand-in of the platform: its store, its runners, the machines and what ends processes over their memory.
type platform struct {
	rec   *recorder
	store *platformStore
	hosts []*host
	over  atomic.Bool
	// down says which machines are kept from starting, disturbed which ever had a disruption.
	down, disturbed []atomic.Bool
	kills           []atomic.Int64
	watched         sync.WaitGroup
}

// newPlatform starts a store, runners and hosts, and waits until the hosts are ready.
func newPlatform(rec *recorder, dir string, hosts int, work time.Duration) (*platform, bool) {
	s, err := newStore("127.0.0.1:0")
	if err != nil {
		rec.note("no store: %v", err)
		return nil, false
	}
	p := &platform{rec: rec, store: s, down: make([]atomic.Bool, hosts), disturbed: make([]atomic.Bool, hosts), kills: make([]atomic.Int64, hosts)}
	s.put("config", "main", bodyConfig(), false)
	for i := range 3 {
		if _, err := startRunner(s, rec, fmt.Sprintf("i-%d", i), "lodge", "z1", fmt.Sprintf("%s.%d", network, 20+i), 40, 40, work); err != nil {
			rec.note("no runner: %v", err)
			return nil, false
		}
	}
	for i := range hosts {
		h := newHost(dir, fmt.Sprintf("front-z1-%d", i+1), fmt.Sprintf("%s.%d", network, 11+i), "z1", s.addr, memoryLimit, nil)
		if err := h.start(); err != nil {
			rec.note("no host: %v", err)
			return nil, false
		}
		p.hosts = append(p.hosts, h)
	}
	if !waitReady(p.hosts, 15*time.Second) {
		rec.note("the hosts aren't ready")
		return p, false
	}
	time.Sleep(2 * time.Second)
	for i := range p.hosts {
		p.watched.Go(func() { p.watch(i) })
	}
	return p, true
}

// watch ends a process that exceeds its machine's memory, and starts one again that has ended.
func (p *platform) watch(i int) {
	h := p.hosts[i]
	for !p.over.Load() {
		time.Sleep(20 * time.Millisecond)
		mb := h.residentMB()
		h.peakMB = max(h.peakMB, mb)
		if mb > memoryLimit && h.alive() {
			p.rec.note("platform: the process of %s has %d MB resident, of %d: killed", h.name, mb, memoryLimit)
			p.kills[i].Add(1)
			h.signal(syscall.SIGKILL)
			<-h.done
		}
		if h.alive() || p.down[i].Load() {
			continue
		}
		time.Sleep(300 * time.Millisecond)
		if err := h.start(); err != nil {
			p.rec.note("no host: %v", err)
			return
		}
		p.rec.note("platform: the process of %s is started again", h.name)
	}
}

// kill ends the process of a machine and starts it again after a time.
func (p *platform) kill(i int, down time.Duration) {
	p.down[i].Store(true)
	p.disturbed[i].Store(true)
	p.rec.note("disruption: the process of %s is killed, for %s", p.hosts[i].name, down)
	p.hosts[i].signal(syscall.SIGKILL)
	time.Sleep(down)
	p.down[i].Store(false)
}

// end ends all processes.
func (p *platform) end() {
	p.over.Store(true)
	p.watched.Wait()
	for _, h := range p.hosts {
		h.stop()
	}
}

// verdict writes what was seen, and judges it by the rule LOST.
func (p *platform) verdict(t *tally) int {
	for i, h := range p.hosts {
		p.rec.note("%s: peak %d MB of %d, ended for its memory %d times", h.name, h.peakMB, memoryLimit, p.kills[i].Load())
	}
	p.rec.note("sent %d, answered 200 %d, refused with 429 or 503 %d, other answers %d, closed without an answer %d; under way at once %d at most",
		t.sent.Load(), t.ok.Load(), t.refused.Load(), t.failed.Load(), t.cut.Load(), t.mostUnderWay.Load())
	p.rec.note("of those closed without an answer at machines that never had a disruption: passed on to a runner %d, of these on kept connections %d", t.cutRun.Load(), t.cutKept.Load())
	switch {
	case t.ok.Load() < 50:
		p.rec.note("too few requests were answered")
		return 2
	case t.cutKept.Load() > 3:
		p.rec.note("LOST is broken: more than three requests of kept connections were passed on to a sound runner and closed without an answer")
		return 1
	}
	return 0
}

// burst is the case of many users who come at once, at one machine.
func burst(rec *recorder, dir string, trouble bool) int {
	const usual, more = 32, 60
	p, ok := newPlatform(rec, dir, 1, 4*time.Second)
	if p != nil {
		defer p.end()
	}
	if !ok {
		return 2
	}
	var t tally
	stop, stopBurst := make(chan struct{}), make(chan struct{})
	var clients sync.WaitGroup
	for n := range usual {
		clients.Go(func() { p.client(&t, n, []int{0}, 4*time.Second, 0, n%2 == 1, stop) })
	}
	time.Sleep(20 * time.Second)
	rec.note("usual traffic: %d clients, peak %d MB", usual, p.hosts[0].peakMB)
	if trouble {
		rec.note("disruption: %d clients for 14 s", more)
		for n := usual; n < more; n++ {
			clients.Go(func() { p.client(&t, n, []int{0}, 0, 0, n%2 == 1, stopBurst) })
		}
	}
	time.Sleep(14 * time.Second)
	close(stopBurst)
	time.Sleep(10 * time.Second)
	close(stop)
	clients.Wait()
	return p.verdict(&t)
}

// kept is the case of the loss of one of two machines.
func kept(rec *recorder, dir string, trouble bool) int {
	const usual = 96 // clients of both machines together
	p, ok := newPlatform(rec, dir, 2, 2*time.Second)
	if p != nil {
		defer p.end()
	}
	if !ok {
		return 2
	}
	var t tally
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range usual {
		clients.Go(func() { p.client(&t, n, []int{n % 2, 1 - n%2}, 10*time.Second, 4*time.Second, false, stop) })
	}
	time.Sleep(25 * time.Second)
	rec.note("usual traffic: %d clients, peaks %d and %d MB", usual, p.hosts[0].peakMB, p.hosts[1].peakMB)
	if trouble {
		p.kill(0, 3500*time.Millisecond)
	} else {
		time.Sleep(3500 * time.Millisecond)
	}
	time.Sleep(25 * time.Second)
	close(stop)
	clients.Wait()
	return p.verdict(&t)
}

// writeChunks sends a body in chunks of 64 KiB.
func writeChunks(conn net.Conn, body []byte) error {
	const size = 64 << 10
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		body = body[len(part):]
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part); err != nil {
			return err
		}
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err
}

// client sends one request after the other on a kept connection, with pauses of about the given length, and begins
// within the given time. It connects to the first of the machines that takes connections.
func (p *platform) client(t *tally, n int, machines []int, begin, pause time.Duration, chunks bool, stop chan struct{}) {
	body := make([]byte, bodyBytes)
	var conn net.Conn
	var br *bufio.Reader
	at, answered := 0, 0
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	if begin > 0 {
		time.Sleep(rand.N(begin))
	}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		for _, m := range machines {
			if conn != nil || p.down[m].Load() {
				continue
			}
			if c, err := net.DialTimeout("tcp", p.hosts[m].front, time.Second); err == nil {
				conn, br, at, answered = c, bufio.NewReader(c), m, 0
			}
		}
		if conn == nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%04x%04x%08x", n, i, rand.Uint32())
		t.sent.Add(1)
		if now := t.underWay.Add(1); now > t.mostUnderWay.Load() {
			t.mostUnderWay.Store(now)
		}
		p.rec.note("client %d: sends %s, %d bytes, to %s", n, id, bodyBytes, p.hosts[at].name)
		resp, err := exchange(conn, br, n, id, body, chunks)
		t.underWay.Add(-1)
		if err != nil {
			ran, disturbed := p.rec.hasRun(id), p.disturbed[at].Load()
			p.rec.note("client %d: %s ended without an answer at %s (answered before on this connection %d, run %v, machine disturbed %v): %v", n, id, p.hosts[at].name, answered, ran, disturbed, err)
			t.cut.Add(1)
			if ran && !disturbed {
				t.cutRun.Add(1)
				if answered > 0 {
					t.cutKept.Add(1)
				}
			}
			_ = conn.Close()
			conn = nil
			continue
		}
		answered++
		p.rec.note("client %d: %s answered %d", n, id, resp.StatusCode)
		switch resp.StatusCode {
		case http.StatusOK:
			t.ok.Add(1)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			t.refused.Add(1)
			time.Sleep(200 * time.Millisecond)
		default:
			t.failed.Add(1)
		}
		if resp.Close {
			_ = conn.Close()
			conn = nil
		}
		if pause > 0 {
			time.Sleep(pause/2 + rand.N(pause))
		}
	}
}

// exchange sends one request and reads its whole answer. The body has a length or chunks.
func exchange(conn net.Conn, br *bufio.Reader, n int, id string, body []byte, chunks bool) (*http.Response, error) {
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	head := fmt.Sprintf("POST /file/%d HTTP/1.1\r\nHost: a.example\r\nX-Thymerack-Request-Id: %s\r\nX-Thymerack-Deadline-Ms: 15000\r\n", n, id)
	var err error
	if !chunks {
		if _, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, len(body)); err == nil {
			_, err = conn.Write(body)
		}
	} else if _, err = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", head); err == nil {
		err = writeChunks(conn, body)
	}
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, err
	}
	var got bytes.Buffer
	_, err = got.ReadFrom(resp.Body)
	return resp, err
}
