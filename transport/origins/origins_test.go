package origins

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/origin"
	"github.com/thymerack/thymerack/state/packed"
)

// A finding survives the wire with a record and without one, and an age that can't be right is bounded.
func TestFindingsSurviveTheWire(t *testing.T) {
	is := is.New(t)
	for _, want := range []origin.Finding{
		{Versions: []string{"v1", "v1.1"}, Noted: []string{"v1"}, Age: 90 * time.Second},
		{Record: origin.Record{ID: "9c41d07be2a35f68", Service: "huvo11a", Version: "v1.1", Attempt: 2}, Found: true, Versions: []string{"v1.1"}, Age: time.Second},
	} {
		body, err := msgpack.Marshal(encode(want))
		is.NoErr(err)
		var m finding
		is.NoErr(packed.Decode(body, &m))
		is.Equal(m.decode(), want)
		t.Logf("%d bytes", len(body))
	}
	is.Equal(finding{AgeMS: -1}.decode().Age, time.Duration(0))
	is.Equal(finding{AgeMS: 1e300}.decode().Age, 24*time.Hour)
}

// The size of a message with one record, which each replica gets for each stream while versions serve side by side.
func TestRecordIsSmall(t *testing.T) {
	is := is.New(t)
	body, err := msgpack.Marshal([]record{{ID: "9c41d07be2a35f68", Service: "huvo11a", Version: "v1.1", Attempt: 1}})
	is.NoErr(err)
	t.Logf("%d bytes", len(body))
	is.True(len(body) <= 64)
	var m []record
	is.NoErr(packed.Decode(body, &m))
	is.Equal(m[0].Version, "v1.1")
}
