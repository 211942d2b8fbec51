package tunnel

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/reach"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/state/packed"
)

// version is that of the messages; a host refuses other versions.
const version = 1

// Request asks a host to connect to a runner. Born is when the runner's run began, in Unix
// milliseconds.
type Request struct {
	Version int    `msgpack:"v"`
	ID      string `msgpack:"i"`
	From    string `msgpack:"f"`
	Runner  string `msgpack:"r"`
	Born    int64  `msgpack:"b,omitempty"`
}

// instance returns the runner that the request is for.
func (r Request) instance() state.InstanceID { return state.InstanceID{Name: r.Runner, Born: r.Born} }

// Reply answers a Request. Connected is set if the tunnel is open; otherwise the connection ends.
type Reply struct {
	Connected   bool    `msgpack:"c,omitempty"`
	Evidence    string  `msgpack:"e,omitempty"`
	Partitioned bool    `msgpack:"p,omitempty"`
	Refused     bool    `msgpack:"r,omitempty"`
	Load        float64 `msgpack:"l,omitempty"`
}

// reach returns the reply as reach knows it. Unknown evidence of a later version is dropped.
func (r Reply) reach() reach.Reply {
	out := reach.Reply{Partitioned: r.Partitioned, Refused: r.Refused, Load: min(max(r.Load, 0), 1)}
	if e := reach.Evidence(r.Evidence); e == reach.EvidenceNoAnswer || e == reach.EvidenceRefused {
		out.Evidence = e
	}
	return out
}

// maxMessageBytes bounds a message.
const maxMessageBytes = 4 << 10

var errMessageTooLarge = errors.New("a message of a tunnel is too large; bring both hosts to the same release")

// writeMessage writes a message after its length, two bytes.
func writeMessage(w io.Writer, m any) error {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return err
	}
	if len(body) > maxMessageBytes {
		return errMessageTooLarge
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(body))), body...))
	return err
}

// readMessage reads a message, and no byte after it.
func readMessage(r io.Reader, m any) error {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint16(length[:])
	if n > maxMessageBytes {
		return errMessageTooLarge
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return packed.Decode(body, m)
}
