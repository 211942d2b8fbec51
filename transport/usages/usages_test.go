package usages

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/usage"
)

func TestTalliesRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := []usage.Tally{
		{Run: "h1/1", Addr: "10.1.0.1:7", Through: time.UnixMicro(1_767_225_600_123_456), Windows: map[usage.Window]usage.Counts{7: {"depot": 3}, 8: {}}},
		{Run: "h2/1", Addr: "10.1.0.2:7", Through: time.UnixMicro(5), Windows: map[usage.Window]usage.Counts{}},
	}
	body, err := msgpack.Marshal(fetchResponse{encodeAll(sent)})
	is.NoErr(err)
	var got fetchResponse
	is.NoErr(msgpack.Unmarshal(body, &got))
	for i, tally := range decodeAll(got.Tallies) {
		is.Equal(tally.Run, sent[i].Run)
		is.Equal(tally.Addr, sent[i].Addr)
		is.True(tally.Through.Equal(sent[i].Through))
		is.Equal(tally.Windows, sent[i].Windows)
	}
}

// A tally of a small host: 8 requests a second of 40 customers, the present window and the two
// before. It is told twice a second, within a fifth of the 8 KB/s that control may take.
func TestTallyIsSmall(t *testing.T) {
	is := is.New(t)
	w := map[usage.Window]usage.Counts{}
	for k := range usage.Window(3) {
		w[357774478+k] = usage.Counts{}
		for c := range 27 {
			w[357774478+k]["huka"+string(rune('a'+c))+"70"] = 2
		}
	}
	body, err := msgpack.Marshal(pushRequest{Tally: encode(usage.Tally{Run: "front-hall-nord-1/01a0811a-7960-7b29-bf05-4bc415a57a8b", Addr: "10.1.0.1:7280", Windows: w})})
	is.NoErr(err)
	t.Logf("%d bytes", len(body))
	is.True(2*len(body) < 8000/2)
}
