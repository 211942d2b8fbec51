package peer

import (
	"encoding/binary"
	"io"

	"github.com/thymerack/thymerack/protocol/peerapi"
)

// frame is one message of a connection.
type frame struct {
	typ  peerapi.FrameType
	kind peerapi.Kind
	id   uint64
	body []byte
}

// encode returns the frame's bytes as they cross the wire.
func (f frame) encode() []byte {
	buf := make([]byte, 0, peerapi.LengthBytes+peerapi.HeaderBytes+len(f.body))
	buf = binary.BigEndian.AppendUint32(buf, uint32(peerapi.HeaderBytes+len(f.body)))
	buf = append(buf, byte(f.typ), byte(f.kind))
	buf = binary.BigEndian.AppendUint64(buf, f.id)
	return append(buf, f.body...)
}

// readFrame reads one frame whose body has at most maxBody bytes. Memory is
// taken only after the length has been checked. An error leaves the reader in
// the middle of a frame: the connection must be closed.
func readFrame(r io.Reader, maxBody int) (frame, error) {
	var head [peerapi.LengthBytes + peerapi.HeaderBytes]byte
	if _, err := io.ReadFull(r, head[:peerapi.LengthBytes]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(head[:peerapi.LengthBytes])
	if length < peerapi.HeaderBytes {
		return frame{}, &FrameError{Problem: "the length is shorter than a header"}
	}
	size := int64(length) - peerapi.HeaderBytes
	if size > int64(maxBody) {
		return frame{}, &FrameTooLargeError{Bytes: int(size), Limit: maxBody}
	}
	if _, err := io.ReadFull(r, head[peerapi.LengthBytes:]); err != nil {
		return frame{}, unexpected(err)
	}
	f := frame{
		typ:  peerapi.FrameType(head[4]),
		kind: peerapi.Kind(head[5]),
		id:   binary.BigEndian.Uint64(head[6:]),
	}
	if size == 0 {
		return f, nil
	}
	f.body = make([]byte, size)
	if _, err := io.ReadFull(r, f.body); err != nil {
		return frame{}, unexpected(err)
	}
	return f, nil
}

// unexpected marks an end of input in the middle of a frame.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
