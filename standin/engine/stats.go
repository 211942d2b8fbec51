package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// AcceptedOrder is one order that the engine took.
type AcceptedOrder struct {
	At     time.Time    `json:"at"`
	Fence  uint64       `json:"fence"`
	Nonce  string       `json:"nonce"`
	Target state.Target `json:"target"`
	// Contradicts is true when it asked for another target than the order that
	// was being carried out.
	Contradicts bool `json:"contradicts,omitempty"`
	// Stale is true when its fence was below the highest accepted one; only an
	// engine that ignores fences accepts such an order.
	Stale bool `json:"stale,omitempty"`
	// Killed is the number of sequences that it cut off.
	Killed int `json:"killed"`
}

// Stats is what the engine counted since it started.
type Stats struct {
	Name       string `json:"name"`
	Executions int64  `json:"executions"`
	// Attempts counts executions by attempt id; more than 1 is a doubled attempt.
	Attempts        map[string]int `json:"attempts"`
	Killed          int64          `json:"killed"`
	Cancelled       int64          `json:"cancelled"`
	RefusedChanging int64          `json:"refused_changing"`
	PrefillTokens   int64          `json:"prefill_tokens"`
	CachedTokens    int64          `json:"cached_tokens"`
	DecodeTokens    int64          `json:"decode_tokens"`
	// Orders are the accepted orders, in order.
	Orders        []AcceptedOrder `json:"orders"`
	RefusedOrders int64           `json:"refused_orders"`
}

func newStats(name string) Stats {
	return Stats{Name: name, Attempts: map[string]int{}, Orders: []AcceptedOrder{}}
}

func (s Stats) clone() Stats {
	s.Attempts = maps.Clone(s.Attempts)
	s.Orders = slices.Clone(s.Orders)
	return s
}
