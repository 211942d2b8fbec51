// Package replay drives the real router, admitter and rebalancer through a
// recorded trace, against small fake engines with a time model of continuous
// batching. It runs on a virtual clock in one goroutine, so that a replay of the
// same trace gives the same figures every time.
//
// It measures the decisions only: there is no network, no platform and no
// failure of a host in it.
package replay
