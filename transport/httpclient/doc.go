// Package httpclient makes single HTTP/1.1 attempts over fasthttp's messages
// and connection pool. It differs from fasthttp's own client in what the rest of
// the system depends on:
//
//   - an attempt is sent at most once: nothing is ever retried;
//   - an error says whether a byte of the request may have left this host;
//   - the end of a context cuts the connection at once, without a goroutine for
//     each attempt;
//   - a pooled connection is probed before use, so that one which the server
//     closed while it was idle is not written to. The probe can't see a close
//     that is still on its way: such an attempt fails with Sent true.
//
// It needs Linux for the probe and for TCP_USER_TIMEOUT.
package httpclient
