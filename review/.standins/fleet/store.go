package fleet

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The kinds and the name under which the store keeps what the operator and the runners write.
const (
	KindConfig    = "config"
	ConfigName    = "main"
	KindInstances = "servers"
)

// object is one object of the store.
type object struct {
	Metadata struct {
		Name string `json:"name"`
		Rev  uint64 `json:"rev"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// change is one change of the store's history, which isn't forgotten.
type change struct {
	rev     uint64
	kind    string
	object  object
	deleted bool
}

// Store is the platform's object store, in memory.
type Store struct {
	ln net.Listener

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []change
	wake    chan struct{}
}

// NewStore serves a store on addr.
func NewStore(addr string) (*Store, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &Store{ln: ln, objects: map[string]map[string]object{}, wake: make(chan struct{})}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// Addr is the store's address.
func (s *Store) Addr() string { return s.ln.Addr().String() }

// Close ends the store.
func (s *Store) Close() { _ = s.ln.Close() }

// Put writes an object as the operator or a runner does.
func (s *Store) Put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the case's own types
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, value)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, value json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if known, exists := s.objects[kind][name]; exists && string(known.Spec) == string(value) {
		return known // a write that changes nothing
	}
	s.rev++
	o := object{Spec: value}
	o.Metadata.Name, o.Metadata.Rev = name, s.rev
	s.objects[kind][name] = o
	s.note(change{s.rev, kind, o, false})
	return o
}

func (s *Store) remove(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	s.note(change{s.rev, kind, o, true})
}

func (s *Store) note(c change) {
	s.history = append(s.history, c)
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, kind, name)
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) read(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o, exists := s.objects[kind][name]; exists {
			reply(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "as-of": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		wake, rev := s.wake, s.rev
		events := []map[string]any{}
		for _, c := range s.history {
			if c.rev > after && c.kind == kind {
				events = append(events, map[string]any{"deleted": c.deleted, "object": c.object})
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		}
		select {
		case <-wake:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, exists := s.objects[kind][name]
	rev, err := strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64)
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case err == nil && rev != present.Metadata.Rev:
		reply(w, http.StatusConflict, present)
	default:
		s.remove(kind, name)
		reply(w, http.StatusOK, map[string]any{})
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	create := r.Method == http.MethodPost
	if create {
		name = o.Metadata.Name
	}
	present, exists := s.objects[kind][name]
	switch {
	case create && exists, exists && o.Metadata.Rev != 0 && o.Metadata.Rev != present.Metadata.Rev:
		reply(w, http.StatusConflict, present)
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, s.put(kind, name, o.Spec))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // the case's own types
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
