// Package origin keeps which version of its runner's software began each stream, so that a caller may
// take a stream up at any host and it goes on at that version.
//
// Every host remembers the streams that it began (Table) and the versions that were listed (History).
// While a service has more than one version, a host also writes each stream that it begins to replicas,
// a few hosts that follow from the stream's ID, before the caller gets the first event. The stream is
// named by the ID of the caller's attempt that brought its first event.
//
// A host that is asked to go on with a stream looks it up at home and at the replicas. If nobody knows
// the stream, its version is certain only if the service has had one version for as long as the stream
// may be old: by what the hosts that were asked have seen, and by the store's note of the service's
// versions (Ledger). Lists alone don't say so, since each may be behind. Otherwise the version is unknown,
// and the stream must not go on.
package origin
