package peer

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/state/packed"
	"github.com/vmihailenco/msgpack/v5"
)

// identity is what a side needs for its greeting.
type identity struct {
	self    state.HostID
	key     []byte
	maxBody int
}

func (i identity) hello() peerapi.Hello {
	nonce := make([]byte, peerapi.NonceBytes)
	_, _ = rand.Read(nonce) // never fails, see crypto/rand
	return peerapi.Hello{Host: i.self, Nonce: nonce, MaxBodyBytes: i.maxBody}
}

// greetServer carries out the client's side of a greeting within timeout and
// returns the server's Hello.
func (i identity) greetServer(conn net.Conn, timeout time.Duration) (peerapi.Hello, error) {
	var theirs peerapi.Hello
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return theirs, err
	}
	ours := i.hello()
	if err := writeGreeting(conn, preamble(), ours); err != nil {
		return theirs, err
	}
	if err := readPreamble(conn); err != nil {
		return theirs, err
	}
	if err := readGreeting(conn, &theirs); err != nil {
		return theirs, err
	}
	if !theirs.NonceValid() || !peerapi.ProofHolds(i.key, peerapi.SideServer, ours, theirs, theirs.Proof) {
		return theirs, &KeyError{Addr: addrOf(conn)}
	}
	proof := peerapi.Proof{Proof: peerapi.ProofOf(i.key, peerapi.SideClient, ours, theirs)}
	if err := writeGreeting(conn, nil, proof); err != nil {
		return theirs, err
	}
	if err := readGreeting(conn, nil); err != nil {
		return theirs, err
	}
	return theirs, conn.SetDeadline(time.Time{})
}

// greetClient carries out the server's side of a greeting within timeout and
// returns the client's Hello.
func (i identity) greetClient(conn net.Conn, timeout time.Duration) (peerapi.Hello, error) {
	var theirs peerapi.Hello
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return theirs, err
	}
	if err := readPreamble(conn); err != nil {
		answerOtherVersion(conn, err)
		return theirs, err
	}
	if err := readGreeting(conn, &theirs); err != nil {
		return theirs, err
	}
	if !theirs.NonceValid() || theirs.Host.Zero() {
		return theirs, &FrameError{Problem: "the greeting lacks a host or a nonce"}
	}
	ours := i.hello()
	ours.Proof = peerapi.ProofOf(i.key, peerapi.SideServer, theirs, ours)
	if err := writeGreeting(conn, preamble(), ours); err != nil {
		return theirs, err
	}
	var proof peerapi.Proof
	if err := readGreeting(conn, &proof); err != nil {
		return theirs, err
	}
	if !peerapi.ProofHolds(i.key, peerapi.SideClient, theirs, ours, proof.Proof) {
		err := &KeyError{Addr: addrOf(conn)}
		writeProblem(conn, peerapi.Problem{Code: peerapi.CodeWrongKey, Message: err.Error()})
		return theirs, err
	}
	if err := writeGreeting(conn, nil, nil); err != nil {
		return theirs, err
	}
	return theirs, conn.SetDeadline(time.Time{})
}

// answerOtherVersion tells a client of another version which one is spoken here.
// In every version the preamble is followed by a message with a leading length;
// it is read first, because closing with unread bytes would destroy the answer.
func answerOtherVersion(conn net.Conn, err error) {
	var v *VersionError
	if !errors.As(err, &v) {
		return
	}
	_, _ = readFrame(conn, peerapi.MaxGreetingBytes)
	_, _ = conn.Write(preamble())
}

func preamble() []byte {
	buf := binary.BigEndian.AppendUint32(nil, peerapi.Magic)
	return binary.BigEndian.AppendUint16(buf, peerapi.Version)
}

func readPreamble(conn net.Conn) error {
	var buf [peerapi.PreambleBytes]byte
	if _, err := io.ReadFull(conn, buf[:]); err != nil {
		return err
	}
	if binary.BigEndian.Uint32(buf[:]) != peerapi.Magic {
		return &NotPeerError{Addr: addrOf(conn)}
	}
	if v := binary.BigEndian.Uint16(buf[4:]); v != peerapi.Version {
		return &VersionError{Addr: addrOf(conn), Ours: peerapi.Version, Theirs: v}
	}
	return nil
}

// writeGreeting writes the preamble, if any, and a message in one write.
func writeGreeting(conn net.Conn, preamble []byte, message any) error {
	f := frame{typ: peerapi.FrameGreeting}
	if message != nil {
		body, err := msgpack.Marshal(message)
		if err != nil {
			return err
		}
		f.body = body
	}
	_, err := conn.Write(append(preamble, f.encode()...))
	return err
}

func writeProblem(conn net.Conn, p peerapi.Problem) {
	body, err := msgpack.Marshal(p)
	if err != nil {
		return
	}
	_, _ = conn.Write(frame{typ: peerapi.FrameProblem, body: body}.encode())
}

// readGreeting reads one message of the greeting into out, or an empty one when
// out is nil.
func readGreeting(conn net.Conn, out any) error {
	f, err := readFrame(conn, peerapi.MaxGreetingBytes)
	if err != nil {
		return err
	}
	switch {
	case f.typ == peerapi.FrameProblem:
		return problemOf(f.body, addrOf(conn))
	case f.typ != peerapi.FrameGreeting:
		return &FrameError{Problem: "a greeting was expected"}
	case out == nil:
		return nil
	}
	if err := packed.Decode(f.body, out); err != nil {
		return &FrameError{Problem: "the greeting can't be decoded"}
	}
	return nil
}

// problemOf decodes a Problem into the error that stands for it.
func problemOf(body []byte, addr string) error {
	var p peerapi.Problem
	if err := packed.Decode(body, &p); err != nil {
		return &FrameError{Problem: "the problem can't be decoded"}
	}
	if p.Code == peerapi.CodeWrongKey {
		return &KeyError{Addr: addr}
	}
	return &RemoteError{Code: p.Code, Message: p.Message}
}

func addrOf(conn net.Conn) string {
	if a := conn.RemoteAddr(); a != nil {
		return a.String()
	}
	return "the other side"
}
