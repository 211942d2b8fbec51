// Package tunnel carries connections to runners through another host, for a host that has lost its
// own links to them.
//
// Each tunnel is a TCP connection between two hosts. It begins with a framed msgpack Request and
// Reply; the asked host has then connected to the runner, over its own link only: a tunnel never
// leads through a third host. Bytes to the runner follow as they are. Bytes from it follow in chunks,
// so that the end of the runner's connection can be told from the loss of the tunnel: a response
// that ends with its connection must not look whole when a host ends.
//
// The host at which the tunnel begins sends the requests and keeps all that is known of them:
// attempts, permits, retries, quotas and usage. The other host sees bytes.
package tunnel
