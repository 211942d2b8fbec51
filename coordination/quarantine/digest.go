package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Digest identifies a request by what it asks, the same at every host and for each of its
// copies, whatever id and deadline they bear. Nobody can make a request of theirs equal
// another's: it is the first half of a SHA-256.
type Digest [digestBytes]byte

const digestBytes = sha256.Size / 2

// Content is what makes two requests the same.
type Content struct {
	// Caller is the customer who asks, or the credential that the caller shows where there are
	// no customers; "" for none. A caller can't have what another one asks held against it.
	Caller string
	// Method, Host and URI are as the caller sent them.
	Method, Host, URI string
	Body              []byte
}

// DigestOf returns the digest of a request that has been read whole.
func DigestOf(c Content) Digest {
	h := sha256.New()
	buf := make([]byte, 0, headerBufferBytes)
	for _, part := range []string{c.Caller, c.Method, c.Host, c.URI} {
		// A length in front of each part keeps one from running into the next.
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	h.Write(buf)
	h.Write(c.Body)
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:digestBytes])
}

// headerBufferBytes holds the head of an ordinary request without an allocation: hosts and paths
// have some dozen bytes, a credential some hundred.
const headerBufferBytes = 512

// String returns the digest in hexadecimal, as logs and the platform's store name it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads what String returns.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		return Digest{}, fmt.Errorf("%q is no digest of a request; give its %d hexadecimal digits as the log has them", text, 2*digestBytes)
	}
	return Digest(raw), nil
}
