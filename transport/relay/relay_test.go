package relay

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/store"
)

// mirror is a copy in memory.
type mirror struct {
	copy    follow.Copy
	adopted int
}

func (m *mirror) Export() follow.Copy { return m.copy }
func (m *mirror) Revision() uint64    { return m.copy.Revision }
func (m *mirror) Adopt(c follow.Copy, _ string) bool {
	m.adopted++
	m.copy = c
	return true
}

func serve(t *testing.T, mirrors Mirrors) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- NewServer(mirrors, slog.New(slog.DiscardHandler)).Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

func TestOnlyNewerCopiesAreSent(t *testing.T) {
	is := is.New(t)
	newer := follow.Copy{Revision: 9, Objects: []store.Object{{Kind: "a", Name: "x", Version: 8, Value: []byte(`{"v":1}`)}}}
	addr := serve(t, Mirrors{"a": &mirror{copy: newer}, "b": &mirror{copy: follow.Copy{Revision: 3}}})
	a, b := &mirror{copy: follow.Copy{Revision: 2}}, &mirror{copy: follow.Copy{Revision: 3}}
	is.NoErr(Ask(t.Context(), addr, "h", Mirrors{"a": a, "b": b}))
	is.Equal(a.copy, newer)
	is.Equal(b.adopted, 0)
}

func TestPeerThatIsGoneIsAnError(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	is.True(Ask(context.Background(), addr, "h", Mirrors{}) != nil)
}

func TestOversizedFrameIsRefusedBeforeItIsRead(t *testing.T) {
	is := is.New(t)
	var q Request
	err := readFrame(bytes.NewReader(binary.BigEndian.AppendUint32(nil, maxFrame+1)), &q)
	var frame *FrameError
	is.True(errors.As(err, &frame))
}

func FuzzFrame(f *testing.F) {
	var buf bytes.Buffer
	if err := writeFrame(&buf, Request{Host: "h", Revisions: map[string]uint64{"a": 1}}); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		var q Request
		_ = readFrame(bytes.NewReader(data), &q) // must not panic or take the length's word for memory
	})
}
