// Package quarantine keeps requests that crash the runners which run them away from the
// rest of the fleet.
//
// A request is known again by its Digest, at any host. When a runner crashes, each host
// publishes what it had there. All hosts count: the request that did it was there at each of
// its crashes and was never answered, while the others are answered when they are sent again.
// What is held is refused at once, everywhere.
//
// Three things carry this, in the order of their speed. Notices tell all hosts of each crash
// within milliseconds; a host that counts enough with its own crashes among them publishes
// that, for hosts that missed one. The platform's store keeps what is held, for hosts that
// start, come back or were cut off from the others, and until an operator or time releases
// it.
package quarantine
