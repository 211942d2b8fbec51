package stream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/upstream"
)

func event(attempt string, seq int, finish string) upstream.Event {
	return upstream.Event{Attempt: attempt, Seq: seq, Text: fmt.Sprintf("t%d ", seq), Finish: finish}
}

func TestChecker(t *testing.T) {
	end := upstream.Event{End: true}
	cases := []struct {
		name   string
		next   int
		events []upstream.Event
		text   string
		whole  bool
		err    error
		counts Counts
	}{
		{"in order", 0, []upstream.Event{event("a", 0, ""), event("a", 1, "stop"), end}, "t0 t1 ", true, nil, Counts{}},
		{"resumed", 1, []upstream.Event{event("a", 1, "stop"), end}, "t1 ", true, nil, Counts{}},
		{"duplicate", 0, []upstream.Event{event("a", 0, ""), event("a", 0, ""), event("a", 1, "stop"), end}, "t0 t1 ", true, nil, Counts{Duplicate: 1}},
		{"reordered", 0, []upstream.Event{event("a", 1, ""), event("a", 0, ""), event("a", 2, "stop"), end}, "t0 t1 t2 ", true, nil, Counts{Reordered: 1}},
		{"event of another attempt", 0, []upstream.Event{event("b", 0, ""), event("a", 0, "stop"), end}, "t0 ", true, nil, Counts{Foreign: 1}},
		{"no end mark", 0, []upstream.Event{event("a", 0, "stop")}, "t0 ", false, nil, Counts{}},
		{"end mark before the last token", 0, []upstream.Event{event("a", 0, ""), end}, "t0 ", false, ErrTruncated, Counts{}},
		{"end mark while a token is missing", 0, []upstream.Event{event("a", 1, "stop"), end}, "", false, ErrGap, Counts{Reordered: 1}},
		{"beyond the reorder distance", 0, []upstream.Event{event("a", maxReorderDistance+1, "")}, "", false, ErrGap, Counts{}},
		{"after the last token", 0, []upstream.Event{event("a", 0, "stop"), event("a", 1, ""), end}, "t0 ", true, nil, Counts{Duplicate: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			checker := NewChecker("a", c.next)
			var text strings.Builder
			var err error
			for _, e := range c.events {
				if err = checker.Accept(e, func(e upstream.Event) { text.WriteString(e.Text) }); err != nil {
					break
				}
			}
			is.Equal(err, c.err)
			is.Equal(text.String(), c.text)
			is.Equal(checker.Complete(), c.whole)
			is.Equal(checker.Counts(), c.counts)
		})
	}
}
