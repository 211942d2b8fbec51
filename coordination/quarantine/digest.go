package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Digest identifies a request by its content, or a part of prompts that requests share. It is the same at every host and
// for every copy of the request, whatever its request id and deadline. It is the first half of a SHA-256, so that
// nobody can craft a request or a part that has the digest of another one; its last bit tells the two apart.
type Digest [digestBytes]byte

const (
	digestBytes = sha256.Size / 2
	// sharedBit is set in the last byte of the digest of a shared part.
	sharedBit = 1
)

// Content has the parts of a request that identify it.
type Content struct {
	// Caller is the customer, or the credential that the caller presents where there are no
	// customers; "" for none. It is part of the digest so that a caller can't get the requests of
	// another one held.
	Caller string
	// Method, Host and URI are as the caller sent them.
	Method, Host, URI string
	Body              []byte
}

// DigestOf returns the digest of a request whose body has been read completely.
func DigestOf(c Content) Digest {
	h := sha256.New()
	buf := make([]byte, 0, headerBufferBytes)
	for _, part := range []string{c.Caller, c.Method, c.Host, c.URI} {
		// Each part is prefixed with its length, so that different parts can't encode to the same
		// bytes.
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	h.Write(buf)
	h.Write(c.Body)
	var sum [sha256.Size]byte
	out := Digest(h.Sum(sum[:0])[:digestBytes])
	out[digestBytes-1] &^= sharedBit
	return out
}

// DigestOfPart returns the digest of a part that the prompts for a service share. Engines keep a part for all callers,
// so that the caller isn't in it.
func DigestOfPart(service, id string) Digest {
	buf := make([]byte, 0, headerBufferBytes)
	buf = binary.AppendUvarint(buf, uint64(len(service)))
	buf = append(buf, service...)
	buf = append(buf, id...)
	sum := sha256.Sum256(buf)
	out := Digest(sum[:digestBytes])
	out[digestBytes-1] |= sharedBit
	return out
}

// Shared reports whether this is the digest of a shared part.
func (d Digest) Shared() bool { return d[digestBytes-1]&sharedBit != 0 }

// headerBufferBytes is the size of the buffer for all parts but the body. It fits an ordinary
// request without an allocation: hosts and paths have tens of bytes, a credential about a hundred.
const headerBufferBytes = 512

// String returns the digest in hexadecimal, as it is written in logs and in the names of the
// store's objects.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses what String returns.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		return Digest{}, fmt.Errorf("%q is no digest of a request; give its %d hexadecimal digits as the log has them", text, 2*digestBytes)
	}
	return Digest(raw), nil
}
