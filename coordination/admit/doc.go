// Package admit decides which requests a host starts, in which order, and which
// it refuses at once.
//
// A request is started while the host's share of the fleet has room for it.
// Else it waits in a bounded queue of its service: customers share by weight in
// tokens, and urgent classes go first within a bound. A request whose predicted
// finish is past its deadline is refused when it comes, or in the queue as soon
// as its deadline can't be met any more, and told when to come back.
package admit
