package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of a language-model runner: it streams events with ids, copies the memory of its runs to the
// engine that a request names (X-Thymerack-Kv-Backup), goes on from such a copy, and drops a run whose connection has
// closed. While it is silent it sends and reads nothing, and goes on with its work.
type engine struct {
	id, service, zone, addr string
	slots                   int
	pace                    time.Duration
	store                   *platformStore
	rec                     *recorder
	fleet                   *engineFleet

	seq    atomic.Int64
	mu     sync.Mutex
	silent chan struct{}            // closed at the end of a silence; nil outside
	live   map[string]chan struct{} // closed when the run is to stop
	runs   atomic.Int64
}

// engineRun is one run of a request at an engine, as the engine sees it.
type engineRun struct {
	id, engine  string
	from        int
	began, over time.Time
	complete    bool
}

// engineFleet is what the engines know of each other's copies, and the runs that they had.
type engineFleet struct {
	mu      sync.Mutex
	byAddr  map[string]*engine
	copies  map[string]bool   // backups, "ADDR/ID" with the address of the engine that has one
	moved   map[string]string // the engine that has the copy of a run that was moved, by "ADDR/HANDLE" of the one before
	runs    []*engineRun
	handles atomic.Int64
}

func (f *engineFleet) begin(e *engine, id string, from int) *engineRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &engineRun{id: id, engine: e.id, from: from, began: time.Now()}
	f.runs = append(f.runs, r)
	return r
}

func (f *engineFleet) end(r *engineRun, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.over, r.complete = time.Now(), complete
}

func startEngine(f *engineFleet, s *platformStore, rec *recorder, id, service, zone, ip string, slots int, pace time.Duration) (*engine, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, addr: l.Addr().String(), slots: slots, pace: pace, store: s, rec: rec, fleet: f, live: map[string]chan struct{}{}}
	f.mu.Lock()
	f.byAddr[e.addr] = e
	f.mu.Unlock()
	srv := &http.Server{Handler: e, IdleTimeout: 20 * time.Second}
	go srv.Serve(l) //nolint:errcheck // ends with the process
	e.beat(false)
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			e.beat(true)
		}
	}()
	return e, nil
}

func (e *engine) beat(quiet bool) {
	e.store.put("servers", e.id, map[string]any{"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"cold-left-ms": 0, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": e.seq.Add(1)}, quiet)
}

// fallSilent begins a silence of the given length.
func (e *engine) fallSilent(d time.Duration) {
	ch := make(chan struct{})
	e.mu.Lock()
	e.silent = ch
	e.mu.Unlock()
	time.Sleep(d)
	e.mu.Lock()
	e.silent = nil
	e.mu.Unlock()
	close(ch)
}

// silence returns what ends the present silence; nil if there is none.
func (e *engine) silence() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent
}

// awaitSound waits until the engine isn't silent.
func (e *engine) awaitSound() {
	for {
		ch := e.silence()
		if ch == nil {
			return
		}
		<-ch
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	e.awaitSound()
	h := w.Header()
	h.Set("X-Thymerack-Runner-Id", e.id)
	if want := req.Header.Get("X-Thymerack-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("X-Thymerack-Request-Id")
	switch {
	case req.URL.Path == "/health":
	case req.URL.Path == "/api/report":
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":%d,"kv-used":1000,"kv-total":800000,"kv-handles":0}`, e.runs.Load())
	case req.URL.Path == "/api/kv-move":
		e.move(w, req)
	case strings.HasPrefix(req.URL.Path, "/api/kv-handle/"):
	case id == "":
		h.Set("X-Thymerack-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		e.stream(w, req, id)
	}
}

// move stops a run and copies its memory to another engine.
func (e *engine) move(w http.ResponseWriter, req *http.Request) {
	var m struct {
		ID, Target string
		Last       bool
	}
	if err := json.NewDecoder(req.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	stop := e.live[m.ID]
	if stop != nil && m.Last {
		delete(e.live, m.ID)
		close(stop)
	}
	e.mu.Unlock()
	if stop == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handle := fmt.Sprintf("%012x", e.fleet.handles.Add(1))
	e.fleet.mu.Lock()
	e.fleet.moved[e.addr+"/"+handle] = m.Target
	e.fleet.mu.Unlock()
	e.rec.note("engine %s: moves %s to %s", e.id, m.ID, m.Target)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"handle":%q,"created-at":0}`, handle)
}

// stream runs a request.
func (e *engine) stream(w http.ResponseWriter, req *http.Request, id string) {
	h := w.Header()
	h.Set("X-Thymerack-Request-Id", id)
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if source := req.Header.Get("X-Thymerack-Kv-Source"); source != "" {
		e.fleet.mu.Lock()
		has := e.fleet.copies[source] && strings.HasPrefix(source, e.addr+"/") || e.fleet.moved[source] == e.addr
		delete(e.fleet.copies, source)
		delete(e.fleet.moved, source)
		e.fleet.mu.Unlock()
		if !has {
			h.Set("X-Thymerack-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if e.runs.Add(1) > int64(e.slots) {
		e.runs.Add(-1)
		h.Set("X-Thymerack-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.runs.Add(-1)
	_, most, _ := strings.Cut(req.Header.Get("X-Thymerack-Token-Count"), ",")
	events, _ := strconv.Atoi(most)
	stop := make(chan struct{})
	e.mu.Lock()
	e.live[id] = stop
	e.mu.Unlock()
	run := e.fleet.begin(e, id, from)
	e.rec.note("engine %s: runs %s from event %d", e.id, id, from+1)
	complete := e.write(w, req, id, from, events, stop)
	e.mu.Lock()
	if e.live[id] == stop {
		delete(e.live, id)
	}
	e.mu.Unlock()
	e.fleet.end(run, complete)
	e.rec.note("engine %s: its run of %s is over, complete %v", e.id, id, complete)
	if !complete {
		panic(http.ErrAbortHandler) // closes the stream without its end, as a crash does
	}
}

// write makes an event each pace and sends it at once, or after a silence. It reports whether it has sent all of them.
func (e *engine) write(w http.ResponseWriter, req *http.Request, id string, from, events int, stop chan struct{}) bool {
	h := w.Header()
	h.Set("X-Thymerack-Server-Seal", e.id+"."+id)
	h.Set("X-Thymerack-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	backup := req.Header.Get("X-Thymerack-Kv-Backup")
	began := time.Now()
	sent := from
	for sent < events {
		made := min(events, from+1+int(time.Since(began)/e.pace))
		if ch := e.silence(); ch != nil {
			<-ch
			continue
		}
		select {
		case <-stop:
			return false
		default:
		}
		if req.Context().Err() != nil {
			return false
		}
		for ; sent < made; sent++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", sent+1, id, sent+1); err != nil {
				return false
			}
		}
		w.(http.Flusher).Flush()
		if backup != "" && sent > from {
			e.fleet.mu.Lock()
			e.fleet.copies[backup+"/"+id] = true
			e.fleet.mu.Unlock()
		}
		time.Sleep(e.pace)
	}
	if backup != "" {
		e.fleet.mu.Lock()
		delete(e.fleet.copies, backup+"/"+id)
		e.fleet.mu.Unlock()
	}
	return true
}
