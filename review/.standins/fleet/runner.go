package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// prefillPerMs is how many tokens of a prompt are read in a millisecond, and switchTime how long an engine takes to
	// change its stage: the deployment's sheet.
	prefillPerMs = 346
	switchTime   = 3 * time.Second
	// workTime is that of a plain call.
	workTime = 15 * time.Millisecond
)

// Work is one stretch of work of a runner for a request.
type Work struct {
	Runner, ID, From string
	// After is the event after which it goes on; "" for the start. Source is the KV cache from which it goes on.
	After, Source string
	Begin, End    time.Time // End is zero while it goes on
	// Lost is when the runner's answer was lost; zero if it wasn't.
	Lost time.Time
	// Events is how many events were made.
	Events int
	// Method, URI and Body are what the runner was sent; only those of plain services note them.
	Method, URI, Body string
}

// Book notes what all runners do.
type Book struct {
	logf func(format string, args ...any)
	// onStage is called when an engine has changed its stage.
	onStage func(id, stage string)
	mu      sync.Mutex
	// works are in the order of their beginnings. heard is when each runner last answered each address.
	works []*Work
	heard map[[2]string][]time.Time
	// used are the handles of KV caches that were used up or freed.
	used map[string]bool
}

// NewBook returns an empty book of a fleet's runners.
func NewBook(f *Fleet) *Book { return NewProcessBook(f.Logf, f.listStage) }

// NewProcessBook returns the book of a runner that is a process of its own.
func NewProcessBook(logf func(format string, args ...any), onStage func(id, stage string)) *Book {
	return &Book{logf: logf, onStage: onStage, heard: map[[2]string][]time.Time{}, used: map[string]bool{}}
}

// newHandle names a KV cache of a request; the name tells whose it is.
func newHandle(id string) string { return id + "." + strconv.FormatUint(rand.Uint64(), 16) }

// Works returns what was done so far.
func (b *Book) Works() []Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Work, 0, len(b.works))
	for _, w := range b.works {
		out = append(out, *w)
	}
	return out
}

// Answered reports whether a runner answered a request of an address within a time.
func (b *Book) Answered(runner, addr string, from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.heard[[2]string{runner, addr}] {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

func (b *Book) begin(w *Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Begin = time.Now()
	b.works = append(b.works, w)
	b.logf("%s begins %s after event %q from memory %q, sent by %s", w.Runner, w.ID, w.After, w.Source, w.From)
}

func (b *Book) end(w *Work, why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.End = time.Now()
	b.logf("%s ends %s (%s), %d events made", w.Runner, w.ID, why, w.Events)
}

// update changes a work.
func (b *Book) update(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// Runner is one runner: of a plain service, or an engine.
type Runner struct {
	ID   string
	book *Book
	ln   net.Listener
	// Pace is the pause between two events.
	Pace time.Duration
	// Keeps says that the runner goes on with a request when its connection closes, as some runners do.
	Keeps bool
	// Unframed says that its streams have no length and no chunks, and end with their connection.
	Unframed bool

	mu    sync.Mutex
	stage string
	busy  bool
	seq   uint64
	runs  map[string]*run
	// lose is asked for each stream whether its answer is lost, and after how many events.
	lose func(id string) (after int, lost bool)
	// spoil is asked for each answer of a plain service what is wrong with it.
	spoil func() Spoilt
}

// Spoilt is what is wrong with an answer.
type Spoilt int

// An answer is sound, breaks off in its middle, or is followed by a second one, which arrives late: where the next answer on
// the connection is expected.
const (
	Sound Spoilt = iota
	BrokenOff
	Extra
)

// run is a run of a request at an engine.
type run struct {
	work *Work
	stop chan struct{}
	once sync.Once
}

// NewRunner serves a runner on addr. stage is "" for one of a plain service.
func NewRunner(book *Book, id, stage, addr string) (*Runner, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, book: book, ln: ln, stage: stage, Pace: 33 * time.Millisecond, runs: map[string]*run{}}
	go r.accept()
	return r, nil
}

// Addr is the runner's address.
func (r *Runner) Addr() string { return r.ln.Addr().String() }

// Close ends the listener.
func (r *Runner) Close() { _ = r.ln.Close() }

// Lose sets which answers are lost; nil for none.
func (r *Runner) Lose(lose func(id string) (after int, lost bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lose = lose
}

// Spoil sets which answers are spoilt; nil for none.
func (r *Runner) Spoil(spoil func() Spoilt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoil = spoil
}

func (r *Runner) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c.(*net.TCPConn))
	}
}

func (r *Runner) serve(c *net.TCPConn) {
	defer c.Close()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	br := bufio.NewReader(c)
	conn := &spoiltConn{TCPConn: c, r: r}
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		conn.begin()
		if !r.answer(conn, br, from, req, string(body)) || conn.broken {
			return
		}
	}
}

// spoiltConn is a connection on which answers of a plain service may be spoilt.
type spoiltConn struct {
	*net.TCPConn
	r *Runner
	// late is the second answer that is still to come, and broken is set once an answer was broken off.
	late   []byte
	broken bool
}

// begin sends what comes late where the next answer is expected.
func (c *spoiltConn) begin() {
	if c.late == nil {
		return
	}
	late, _, _ := strings.Cut(string(c.late), "\r\n\r\n")
	c.r.book.logf("%s sends a second answer late: %q", c.r.ID, late)
	_, _ = c.TCPConn.Write(c.late)
	c.late = nil
}

// Write writes a whole answer.
func (c *spoiltConn) Write(p []byte) (int, error) {
	c.r.mu.Lock()
	spoil := c.r.spoil
	c.r.mu.Unlock()
	what := Sound
	if spoil != nil {
		what = spoil()
	}
	switch what {
	case BrokenOff:
		c.broken = true
		_, _ = c.TCPConn.Write(p[:len(p)-len(p)/4])
		_ = c.SetLinger(0)
		return 0, net.ErrClosed
	case Extra:
		c.late = append([]byte(nil), p...)
	}
	return c.TCPConn.Write(p)
}

// answer answers one request and reports whether the connection is kept.
func (r *Runner) answer(c *spoiltConn, br *bufio.Reader, from string, req *http.Request, body string) bool {
	if want := req.Header.Get("X-Thymerack-Expect-Instance"); want != "" && want != r.ID {
		return r.write(c, from, 421, "", "")
	}
	switch path := req.RequestURI; {
	case path == "/health":
		return r.write(c, from, 200, "X-Thymerack-Runner-Id: "+r.ID+"\r\n", "")
	case r.plainService():
	case path == "/api/report":
		return r.report(c, from)
	case path == "/api/order":
		return r.order(c, from, []byte(body))
	case path == "/api/kv-move":
		return r.move(c, from, []byte(body))
	case strings.HasPrefix(path, "/api/kv-handle/"):
		r.book.update(func() { r.book.used[strings.TrimPrefix(path, "/api/kv-handle/")] = true })
		return r.write(c, from, 200, "", "")
	}
	r.mu.Lock()
	stage, busy := r.stage, r.busy
	r.mu.Unlock()
	id := req.Header.Get("X-Thymerack-Request-Id")
	head := "X-Thymerack-Request-Id: " + id + "\r\n"
	prefill := req.Header.Get("X-Thymerack-Stage") == "prefill"
	switch {
	case id == "":
		return r.write(c, from, 400, "X-Thymerack-Not-Run: 1\r\n", "")
	case stage == "":
		return r.plain(c, from, req, body, id, head)
	case busy:
		return r.write(c, from, 503, head+"X-Thymerack-Not-Run: 1\r\n", "")
	case prefill != (stage == "prefill"):
		return r.write(c, from, 421, head, "")
	case prefill:
		return r.prefill(c, from, req, id, head)
	}
	return r.generate(c, br, from, req, id, head)
}

// plainService reports whether the runner is one of a plain service, which doesn't know the calls of engines.
func (r *Runner) plainService() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stage == ""
}

func (r *Runner) plain(c *spoiltConn, from string, req *http.Request, body, id, head string) bool {
	w := &Work{Runner: r.ID, ID: id, From: from, Method: req.Method, URI: req.RequestURI, Body: body}
	r.book.begin(w)
	time.Sleep(workTime)
	r.book.end(w, "answered")
	return r.write(c, from, 200, head+r.seal(id), "answer to "+id)
}

func (r *Runner) seal(id string) string {
	return "X-Thymerack-Server-Seal: " + r.ID + "." + id + "\r\n"
}

func (r *Runner) report(c *spoiltConn, from string) bool {
	r.mu.Lock()
	body, _ := json.Marshal(map[string]any{
		"stage": r.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": r.busy, "seq": r.seq,
		"queued": 0, "active": len(r.runs), "kv-used": 1000 * len(r.runs), "kv-total": 872000, "kv-handles": 0, "state": "ready",
	})
	r.mu.Unlock()
	return r.write(c, from, 200, "Content-Type: application/json\r\n", string(body))
}

func (r *Runner) order(c *spoiltConn, from string, body []byte) bool {
	var o struct {
		Op, Stage, Holder string
		Fence             uint64
		Expect            *uint64
	}
	if json.Unmarshal(body, &o) != nil || o.Op != "stage" || o.Holder == "" || o.Fence == 0 {
		return r.write(c, from, 400, "", "")
	}
	r.mu.Lock()
	status := 202
	switch {
	case r.busy || (o.Expect != nil && *o.Expect != r.seq):
		status = 409
	case r.stage == o.Stage:
		status = 200
	default:
		r.seq++
		r.busy = true
		time.AfterFunc(switchTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.busy, r.stage = false, o.Stage
			r.book.onStage(r.ID, o.Stage)
		})
	}
	r.mu.Unlock()
	r.book.logf("%s is ordered to be %s by %s (fence %d): %d", r.ID, o.Stage, o.Holder, o.Fence, status)
	return r.write(c, from, status, "", "")
}

func (r *Runner) prefill(c *spoiltConn, from string, req *http.Request, id, head string) bool {
	prompt, _, _ := strings.Cut(req.Header.Get("X-Thymerack-Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt)
	time.Sleep(time.Duration(tokens) * time.Millisecond / prefillPerMs)
	name := newHandle(id)
	return r.write(c, from, 200, head+"Content-Type: application/json\r\n", fmt.Sprintf(`{"handle":%q,"tokens":%d,"version":1}`, name, tokens))
}

// move stops a run and keeps its KV cache.
func (r *Runner) move(c *spoiltConn, from string, body []byte) bool {
	var m struct {
		ID, Target string
		Last       bool
	}
	if json.Unmarshal(body, &m) != nil {
		return r.write(c, from, 400, "", "")
	}
	r.mu.Lock()
	known := r.runs[m.ID]
	r.mu.Unlock()
	r.book.logf("%s is asked by %s to move %s, last %t; it has such a run: %t", r.ID, from, m.ID, m.Last, known != nil)
	if known == nil {
		return r.write(c, from, 404, "", "")
	}
	if m.Last {
		known.once.Do(func() { close(known.stop) })
	}
	name, made := newHandle(m.ID), 0
	r.book.update(func() { made = known.work.Events })
	return r.write(c, from, 200, "Content-Type: application/json\r\n", fmt.Sprintf(`{"handle":%q,"created-at":%d}`, name, made))
}

// takeHandle uses up the KV cache that a request names, and reports whether there is one.
func (b *Book) takeHandle(source, id string) bool {
	if source == "" {
		return true
	}
	_, name, _ := strings.Cut(source, "/")
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.used[name]
	b.used[name] = true
	if owner, _, _ := strings.Cut(name, "."); owner != id {
		b.logf("BROKEN: %s goes on from the memory of %s", id, owner)
	}
	return !taken
}

// generate streams an answer.
func (r *Runner) generate(c *spoiltConn, br *bufio.Reader, from string, req *http.Request, id, head string) bool {
	source, after := req.Header.Get("X-Thymerack-Kv-Source"), req.Header.Get("Last-Event-Id")
	if !r.book.takeHandle(source, id) {
		return r.write(c, from, 503, head+"X-Thymerack-Not-Run: 1\r\n", "")
	}
	w := &Work{Runner: r.ID, ID: id, From: from, After: after, Source: source}
	this := &run{work: w, stop: make(chan struct{})}
	r.mu.Lock()
	r.runs[id] = this
	lose := r.lose
	r.mu.Unlock()
	r.book.begin(w)
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[id] == this {
			delete(r.runs, id)
		}
	}()
	lostAfter, loses := 0, false
	if lose != nil {
		lostAfter, loses = lose(id)
	}
	_, output, _ := strings.Cut(req.Header.Get("X-Thymerack-Token-Count"), ",")
	last, _ := strconv.Atoi(output)
	first := 1
	if n, err := strconv.Atoi(after); err == nil {
		first = n + 1
	}
	gone := make(chan struct{})
	go func() { // the connection closes, or bytes come that no sound host sends here
		_, _ = br.Peek(1)
		close(gone)
	}()
	framing := "Transfer-Encoding: chunked\r\n"
	if r.Unframed {
		framing = ""
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%sX-Thymerack-Weight-Versions: 1\r\nConnection: close\r\nContent-Type: text/event-stream\r\n%s\r\n", head, r.seal(id), framing)
	for n := first; n <= last; n++ {
		select {
		case <-this.stop:
			r.book.end(w, "stopped")
			return false
		case <-gone:
			if !r.Keeps && w.Lost.IsZero() {
				r.book.end(w, "its connection has closed")
				return false
			}
			select {
			case <-time.After(r.Pace):
			case <-this.stop:
				r.book.end(w, "stopped")
				return false
			}
		case <-time.After(r.Pace):
		}
		r.book.update(func() { w.Events++ })
		if loses && n-first+1 == lostAfter {
			r.book.update(func() { w.Lost = time.Now() })
			r.book.logf("%s loses its answer to %s after event %d: the connection is reset, the run goes on", r.ID, id, n-1)
			_ = c.SetLinger(0)
			_ = c.Close()
		}
		if w.Lost.IsZero() && err == nil {
			event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n)
			if !r.Unframed {
				event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
			}
			_, err = fmt.Fprint(c, event)
			r.book.noteHeard(r.ID, from)
		}
	}
	r.book.end(w, "complete")
	if !w.Lost.IsZero() || err != nil {
		return false
	}
	if !r.Unframed {
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}
	return false
}

func (b *Book) noteHeard(runner, from string) {
	b.update(func() { b.heard[[2]string{runner, from}] = append(b.heard[[2]string{runner, from}], time.Now()) })
}

// write sends a whole response and reports whether the connection is kept.
func (r *Runner) write(c net.Conn, from string, status int, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
	if err == nil {
		r.book.noteHeard(r.ID, from)
	}
	return err == nil
}
