package propagation

import (
	"testing"
	"time"
)

// Guards against a change that is in force too late although each step keeps its own limit: the longest
// delays of all steps on a path must fit the bound together.
func TestDelaysFitTheirBounds(t *testing.T) {
	for name, b := range map[string]Bounds{
		"not set":    {},
		"small":      {InForce: 2 * time.Second, Contact: 3 * time.Second},
		"grown":      {InForce: 3 * time.Second, Contact: 4 * time.Second},
		"large":      {InForce: 4 * time.Second, Contact: 5 * time.Second},
		"whole":      {InForce: 5 * time.Second, Contact: 6 * time.Second},
		"short":      {InForce: time.Second, Contact: time.Second},
		"contact":    {InForce: 5 * time.Second, Contact: 3 * time.Second},
		"in force":   {InForce: 2 * time.Second, Contact: 30 * time.Second},
		"very large": {InForce: 60 * time.Second, Contact: 60 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			d := New(b)
			for _, p := range d.Paths(b) {
				if p.Sum() > p.Limit {
					t.Errorf("%s: %v of %v: %v", p.Name, p.Sum(), p.Limit, p.Steps)
				}
			}
			for name, delay := range map[string]time.Duration{
				"WatchWait": d.WatchWait, "AnswerTimeout": d.AnswerTimeout, "ListTimeout": d.ListTimeout, "Coalesce": d.Coalesce, "Retry": d.Retry,
				"PeerCopyWait": d.PeerCopyWait, "RelayWait": d.RelayWait, "RelaySlack": d.RelaySlack, "RelayBackoff": d.RelayBackoff, "OutageHold": d.OutageHold, "Hold": d.Hold, "HoldCheck": d.HoldCheck, "Reserve": d.Reserve,
			} {
				if delay <= 0 {
					t.Errorf("%s is %v; it must be positive", name, delay)
				}
			}
		})
	}
}
