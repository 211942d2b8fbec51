package routed

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/state"
)

// Long prompts and short questions of one service differ in their routes' kind and
// rank, and have a histogram each.
func TestAnswersAreMeasuredByClass(t *testing.T) {
	is := is.New(t)
	m := newMeasures()
	urgent := forward.Class{Service: "llm", Kind: state.RouteStream, Priority: 0}
	question := forward.Class{Service: "llm", Kind: state.RouteStream, Priority: 1}
	m.Answered(urgent, 200, 50*time.Millisecond)
	m.Answered(urgent, 200, 60*time.Millisecond)
	m.Answered(urgent, 503, time.Millisecond)
	m.Answered(question, 200, 3*time.Second)
	m.Read("llm", 500*time.Millisecond, time.Second)
	m.Read("llm", 0, time.Second) // nothing was predicted
	var out strings.Builder
	m.set.WritePrometheus(&out)
	for _, line := range []string{
		`thymerack_answers_total{service="llm",kind="stream",priority="0",status="200"} 2`,
		`thymerack_answers_total{service="llm",kind="stream",priority="0",status="503"} 1`,
		`thymerack_answers_total{service="llm",kind="stream",priority="1",status="200"} 1`,
		`thymerack_answer_seconds_count{service="llm",kind="stream",priority="0"} 3`,
		`thymerack_answer_seconds_count{service="llm",kind="stream",priority="1"} 1`,
		`thymerack_reading_ratio_sum{service="llm"} 2`,
		`thymerack_reading_ratio_count{service="llm"} 1`,
	} {
		is.True(strings.Contains(out.String(), line+"\n")) // the class's measure
	}
}
