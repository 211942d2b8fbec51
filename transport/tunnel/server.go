package tunnel

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/reach"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/wallclock"
)

const (
	// requestTimeout bounds the reading of a request and the writing of a reply.
	requestTimeout = time.Second
	// endTimeout is how long the other host may take to close a tunnel whose runner has closed its
	// connection.
	endTimeout = time.Second
	// busyWindow is how long after its last byte a tunnel without a request counts as in use while this host leaves.
	busyWindow = time.Second
	// knownWindow is how far back this host looks for a sign that its own links work when it doesn't try a
	// link that it knows to be lost.
	knownWindow = 200 * time.Millisecond
	// acceptPause is the wait after a failed accept, such as too many open files.
	acceptPause = 50 * time.Millisecond
)

// ServerOptions configures a Server. All fields are required.
type ServerOptions struct {
	// Runner returns a listed runner, or nil.
	Runner func(id state.InstanceID) *state.Instance
	// Lost returns the evidence against this host's own link to a runner, if it is lost and not to be
	// tried now.
	Lost func(id state.InstanceID) (reach.Evidence, bool)
	// Connect connects to a runner over this host's own link.
	Connect func(ctx context.Context, i *state.Instance) (net.Conn, reach.Evidence, error)
	// Conclusive reports whether the failure of an attempt to connect, which began at the time, says anything of the
	// runner. It doesn't if this host has lost most of its links, or those to the service.
	Conclusive func(ctx context.Context, i *state.Instance, e reach.Evidence, began time.Time) bool
	// Prepare sets the options of an accepted connection.
	Prepare func(c net.Conn)
	// MaxTunnels bounds the open tunnels, those that are being opened included.
	MaxTunnels int
	Log        *slog.Logger
}

// Server connects to runners for other hosts.
type Server struct {
	o       ServerOptions
	open    atomic.Int64
	opened  atomic.Int64
	leaving atomic.Bool

	mu      sync.Mutex
	tunnels map[*tunnel]bool
}

// tunnel is one open tunnel.
type tunnel struct {
	peer, runner net.Conn
	// writing is held while a chunk or a notice is written to peer.
	writing sync.Mutex
	// lastByteAt is when bytes last passed, in Unix nanoseconds.
	lastByteAt atomic.Int64
	// underWay is set from the first byte of a request until the last one of its response has come, sending while bytes
	// of it are written to peer, and bodiless if it has no body.
	underWay, sending, bodiless atomic.Bool
}

// NewServer returns an error if an option is missing.
func NewServer(o ServerOptions) (*Server, error) {
	if o.Runner == nil || o.Lost == nil || o.Connect == nil || o.Conclusive == nil || o.Prepare == nil || o.MaxTunnels <= 0 || o.Log == nil {
		return nil, errors.New("tunnel: a field of ServerOptions is missing; set all of them")
	}
	return &Server{o: o, tunnels: map[*tunnel]bool{}}, nil
}

// Open returns the number of open tunnels, and Opened how many were opened so far.
func (s *Server) Open() int     { return int(s.open.Load()) }
func (s *Server) Opened() int64 { return s.opened.Load() }

// Leave makes the server refuse further tunnels, and tells the other hosts not to use those that are open for
// further requests.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		go t.notifyLeaving()
	}
}

// Busy returns the number of tunnels with a request under way, and of those that carried bytes a moment ago.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, since := 0, wallclock.Now().Add(-busyWindow).UnixNano()
	for t := range s.tunnels {
		if t.inUse() || t.lastByteAt.Load() > since {
			out++
		}
	}
	return out
}

// Serve opens tunnels for the connections of ln until it is closed, and then ends all of them.
func (s *Server) Serve(ln net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer s.endAll()
	defer cancel()
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.o.Log.Warn("accept of a tunnel failed", "cause", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		go s.serve(ctx, c)
	}
}

// endAll resets all tunnels.
func (s *Server) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	underWay := 0
	for t := range s.tunnels {
		if t.inUse() {
			underWay++
		}
		reset(t.peer)
		reset(t.runner)
	}
	if underWay > 0 {
		s.o.Log.Warn("tunnels ended with a request under way", "count", underWay)
	}
}

// serve reads a request, connects to the runner and carries the tunnel's bytes.
func (s *Server) serve(ctx context.Context, peer net.Conn) {
	defer peer.Close()
	s.o.Prepare(peer)
	if peer.SetDeadline(time.Now().Add(requestTimeout)) != nil {
		return
	}
	var q Request
	if err := readMessage(peer, &q); err != nil {
		s.o.Log.Warn("request for a tunnel can't be read", "from", peer.RemoteAddr().String(), "cause", err.Error())
		return
	}
	defer s.open.Add(-1)
	load := float64(s.open.Add(1)) / float64(s.o.MaxTunnels)
	runner, reply := s.connect(ctx, q, load)
	reply.Load = load
	if runner != nil {
		defer runner.Close()
	}
	if writeMessage(peer, reply) != nil || runner == nil || peer.SetDeadline(time.Time{}) != nil {
		s.o.Log.Info("tunnel not opened", "tunnel", q.ID, "from", q.From, "instance", q.Runner, "evidence", reply.Evidence, "refused", reply.Refused, "partitioned", reply.Partitioned, "load", load)
		return
	}
	s.opened.Add(1)
	began := wallclock.Now()
	s.o.Log.Info("tunnel opened", "tunnel", q.ID, "from", q.From, "instance", q.Runner, "load", load)
	t := &tunnel{peer: peer, runner: runner}
	s.carry(ctx, t)
	s.o.Log.Info("tunnel ended", "tunnel", q.ID, "from", q.From, "instance", q.Runner, "open_for", wallclock.Since(began))
}

// connect connects to the runner of a request. The connection is nil if the tunnel can't be opened.
func (s *Server) connect(ctx context.Context, q Request, load float64) (net.Conn, Reply) {
	runner := s.o.Runner(q.instance())
	if q.Version != version || s.leaving.Load() || load > 1 || runner == nil {
		return nil, Reply{Refused: true}
	}
	began := wallclock.Now()
	if e, lost := s.o.Lost(runner.ID); lost {
		return nil, Reply{Evidence: string(e), Partitioned: !s.o.Conclusive(ctx, runner, e, began.Add(-knownWindow))}
	}
	c, e, err := s.o.Connect(ctx, runner)
	switch {
	case err == nil:
		return c, Reply{Connected: true}
	case e == "":
		return nil, Reply{Refused: true}
	default:
		return nil, Reply{Evidence: string(e), Partitioned: !s.o.Conclusive(ctx, runner, e, began)}
	}
}

// carry passes bytes both ways until either side ends.
func (s *Server) carry(ctx context.Context, t *tunnel) {
	s.mu.Lock()
	if ctx.Err() != nil {
		s.mu.Unlock()
		return
	}
	s.tunnels[t] = true
	if s.leaving.Load() {
		go t.notifyLeaving()
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.tunnels, t)
	}()
	t.note()
	var fromRunner sync.WaitGroup
	fromRunner.Go(t.carryFromRunner)
	t.carryToRunner()
	fromRunner.Wait()
}

// writePeer writes a chunk or a notice to the other host.
func (t *tunnel) writePeer(b []byte) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	_, err := t.peer.Write(b)
	return err
}

// notifyLeaving tells the other host that this one leaves. A tunnel that has ended needs no notice.
func (t *tunnel) notifyLeaving() {
	_ = t.writePeer(binary.BigEndian.AppendUint16(nil, leavingNotice))
}

// inUse reports whether a request is under way.
func (t *tunnel) inUse() bool { return t.underWay.Load() || t.sending.Load() }

// note records that bytes passed.
func (t *tunnel) note() { t.lastByteAt.Store(wallclock.Now().UnixNano()) }

// carryToRunner passes bytes on until the other host's connection ends, in whatever way. That host cancels a
// request so, and what hasn't reached the runner by then mustn't any more.
func (t *tunnel) carryToRunner() {
	defer reset(t.runner)
	buf := make([]byte, maxChunk)
	unread := false // the runner reads no more, but its response may still be on the way
	for {
		n, err := t.peer.Read(buf)
		if n > 0 && !unread {
			t.note()
			if !t.underWay.Swap(true) {
				t.bodiless.Store(bytes.HasPrefix(buf[:n], []byte("HEAD ")))
			}
			_, writeErr := t.runner.Write(buf[:n])
			unread = writeErr != nil
		}
		if err != nil {
			return
		}
	}
}

// carryFromRunner passes chunks on until the runner's connection ends. An end in order is passed on as one;
// after any other the tunnel is reset.
func (t *tunnel) carryFromRunner() {
	buf := make([]byte, maxChunk)
	var passed responses
	for {
		n, err := t.runner.Read(buf[chunkHeader:])
		if n > 0 {
			t.sending.Store(true)
			if passed.pass(buf[chunkHeader:chunkHeader+n], t.bodiless.Load()) {
				t.underWay.Store(false) // the next request may follow as soon as the bytes are written
			}
			binary.BigEndian.PutUint16(buf, uint16(n))
			if err := t.writePeer(buf[:chunkHeader+n]); err != nil {
				reset(t.peer)
				return
			}
			t.note()
			t.sending.Store(false)
		}
		switch {
		case err == io.EOF:
			if err := t.writePeer([]byte{0, 0}); err != nil {
				reset(t.peer)
				return
			}
			_ = t.peer.SetReadDeadline(time.Now().Add(endTimeout)) // ends carryToRunner
			return
		case err != nil:
			reset(t.peer)
			return
		}
	}
}

// reset closes a connection and drops what wasn't delivered.
func reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
