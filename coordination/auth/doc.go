// Package auth decides whether a caller's key may be served: whose it is, and whether this
// host can know that it hasn't been revoked.
//
// Where revocation is strict, a request that was sent later than RevokeWithin after its key's
// revocation was acknowledged may not run, at any host, in touch with the store or not. The
// argument, in which sent ≤ read and proven ≤ acknowledged by the store's linearizability:
//
//   - The host reads the request at the time read, so the caller sent it no later.
//   - The host's configuration held at the time proven all that was acknowledged before.
//   - The key is served only if read - proven ≤ RevokeWithin - margin. A revocation that the
//     host doesn't know was acknowledged after proven, hence after sent - RevokeWithin.
//
// Nothing counts after read: a host that is paused between the check and the sending, a
// request that waits for its place, and the further attempts of the request are all of a
// request that was sent in time. Times are of one clock, that of this host, which counts
// suspensions; follow.Mirror carries the proof between hosts.
//
// A key that isn't known is refused as unknown only on a proof young enough that a key that
// was added can't be missing; otherwise the store is asked first. A host that can't know
// says so, and that the request was not run.
package auth
