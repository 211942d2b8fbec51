// Package soak runs real hosts as processes on loopback, disturbs them from
// outside by a seed, and checks from what callers and runners see that the
// promises hold. TestSoak is its entry; docs/SOAK.md says how to run it.
package soak
