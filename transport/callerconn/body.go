package callerconn

import "github.com/valyala/fasthttp"

// MaxKeptBodyBytes is the largest body buffer that a connection keeps for its next request. The server
// would keep that of the largest body for as long as the connection is open.
const MaxKeptBodyBytes = 32 << 10

// ReleaseBody drops the buffer of a body that is larger than MaxKeptBodyBytes. Call it once the request is
// answered; slices of the body stay valid.
func ReleaseBody(r *fasthttp.Request) { r.ReleaseBody(MaxKeptBodyBytes) }
