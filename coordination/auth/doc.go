// Package auth checks the keys of callers: which customer a key belongs to, and whether this host's
// configuration is proven recent enough to rule out that the key was revoked.
//
// With strict revocation, no host may run a request that was sent later than RevokeWithin after the
// revocation of its key was acknowledged, whether or not the host can reach the store. For the
// times sent, read, proven and acknowledged, the store's linearizability implies:
//
//   - The host reads the request at the time read, so sent ≤ read.
//   - The host's configuration contains all writes that were acknowledged before the time proven.
//   - The key is served only if read - proven ≤ RevokeWithin - clockMargin. A revocation that this
//     configuration lacks was acknowledged after proven, hence after sent - RevokeWithin.
//
// Delays after read don't matter: a pause of the host between the check and the sending, the wait of
// a request for capacity, and its further attempts all concern a request that was sent in time. All
// times are read from this host's clock, which counts time in suspension; follow.Mirror transfers
// proofs between hosts.
//
// A key that isn't found is refused as unknown only if the proof is so recent that a key which was
// added must be in the configuration; otherwise the store is asked first. A host without a recent
// proof refuses the request with an UnprovenError, which says that the request was not run.
package auth
