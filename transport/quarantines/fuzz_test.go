package quarantines

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/state/packed"
)

// Any message of a peer is either decoded or refused, and a decoded one survives encoding.
func FuzzNotice(f *testing.F) {
	for _, n := range []notice{
		{},
		{Answered: [][]byte{make([]byte, 16)}},
		{Crashes: []crash{{Runner: "e", Born: 1, Host: "h", AtMS: 5, Suspects: []suspect{{Digest: make([]byte, 16), RequestID: "a", AgeMS: 80}}}}},
		{Held: []heldRequest{{Digest: make([]byte, 16), Crashes: []crash{{Runner: "e"}}}}},
	} {
		body, err := msgpack.Marshal(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var m notice
		if packed.Decode(body, &m) != nil {
			return
		}
		q, err := m.decode()
		if err != nil {
			return
		}
		again, err := encode(q).decode()
		if err != nil || len(again.Crashes) != len(q.Crashes) || len(again.Held) != len(q.Held) || len(again.Answered) != len(q.Answered) {
			t.Fatalf("%v became %v, %v", q, again, err)
		}
	})
}
