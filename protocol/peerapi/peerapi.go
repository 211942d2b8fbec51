// Package peerapi holds the wire format of the connections between hosts.
//
// A connection starts with a greeting. Each side sends a preamble (Magic and
// Version, big endian), so that another version is told before anything else is
// decoded. The client goes on with a Hello, the server answers with its own
// Hello and its Proof, the client with its Proof, and the server with an empty
// greeting frame, or with a Problem that says why it refuses. A Proof is an HMAC-SHA256 with the shared key over the role, both
// nonces and both host ids; see ProofOf. It authenticates the connection, not
// the bytes that follow: the network between hosts is trusted not to alter them.
//
// After the greeting both sides exchange frames:
//
//	length  uint32  bytes that follow
//	type    uint8   FrameType
//	kind    uint8   Kind, of requests only
//	id      uint64  request id, chosen by the client, never used twice
//	body            msgpack
package peerapi

import "github.com/thymerack/thymerack/state"

// Constants of the wire format.
const (
	// Magic starts every connection.
	Magic uint32 = 0x7468726b // "thrk"
	// Version grows with every incompatible change of the greeting or the frames.
	Version uint16 = 1
	// PreambleBytes is the size of the preamble.
	PreambleBytes = 6
	// LengthBytes is the size of a frame's length.
	LengthBytes = 4
	// HeaderBytes is the size of type, kind and id.
	HeaderBytes = 10
	// NonceBytes is the size of a greeting's nonce.
	NonceBytes = 16
	// DefaultMaxBodyBytes is the default limit of a frame's body. The
	// platform's largest value is half of it.
	DefaultMaxBodyBytes = 2 << 20
	// MaxGreetingBytes bounds the bodies of a greeting, which come from a side
	// that hasn't proved anything yet.
	MaxGreetingBytes = 4 << 10
)

// Kind names what a request asks for.
type Kind uint8

// The kinds of request. Their bodies are declared by the packages that send them.
const (
	// KindDigest exchanges membership digests.
	KindDigest Kind = 1
	// KindConfig fetches the shared configuration in force.
	KindConfig Kind = 2
	// KindSponsor asks a member to answer for a host that the platform can't list.
	KindSponsor Kind = 3
	// KindOrders fetches the orders that a host knows.
	KindOrders Kind = 4
	// KindClaims hands claims to the host that writes their shard.
	KindClaims Kind = 5
	// KindLocate asks which host holds a request.
	KindLocate Kind = 6
	// KindAnswer reads the answer of a request that another host holds.
	KindAnswer Kind = 7
	// KindExplain reads decision records.
	KindExplain Kind = 8
	// KindRelease asks whether a host will send no earlier order of an engine.
	KindRelease Kind = 9
	// KindDemand tells a contender for a planner what work arrives at a host.
	KindDemand Kind = 10
	// KindCopies reads copies of the store's objects that are newer than one's own.
	KindCopies Kind = 11
	// KindEnter asks the owner of an engine's count for a place there.
	KindEnter Kind = 12
	// KindLeave ends a place at an engine.
	KindLeave Kind = 13
	// KindRemain asks when the reading of a place at an engine ends.
	KindRemain Kind = 14
	// KindNotice tells something that is meant for all hosts.
	KindNotice Kind = 15
	// KindReport tells the owner of an engine's count that the engine doesn't answer.
	KindReport Kind = 16
	// KindPing asks a host whether it is there, or to ask another one.
	KindPing Kind = 17
	// KindCrash tells of runners that crashed and of requests that crash them.
	KindCrash Kind = 18
	// KindTellUsage tells a collector what a host has counted, and KindAskUsage asks it for
	// what it was told of a window.
	KindTellUsage Kind = 19
	KindAskUsage  Kind = 20
	// KindPermit asks an owner for a permit to send a request to a runner that names a limit.
	KindPermit Kind = 21
	// KindQuotaTake asks a replica of a customer's quota for units; KindQuotaCharge takes units
	// that it didn't have, and KindQuotaRefund gives units back.
	KindQuotaTake   Kind = 22
	KindQuotaCharge Kind = 23
	KindQuotaRefund Kind = 24
	// KindLoad asks an owner of engines' counts for a sample of their load.
	KindLoad Kind = 25
	// KindRunStatus asks whether a run of an upstream has ended for the host that is asked.
	KindRunStatus Kind = 26
	// KindOriginWrite writes which versions began streams to a replica, and KindOriginFind asks it for
	// one.
	KindOriginWrite Kind = 27
	KindOriginFind  Kind = 28
	// KindLend asks a host to lend parts of its connections to runners.
	KindLend Kind = 29
)

// FrameType tells how a frame's body is meant.
type FrameType uint8

// The types of frame.
const (
	// FrameRequest carries a request from the client.
	FrameRequest FrameType = 1
	// FrameReply carries the answer to a request.
	FrameReply FrameType = 2
	// FrameProblem carries a Problem in place of an answer.
	FrameProblem FrameType = 3
	// FrameCancel says that the client no longer waits for a request.
	FrameCancel FrameType = 4
	// FramePing asks for a FramePong; both are empty.
	FramePing FrameType = 5
	// FramePong answers a FramePing.
	FramePong FrameType = 6
	// FrameGreeting carries a message of the greeting.
	FrameGreeting FrameType = 7
)

// Hello introduces one side.
type Hello struct {
	Host  state.HostID `msgpack:"h"`
	Nonce []byte       `msgpack:"n"`
	// MaxBodyBytes is the largest body that the side takes.
	MaxBodyBytes int `msgpack:"m"`
	// Proof is empty in the client's Hello.
	Proof []byte `msgpack:"p"`
}

// Proof is the client's answer to the server's Hello.
type Proof struct {
	Proof []byte `msgpack:"p"`
}

// Code tells kinds of problem apart.
type Code string

// The codes of a Problem.
const (
	// CodeFailed is a handler's own error.
	CodeFailed Code = "failed"
	// CodeUnknownKind says that the host has no handler for the kind.
	CodeUnknownKind Code = "unknown_kind"
	// CodeBadBody says that the body can't be decoded.
	CodeBadBody Code = "bad_body"
	// CodeBusy says that the connection has too many requests running.
	CodeBusy Code = "busy"
	// CodeTooLarge says that the answer is larger than a frame may be.
	CodeTooLarge Code = "too_large"
	// CodeWrongKey says that the proof doesn't match the host's shared key.
	CodeWrongKey Code = "wrong_key"
)

// Problem is an error as it crosses the wire.
type Problem struct {
	Code    Code   `msgpack:"c"`
	Message string `msgpack:"m"`
}
