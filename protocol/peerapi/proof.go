package peerapi

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// Side tells the two ends of a connection apart, so that a proof of one side
// can't be sent back as the proof of the other.
type Side string

// The sides of a connection.
const (
	SideClient Side = "client"
	SideServer Side = "server"
)

// ProofOf computes the proof of one side: HMAC-SHA256 with key over the side,
// the version, both nonces and both host ids, each preceded by its length.
func ProofOf(key []byte, side Side, client, server Hello) []byte {
	mac := hmac.New(sha256.New, key)
	writePart(mac, []byte(side))
	_ = binary.Write(mac, binary.BigEndian, Version)
	writeHello(mac, client)
	writeHello(mac, server)
	return mac.Sum(nil)
}

// ProofHolds reports, in constant time, whether proof is that of the side.
func ProofHolds(key []byte, side Side, client, server Hello, proof []byte) bool {
	return hmac.Equal(proof, ProofOf(key, side, client, server))
}

func writeHello(h hash.Hash, m Hello) {
	writePart(h, []byte(m.Host.Name))
	writePart(h, []byte(m.Host.Incarnation))
	writePart(h, m.Nonce)
}

func writePart(h hash.Hash, part []byte) {
	_ = binary.Write(h, binary.BigEndian, uint32(len(part)))
	_, _ = h.Write(part)
}

// NonceValid reports whether a Hello's nonce has the right size.
func (m Hello) NonceValid() bool { return len(m.Nonce) == NonceBytes }
