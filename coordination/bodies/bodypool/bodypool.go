// Package bodypool has pools of request bodies for tests.
package bodypool

import (
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/bodies"
	"github.com/thymerack/thymerack/coordination/clocktest"
)

// MaxWait bounds the waits in the pools.
const MaxWait = 500 * time.Millisecond

// New returns a pool of the given size in which nothing is held.
func New(t testing.TB, maxBytes int) *bodies.Pool {
	t.Helper()
	p, err := bodies.New(bodies.Options{MaxBytes: maxBytes, MaxWait: MaxWait, Clock: clocktest.Bubble{}})
	if err != nil {
		t.Fatal(err)
	}
	return p
}
