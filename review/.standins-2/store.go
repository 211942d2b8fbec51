package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Rev        uint64   `json:"rev"`
		CreatedAt  uint64   `json:"created-at"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Deleted bool    `json:"deleted"`
	Object  *object `json:"object"`
	rev     uint64
	kind    string
}

// platformStore is a stand-in of the platform's metadata store, as PROTOCOL describes it.
type platformStore struct {
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]*object
	events  []event
	changed chan struct{}
	// down makes every call of the system fail with 503.
	down bool
	addr string
}

func newStore(addr string) (*platformStore, error) {
	s := &platformStore{rev: 100, kinds: map[string]map[string]*object{}, changed: make(chan struct{}), addr: addr}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	go http.Serve(l, s) //nolint:errcheck // ends with the process
	return s, nil
}

// change is called with the lock held; it notes a change of an object.
func (s *platformStore) change(kind string, o *object, deleted bool) {
	s.rev++
	o.Metadata.Rev = s.rev
	copied := *o
	s.events = append(s.events, event{Deleted: deleted, Object: &copied, rev: s.rev, kind: kind})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object for the operator or a runner; quiet changes are kept without a revision.
func (s *platformStore) put(kind, name string, spec any, quiet bool) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	o := s.kinds[kind][name]
	if o == nil {
		o = &object{}
		o.Metadata.Name, o.Metadata.CreatedAt = name, s.rev+1
		o.Metadata.Finalizers = []string{}
		o.Status = json.RawMessage("null")
		s.kinds[kind][name] = o
		quiet = false
	}
	o.Spec = raw
	if !quiet {
		s.change(kind, o, false)
	}
}

// remove deletes an object for the platform.
func (s *platformStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.kinds[kind][name]; o != nil {
		delete(s.kinds[kind], name)
		s.change(kind, o, true)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind := parts[0]
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.kinds[kind][parts[1]]
		var copied object
		if o != nil {
			copied = *o
		}
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, copied)
	default:
		s.write(w, r, kind, parts)
	}
}

func (s *platformStore) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	names := []string{}
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	truncated := len(names) > 500
	if truncated {
		names = names[:500]
	}
	items := []*object{}
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "as-of": s.rev})
}

func (s *platformStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > from {
				found = append(found, e)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": found, "as-of": asOf})
			return
		}
	}
}

func (s *platformStore) write(w http.ResponseWriter, r *http.Request, kind string, parts []string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	name := in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	rev := in.Metadata.Rev
	if q := r.URL.Query().Get("rev"); q != "" {
		rev, _ = strconv.ParseUint(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	known := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && known != nil, known != nil && rev != 0 && rev != known.Metadata.Rev:
		reply(w, http.StatusConflict, known)
	case r.Method == http.MethodPost:
		o := &object{Spec: in.Spec, Status: json.RawMessage("null")}
		o.Metadata.Name, o.Metadata.CreatedAt, o.Metadata.Finalizers = name, s.rev+1, []string{}
		s.kinds[kind][name] = o
		s.change(kind, o, false)
		reply(w, http.StatusOK, o)
	case known == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.change(kind, known, true)
		reply(w, http.StatusOK, known)
	case len(parts) > 2:
		known.Status = in.Status
		s.change(kind, known, false)
		reply(w, http.StatusOK, known)
	default:
		if string(known.Spec) != string(in.Spec) {
			known.Spec = in.Spec
			s.change(kind, known, false)
		}
		reply(w, http.StatusOK, known)
	}
}
