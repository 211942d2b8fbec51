// Package fanout distributes copies of the platform's store within the fleet: a few relays of
// each failure domain follow the store, and the other hosts, the followers, fetch changes from
// the relays. The number of calls to the store therefore doesn't grow with the fleet. The package
// also carries notices, short-lived messages from one host to all others.
//
// The hosts of a failure domain that is too small for relays all follow the store. Each of them also
// fetches from another host, in a ring, because a host whose watch gets no answer can't tell that from a
// store without changes.
//
// Every host computes the same relays from the list of hosts, without coordination. A host
// that receives a fetch follows the store from then on, even if it isn't a relay by its own
// list: hosts with different lists still get their changes, and no two hosts wait for each
// other. A follower backs off from a relay that doesn't respond, is leaving or has lost the
// store, and follows the store itself if no other relay is usable. The revision of a copy never
// decreases.
package fanout
