// Package platform is the client of the platform's object API. It implements
// coordination/store.Store over protocol/platformapi.
//
// Outcomes of a call:
//
//	404                                  store.ErrNotFound
//	409                                  *store.ConflictError with the present version
//	no connection, own rate limit,       *store.UnavailableError, UnknownOutcome false:
//	open breaker, 429, 503, other 4xx    the call had no effect
//	anything else that fails a write     *store.UnavailableError, UnknownOutcome true:
//	after a byte of it was sent          the write may have taken effect
//	the context's end                    the context's error, for a write that may
//	                                     have been sent within such an error
//
// Get and List are tried a few times with jittered backoff, since they have no
// effect. Writes, watches and Hosts are tried once: a writer must read back
// first, and a watcher has a loop of its own.
//
// After a 429 ordinary calls are held back for its Retry-After, a few seconds at
// most; watches and urgent kinds still go out. Each attempt passes the client's own rate limit, which keeps room for watches
// and urgent kinds, and a breaker, which spares a platform that is down.
package platform
