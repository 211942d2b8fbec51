// Package relay lets a host that has lost the store read a peer's copies of the
// configuration and of the list of instances: one request and one answer over
// framed TCP with msgpack.
package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/store"
)

const (
	// lengthBytes is the size of a frame's length.
	lengthBytes = 4
	// maxFrame bounds a frame: a configuration of some hundred routes has about
	// 100 KB, the list of 1,800 instances about 500 KB.
	maxFrame = 8 << 20
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = time.Second
	// maxServed bounds the peers that are answered at once.
	maxServed = 32
)

// Request names the revisions that the asking host has, by kind.
type Request struct {
	Host      string            `msgpack:"h"`
	Revisions map[string]uint64 `msgpack:"r"`
}

// Object is an object of the store.
type Object struct {
	Name    string `msgpack:"n"`
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"d"`
}

// Copy is a newer copy of one kind.
type Copy struct {
	Revision uint64   `msgpack:"r"`
	Objects  []Object `msgpack:"o"`
}

// Response has the copies that are newer than the asking host's, by kind.
type Response struct {
	Copies map[string]Copy `msgpack:"c"`
}

// Mirror is a copy that can be read and replaced by a newer one.
type Mirror interface {
	Export() follow.Copy
	Revision() uint64
	Adopt(c follow.Copy, from string) bool
}

// Mirrors are the copies of a host by kind.
type Mirrors map[string]Mirror

// FrameError says that a peer sent something that is no frame.
type FrameError struct{ Bytes uint32 }

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("relay: a frame of %d bytes is over the limit of %d; check that the peer runs this program", e.Bytes, maxFrame)
}

func writeFrame(w io.Writer, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return fmt.Errorf("relay: encode a message: %w", err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

func readFrame(r io.Reader, into any) error {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > maxFrame {
		return &FrameError{length}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, into)
}

// Server answers peers.
type Server struct {
	mirrors Mirrors
	log     *slog.Logger
}

// NewServer returns a server of the host's copies.
func NewServer(mirrors Mirrors, log *slog.Logger) *Server { return &Server{mirrors, log} }

// Serve answers the connections of ln until it is closed.
func (s *Server) Serve(ln net.Listener) error {
	slots := make(chan struct{}, maxServed)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("relay: accept: %w", err)
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				s.answer(conn)
			}()
		default:
			_ = conn.Close()
		}
	}
}

func (s *Server) answer(conn net.Conn) {
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return
	}
	var q Request
	if err := readFrame(conn, &q); err != nil {
		s.log.Debug("peer not understood", "peer", conn.RemoteAddr().String(), "cause", err.Error())
		return
	}
	if err := writeFrame(conn, s.newer(q)); err != nil {
		s.log.Debug("peer not answered", "peer", q.Host, "cause", err.Error())
	}
}

// newer returns the copies that the asking host lacks.
func (s *Server) newer(q Request) Response {
	out := Response{Copies: map[string]Copy{}}
	for kind, m := range s.mirrors {
		if m.Revision() > q.Revisions[kind] {
			out.Copies[kind] = encode(m.Export())
		}
	}
	return out
}

func encode(c follow.Copy) Copy {
	out := Copy{Revision: c.Revision, Objects: make([]Object, 0, len(c.Objects))}
	for _, o := range c.Objects {
		out.Objects = append(out.Objects, Object{o.Name, o.Version, o.Value})
	}
	return out
}

func (c Copy) decode(kind string) follow.Copy {
	out := follow.Copy{Revision: c.Revision, Objects: make([]store.Object, 0, len(c.Objects))}
	for _, o := range c.Objects {
		out.Objects = append(out.Objects, store.Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out
}

// Ask reads the newer copies of the peer at addr into the mirrors.
func Ask(ctx context.Context, addr, host string, mirrors Mirrors) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return err
	}
	q := Request{Host: host, Revisions: map[string]uint64{}}
	for kind, m := range mirrors {
		q.Revisions[kind] = m.Revision()
	}
	if err := writeFrame(conn, q); err != nil {
		return err
	}
	var a Response
	if err := readFrame(conn, &a); err != nil {
		return err
	}
	for kind, c := range a.Copies {
		if m := mirrors[kind]; m != nil {
			m.Adopt(c.decode(kind), addr)
		}
	}
	return nil
}
