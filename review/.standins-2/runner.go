package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a plain service's runner. It reads the whole request, works for the given time and
// answers with its seal; it drops a request whose connection closes.
type runner struct {
	id, service, zone, addr string
	slots, queue            int
	work                    time.Duration
	store                   *platformStore
	rec                     *recorder

	seq     atomic.Int64
	inside  atomic.Int64
	slot    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

func startRunner(s *platformStore, rec *recorder, id, service, zone, ip string, slots, queue int, work time.Duration) (*runner, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: zone, addr: l.Addr().String(), slots: slots, queue: queue, work: work, store: s, rec: rec,
		slot: make(chan struct{}, slots), stopped: make(chan struct{})}
	srv := &http.Server{Handler: r, IdleTimeout: 20 * time.Second}
	go srv.Serve(l) //nolint:errcheck // ends with the process
	r.beat(false)
	go func() {
		for {
			select {
			case <-r.stopped:
				return
			case <-time.After(1200 * time.Millisecond):
				r.beat(true)
			}
		}
	}()
	return r, nil
}

// beat writes the runner's entry.
func (r *runner) beat(quiet bool) {
	r.store.put("servers", r.id, map[string]any{"service": r.service, "addr": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "cold-left-ms": 0, "seq": r.seq.Add(1)}, quiet)
}

func (r *runner) stop() { r.once.Do(func() { close(r.stopped) }) }

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("X-Thymerack-Runner-Id", r.id)
	if want := req.Header.Get("X-Thymerack-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("X-Thymerack-Request-Id")
	switch {
	case req.URL.Path == "/health":
		return
	case id == "":
		h.Set("X-Thymerack-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Thymerack-Request-Id", id)
	if r.inside.Add(1) > int64(r.slots+r.queue) {
		r.inside.Add(-1)
		h.Set("X-Thymerack-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.inside.Add(-1)
	n, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		r.rec.note("runner %s: request %s broke off after %d bytes, not run", r.id, id, n)
		return
	}
	ctx := req.Context()
	if ms, err := strconv.ParseFloat(req.Header.Get("X-Thymerack-Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	select {
	case r.slot <- struct{}{}:
		defer func() { <-r.slot }()
	case <-ctx.Done():
		h.Set("X-Thymerack-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.rec.ran(r.id, id)
	select {
	case <-time.After(r.work):
	case <-ctx.Done():
		r.rec.note("runner %s: request %s dropped at work: %v", r.id, id, ctx.Err())
		if req.Context().Err() == nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	body := fmt.Sprintf("done %s %d\n", id, n)
	h.Set("X-Thymerack-Server-Seal", r.id+"."+id)
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}
