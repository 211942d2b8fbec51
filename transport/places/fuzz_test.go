package places

import (
	"log/slog"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/state/packed"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// Whatever bytes a peer sends, an owner answers or refuses them, and its tracker stands.
func FuzzEnter(f *testing.F) {
	for _, q := range []Enter{
		{Engine: "e", Most: 3, KeepMS: 1000},
		{Engine: "e", KeepMS: -5, Reading: &Reading{Service: "s", Parts: []uint64{1, 2}, Tokens: []int{6000, 300}, Own: 3000, Memory: 1e6, LimitMS: 200, MaxWaitMS: 40, Warm: true}},
		{Engine: "e", KeepMS: 1 << 62, Reading: &Reading{Own: 1 << 62, Tokens: []int{1 << 62}, Parts: []uint64{9}, Fetched: 1 << 62, FetchMS: 1e300, Late: true, MaxWaitMS: 1 << 62}},
	} {
		body, err := msgpack.Marshal(q)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		var q Enter
		if packed.Decode(body, &q) != nil { // as the host does
			return
		}
		a, err := q.ask()
		if err != nil {
			return
		}
		book := occupancy.NewTracker(wallclock.Clock{}, slog.New(slog.DiscardHandler))
		for range 2 {
			got := entered(book.Enter(a)).answer()
			book.Remaining(a.Engine, got.ID)
			book.Leave(a.Engine, got.ID, true)
		}
	})
}
