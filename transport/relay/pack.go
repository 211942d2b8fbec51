package relay

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/state/packed"
)

// minCompressedBytes is the size from which a response is compressed. The list of 3,000 instances is
// 1 MB of repetitive text, and a small host's link carries 2.5 MB/s.
const minCompressedBytes = 1 << 10

// Packed is an encoded Response, compressed if it is large.
type Packed struct {
	// Exactly one is set: Plain is the encoded response, S2 the same compressed with S2.
	Plain []byte `msgpack:"p,omitempty"`
	S2    []byte `msgpack:"s,omitempty"`
}

// errTooLarge reports a response whose decompressed size exceeds MaxBodyBytes. It bounds the memory
// that a peer's response can take.
var errTooLarge = errors.New("relay: a peer's response is larger than any list; bring both hosts to the same release")

func pack(r Response) (Packed, error) {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return Packed{}, err
	}
	if len(body) < minCompressedBytes {
		return Packed{Plain: body}, nil
	}
	return Packed{S2: s2.EncodeBetter(nil, body)}, nil
}

func (p Packed) unpack() (Response, error) {
	var r Response
	body := p.Plain
	if len(p.S2) > 0 {
		var err error
		if body, err = decompress(p.S2); err != nil {
			return r, err
		}
	}
	if err := packed.Decode(body, &r); err != nil {
		return r, fmt.Errorf("relay: a peer's response can't be decoded (%w); bring both hosts to the same release", err)
	}
	return r, nil
}

// decompress returns the decompressed bytes, unless they are larger than any response.
func decompress(compressed []byte) ([]byte, error) {
	size, err := s2.DecodedLen(compressed)
	if err != nil || size > MaxBodyBytes {
		return nil, errTooLarge
	}
	body, err := s2.Decode(nil, compressed)
	if err != nil {
		return nil, fmt.Errorf("relay: a peer's response can't be decompressed (%w); ask another peer", err)
	}
	return body, nil
}
