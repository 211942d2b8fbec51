// Package state holds the plain data that hosts share and the invariants of
// that data. It does no I/O, starts no goroutine and reads no clock.
package state
