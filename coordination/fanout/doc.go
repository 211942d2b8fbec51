// Package fanout lets a few hosts of each failure domain follow the platform's store and
// the others follow them, so that the calls at the store don't grow with the fleet.
//
// Every host computes the same relays from the list of hosts, without asking. A host that
// is asked to relay follows the store itself from then on, whatever it has computed: two
// hosts with different lists agree by that, and no two wait for each other. A host passes
// over a relay that is silent, leaves or has lost the store, and follows the store itself
// when it knows no other; what it has never goes back to a lower revision.
package fanout
