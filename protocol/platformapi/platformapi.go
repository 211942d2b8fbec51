// Package platformapi holds the wire types of the platform's object API (JSON
// over HTTP).
//
//	GET    /v1/objects/{kind}/{name}                -> Object | 404
//	PUT    /v1/objects/{kind}/{name}?if_version=N   -> Written | 409 Problem
//	DELETE /v1/objects/{kind}/{name}?if_version=N   -> Written | 409 Problem
//	GET    /v1/objects/{kind}                       -> ObjectList
//	GET    /v1/watch/{kind}?after=R&wait_ms=W       -> WatchBatch
//	GET    /v1/hosts?after=R&wait_ms=W              -> HostList (changes after R)
//
// The body of a PUT is the value itself. if_version=0 creates. Names are
// path-escaped. 429 and 503 mean that a write had no effect. Too many calls give 429 with Retry-After. Every caller names
// itself in HeaderCaller.
package platformapi

import "github.com/thymerack/thymerack/state"

// HeaderCaller names the calling host, so that the platform can count per caller.
const HeaderCaller = "X-Caller"

// Object is one versioned value.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// ObjectList is all objects of a kind at a revision.
type ObjectList struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Written answers a conditional write.
type Written struct {
	Version uint64 `json:"version"`
}

// WatchEvent is one change.
type WatchEvent struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// WatchBatch is what changed after the asked revision. Gap says that changes
// were dropped and that the kind must be listed again.
type WatchBatch struct {
	Revision uint64       `json:"revision"`
	Events   []WatchEvent `json:"events"`
	Gap      bool         `json:"gap,omitempty"`
}

// HostList is the platform's lagging list of machines: whole, or as the rows
// that changed after the asked revision.
type HostList struct {
	Revision uint64         `json:"revision"`
	Hosts    []state.Listed `json:"hosts"`
	// Delta is true when only changed rows are given, with the names of Removed.
	Delta   bool     `json:"delta,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// Problem is the body of every answer above 399.
type Problem struct {
	Error string `json:"error"`
	// Version is the present version of the object after a 409.
	Version uint64 `json:"version,omitempty"`
}
