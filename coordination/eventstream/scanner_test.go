package eventstream

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// scan feeds the parts to a scanner, and returns the blocks and whether it ends inside an event.
func scan(parts ...string) (blocks []string, events int, inside bool) {
	var s Scanner
	block := ""
	for _, part := range parts {
		for len(part) > 0 {
			n, ended := s.Next([]byte(part))
			block += part[:n]
			part = part[n:]
			if ended {
				blocks, block = append(blocks, block), ""
			}
		}
	}
	return blocks, s.Events(), s.Inside()
}

func TestBlocksEndWithABlankLine(t *testing.T) {
	for _, c := range []struct {
		stream string
		blocks []string
		events int
		inside bool
	}{
		{stream: ""},
		{"data: a\n\n", []string{"data: a\n\n"}, 1, false},
		{"data: a\r\n\r\n", []string{"data: a\r\n\r\n"}, 1, false},
		{"data: a\r\r", []string{"data: a\r\r"}, 1, false},
		{"data: a\n\r\n", []string{"data: a\n\r\n"}, 1, false},
		{"data: a\r\n\n", []string{"data: a\r\n\n"}, 1, false},
		{"data: a\n\ndata: b\n\n", []string{"data: a\n\n", "data: b\n\n"}, 2, false},
		{"data\n\n", []string{"data\n\n"}, 1, false},
		{"data: a\n", nil, 0, true},
		{"data: a\r\n", nil, 0, true},
		{"data: a", nil, 0, true},
		{": kept alive\n\n", []string{": kept alive\n\n"}, 0, false},
		{": kept alive\n", nil, 0, false},
		{": kept al", nil, 0, true},
		{": kept alive\ndata: a\n\n", []string{": kept alive\ndata: a\n\n"}, 1, false},
		{"data: a\n: kept alive\n", nil, 0, true},
		{"\n\ndata: a\n\n", []string{"\n", "\n", "data: a\n\n"}, 1, false},
	} {
		is := is.New(t)
		blocks, events, inside := scan(c.stream)
		is.Equal(blocks, c.blocks)
		is.Equal(events, c.events)
		is.Equal(inside, c.inside)
	}
}

func TestIDOfABlock(t *testing.T) {
	for block, want := range map[string]string{
		"id: 7\ndata: a\n\n": "7", "id:7\r\n\r\n": "7", "\xef\xbb\xbfid: 7\r\r": "7", "id: 6\nid: 7\n\n": "7",
		"data: id: 7\n\n": "-", "ids: 7\n\n": "-", ": id: 7\n\n": "-", "id: 7\x00\n\n": "-", "id\n\n": "", "id:  7\n\n": " 7",
	} {
		is := is.New(t)
		id, found := ID([]byte(block))
		if !found {
			id = "-"
		}
		is.Equal(id, want)
	}
}

// Guards against events that are found or missed depending on how the stream is cut into reads. Only the LF of a
// CRLF may move to the next block, if it is read later.
func TestReadsDontChangeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"\r", "\n", "\r\n", ":", "data: a", "id: 1", "\xef\xbb\xbf"})).Draw(t, "stream"), "")
		whole, events, inside := scan(stream)
		parts := strings.Split(stream, "")
		single, singleEvents, singleInside := scan(parts...)
		if events != singleEvents || inside != singleInside || len(whole) != len(single) {
			t.Fatalf("%q: %q, %d, %v at once, %q, %d, %v by bytes", stream, whole, events, inside, single, singleEvents, singleInside)
		}
	})
}

func FuzzScanner(f *testing.F) {
	f.Add("data: a\r\n\r\n: b\n\ndata: c\r\r")
	f.Fuzz(func(t *testing.T, stream string) {
		blocks, events, inside := scan(stream)
		// Each stream is completed by the end of its line and a blank line.
		completed, completedEvents, completedInside := scan(stream, "x\n\n")
		if completedInside || len(completed) <= len(blocks) || events > len(blocks) {
			t.Fatalf("%q: %q and then %q", stream, blocks, completed)
		}
		if inside && completedEvents < events {
			t.Fatalf("%q: fewer events after more bytes", stream)
		}
	})
}
