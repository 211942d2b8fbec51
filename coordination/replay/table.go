package replay

import (
	"fmt"
	"io"
	"time"
)

// WriteTable writes one line for each result of the same trace, as a Markdown
// table.
func WriteTable(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| setup | goodput | others' | late | refused | failed | attempts per request | role changes | called off | engine-seconds away |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for i := range results {
		r := &results[i]
		late := r.sum(func(c ClassResult) int { return c.Late })
		refused := r.sum(func(c ClassResult) int { return c.Refused })
		failed := r.sum(func(c ClassResult) int { return c.Failed })
		fmt.Fprintf(w, "| %s | %.3f | %.3f | %d | %d | %d | %.3f | %d | %d | %.0f |\n", r.Setup, r.Goodput(), r.OthersGoodput,
			late, refused, failed, r.AttemptsPerRequest(), r.RoleChanges, r.CalledOff, r.AwaySeconds)
	}
}

// WriteClasses writes one line for each class of each result, as a Markdown
// table; times are p50 / p95 / p99 in milliseconds.
func WriteClasses(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| setup | class | requests | in time | late | refused | first token, ms | between tokens, ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for i := range results {
		r := &results[i]
		for _, c := range r.Classes {
			fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %d | %s | %s |\n", r.Setup, c.Name, c.Total(), c.Good, c.Late, c.Refused,
				c.FirstToken, c.BetweenTokens)
		}
	}
}

// String returns p50 / p95 / p99 in milliseconds.
func (t Times) String() string {
	millis := func(d time.Duration) int64 { return d.Round(time.Millisecond).Milliseconds() }
	return fmt.Sprintf("%d / %d / %d", millis(t.P50), millis(t.P95), millis(t.P99))
}
