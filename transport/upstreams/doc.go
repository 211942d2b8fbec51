// Package upstreams reaches engines and plain services over HTTP. Its Client
// implements upstream.Engines, Services, Checker and Orders of coordination over
// protocol/engineapi.
//
// No call retries by itself. Every failure is an *upstream.SendError (except
// upstream.ErrStaleFence) whose MaybeSent is false only if the kernel took no
// byte of the request: the connection could not be made, or broke before the
// first byte. An upstream that closes a kept connection at the moment a request
// is written to it makes that attempt fail with MaybeSent true; kept connections
// are probed before use and dropped early to make this rare. A call that may not
// be repeated has a connection of its own and so never meets it.
//
// Orders have a connection of their own, too, with TCP_USER_TIMEOUT, which is
// reset when the order fails: no part of an order stays in a kernel buffer to be
// delivered after a partition has healed.
package upstreams
