package measure

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fill observes one answer of each customer in each of three classes.
func fill(s *Set, customers int) {
	for i := range customers {
		for _, class := range []string{"rota", "chat", "swap"} {
			customer := fmt.Sprintf("customer-%04d", i)
			s.FirstToken(customer, class, 100*time.Millisecond)
			s.BetweenTokens(customer, class, 20*time.Millisecond)
			s.Whole(customer, class, time.Second, i%2 == 0)
		}
	}
}

func TestLabelsStayBounded(t *testing.T) {
	is := is.New(t)
	s := New(10)
	fill(s, 50)
	var page bytes.Buffer
	s.set.WritePrometheus(&page)
	is.Equal(strings.Count(page.String(), "thymerack_answers_in_time_total{"), 33) // ten and the rest, three classes
	is.True(strings.Contains(page.String(), `thymerack_answers_in_time_total{customer="other",class="rota"} 20`))
}

// BenchmarkPage writes the metrics page of a host that has seen 1,700 customers.
func BenchmarkPage(b *testing.B) {
	s := New(200)
	fill(s, 1700)
	var page bytes.Buffer
	for b.Loop() {
		page.Reset()
		s.Write(&page)
	}
	b.ReportMetric(float64(page.Len()), "bytes/page")
}

// BenchmarkBetweenTokens is what a streamed token costs.
func BenchmarkBetweenTokens(b *testing.B) {
	s := New(200)
	for b.Loop() {
		s.BetweenTokens("depot", "rota", 20*time.Millisecond)
	}
}
