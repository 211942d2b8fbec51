// Package peer carries calls between hosts over framed TCP with msgpack bodies.
// One connection a peer carries any number of calls at once. No call is ever
// repeated by this package; a *UnreachableError says whether the request may
// have left the host.
package peer
