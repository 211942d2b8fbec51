// Package connlease moves connections to runners to the hosts that have the load.
//
// A runner accepts a number of connections from all hosts together, and package share gives each host a
// part of it. A host whose part is used up borrows from hosts that don't use theirs, by a lease that
// ends unless it is renewed. Nothing else is shared: a lease moves connections between two hosts, so
// that the sum of what hosts may use stays below the limit if no host may use what it has lent.
//
// That holds with messages late, lost, doubled or in another order, since
//
//   - the borrower counts a lease from before it sent the request, and the lender from after it has got
//     it, so that a lease ends at the borrower first; both count the time in which they are suspended;
//   - requests name totals, not differences. A borrower has one request at a lender at a time, lowers what
//     it uses before it asks for less, and drops late answers; a lender ignores requests older than the
//     last one;
//   - a lender that has just started doesn't know what its last run has lent, and uses only what is never
//     lent until such leases have ended. It lends nothing in this time, but goes on with leases that
//     borrowers tell it of.
//
// A request that is running when its lease ends, as its lender can't be reached, goes on: only new requests
// are refused then.
package connlease
