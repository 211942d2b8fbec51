package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// streamConfig has one route of streams that may not be resumed, and one of streams that may.
func streamConfig() map[string]any {
	route := func(name, prefix string, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": "a.example", "path-prefix": prefix, "kind": "stream", "timeout-ms": 15000, "slo-ms": 150, "priority": 1,
			"service": "llm", "attempts": attempts, "sticky": true, "resumable": resumable, "gap-target-ms": 200}
	}
	return map[string]any{
		"version": 7,
		"routes":  []any{route("r-once", "/once/", 1, false), route("r-again", "/again/", 2, true)},
		"services": []any{map[string]any{"name": "llm", "health-path": "/health", "max-conns": 490, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 96, "kv-capacity": 872000, "kv-token-bytes": 131072, "link-mbps": 5900000.0, "moves": true, "backups": true, "kv-ttl-s": 5.0, "switch-s": 3.0,
				"pin-ms": 4000.0, "hold-ms": 2000.0, "models": []any{map[string]any{"name": "m"}}}}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// overlap is the longest time for which a runner may still work on a request that has gone on at another one.
const overlap = 400 * time.Millisecond

// silent is the case of engines that fall silent for a second and go on.
func silent(rec *recorder, dir string, trouble bool) int {
	s, err := newStore("127.0.0.1:0")
	if err != nil {
		rec.note("no store: %v", err)
		return 2
	}
	s.put("config", "main", streamConfig(), false)
	f := &engineFleet{byAddr: map[string]*engine{}, copies: map[string]bool{}, moved: map[string]string{}}
	var engines []*engine
	for i := range 6 {
		e, err := startEngine(f, s, rec, fmt.Sprintf("i-%d", i), "llm", fmt.Sprintf("z%d", 1+i%2), fmt.Sprintf("%s.%d", network, 20+i), 96, 30*time.Millisecond)
		if err != nil {
			rec.note("no engine: %v", err)
			return 2
		}
		engines = append(engines, e)
	}
	var hosts []*host
	defer func() {
		for _, h := range hosts {
			h.stop()
		}
	}()
	for i := range 2 {
		h := newHost(dir, fmt.Sprintf("front-z%d-1", i+1), fmt.Sprintf("%s.%d", network, 11+i), fmt.Sprintf("z%d", i+1), s.addr, memoryLimit, nil)
		if err := h.start(); err != nil {
			rec.note("no host: %v", err)
			return 2
		}
		hosts = append(hosts, h)
	}
	if !waitReady(hosts, 15*time.Second) {
		rec.note("the hosts aren't ready")
		return 2
	}
	time.Sleep(3500 * time.Millisecond) // contact-ms
	var whole, broken, refused atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 24 {
		clients.Go(func() {
			prefix := []string{"/once/", "/again/"}[n/2%2]
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%s%02x%04x%08x", []string{"a", "b"}[n/2%2], n, i, rand.Uint32())
				switch status, ok := streamClient(rec, hosts[n%2].front, prefix, id, 90); {
				case ok:
					whole.Add(1)
				case status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					broken.Add(1)
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	for i := range 4 {
		if trouble {
			e := engines[i]
			rec.note("disruption: engine %s is silent for 1 s and goes on", e.id)
			e.fallSilent(time.Second)
			rec.note("engine %s goes on", e.id)
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	clients.Wait()
	time.Sleep(time.Second)
	rec.note("streams: whole %d, refused %d, others %d", whole.Load(), refused.Load(), broken.Load())
	once, again := 0, 0
	for id, late := range f.overlaps() {
		rec.note("request %s: %s", id, late)
		if id[0] == 'a' {
			once++
		} else {
			again++
		}
	}
	rec.note("requests that went on at another runner while the one before still worked on them over %s later: %d on the route that may not be resumed, %d on the other", overlap, once, again)
	switch {
	case whole.Load() < 50:
		return 2
	case once+again > 0:
		rec.note("TWICE is broken")
		return 1
	}
	return 0
}

// overlaps returns the requests that went on at another engine while the one before still worked on them too long.
func (f *engineFleet) overlaps() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]string{}
	last := map[string]*engineRun{}
	for _, r := range f.runs {
		if before := last[r.id]; before != nil && before.engine != r.engine {
			over := before.over
			if over.IsZero() {
				over = time.Now()
			}
			if d := over.Sub(r.began); d > overlap {
				out[r.id] = fmt.Sprintf("at %s from event %d on, and at %s for %d ms after that", r.engine, r.from+1, before.engine, d.Milliseconds())
			}
		}
		last[r.id] = r
	}
	return out
}

// streamClient sends a request and reads its events; ok says that all of them came, each once and in order.
func streamClient(rec *recorder, addr, prefix, id string, events int) (status int, ok bool) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return 0, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: a.example\r\nX-Thymerack-Request-Id: %s\r\nX-Thymerack-Model: m\r\nX-Thymerack-Token-Count: 220,%d\r\nX-Thymerack-Prefix-Hash: 5c1e07a2:79,%s:141\r\nX-Thymerack-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi", prefix, id, events, id[1:9])
	rec.note("client: sends %s to %s%s", id, addr, prefix)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.note("client: %s ended without an answer: %v", id, err)
		return 0, false
	}
	if resp.StatusCode != http.StatusOK {
		rec.note("client: %s answered %d", id, resp.StatusCode)
		time.Sleep(100 * time.Millisecond)
		return resp.StatusCode, false
	}
	body, err := io.ReadAll(resp.Body)
	want := ""
	for n := range events {
		want += fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n+1, id, n+1)
	}
	ok = err == nil && string(body) == want
	rec.note("client: %s answered 200, whole %v (%v)", id, ok, err)
	return resp.StatusCode, ok
}
