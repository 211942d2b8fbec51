package packed

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

type thing struct {
	Names []thing `msgpack:"n"`
	Data  []byte  `msgpack:"d"`
}

func TestMessageIsReadBack(t *testing.T) {
	is := is.New(t)
	sent := thing{Names: []thing{{Data: []byte("a")}, {}}, Data: make([]byte, 1000)}
	body, err := msgpack.Marshal(sent)
	is.NoErr(err)
	var got thing
	is.NoErr(Decode(body, &got))
	is.Equal(len(got.Names), 2)
	is.Equal(got.Names[0].Data, []byte("a"))
	is.Equal(len(got.Data), 1000)
}

// Messages that announce more than they have are refused without making room for it.
func TestShortMessageIsRefused(t *testing.T) {
	for name, body := range map[string]string{
		"nothing":                            "",
		"a list of a billion things":         "\x93\xddZ\x91\x02\xd4\x95\f",
		"the same in a list of one":          "\x91\xdd\x7f\xff\xff\xff\xc0",
		"bytes that don't come":              "\x82\xa1d\xc6\x7f\xff\xff\xff",
		"another type":                       "\xa3abc",
		"lists in lists, eight million deep": strings.Repeat("\x91", 8<<20),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got thing
			var wrong *Error
			is.True(errors.As(Decode([]byte(body), &got), &wrong))
		})
	}
}

// Measured in ns and allocations beside the decoding itself.
func BenchmarkWhole(b *testing.B) {
	sent := thing{Data: make([]byte, 100)}
	for range 50 {
		sent.Names = append(sent.Names, thing{Data: make([]byte, 16)})
	}
	body, err := msgpack.Marshal(sent)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("pass over", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = whole(body)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var got thing
			_ = Decode(body, &got)
		}
	})
}
