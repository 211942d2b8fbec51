// Package admit implements admission control: it decides which requests a host
// starts, in which order, and which it refuses.
//
// An Admitter starts a request while the host's share of the fleet's capacity
// allows it. Otherwise the request waits in the bounded queue of its service, in
// which customers share by weight, measured in tokens, and urgent requests go
// first up to a bounded share. A request whose predicted finish is after its
// deadline is refused on arrival; a queued one is refused as soon as its deadline
// is out of reach. A refusal carries the time after which to send the request
// again.
//
// Costs are in prompt tokens: the work of a request expressed as the number of
// prompt tokens whose prefill takes as long. A request without tokens, such as a
// call of a service that isn't an engine, costs 1.
package admit
