// Package buffertest has pools for tests.
package buffertest

import (
	"testing"

	"github.com/thymerack/thymerack/coordination/buffers"
)

// MaxBytes and MaxAnswerBytes are the bounds of the pools, about those of the smallest hosts.
const (
	MaxBytes       = 8 << 20
	MaxAnswerBytes = 2 << 20
)

// New returns a pool in which nothing is held.
func New(t testing.TB) *buffers.Pool {
	t.Helper()
	p, err := buffers.New(buffers.Options{MaxBytes: MaxBytes, MaxAnswerBytes: MaxAnswerBytes})
	if err != nil {
		t.Fatal(err)
	}
	return p
}
