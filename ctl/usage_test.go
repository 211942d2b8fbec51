package ctl

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/usage"
	"github.com/thymerack/thymerack/platform/platformtest"
)

func TestOperatorSeesWhatWasReported(t *testing.T) {
	is := is.New(t)
	s, err := platformtest.NewStore("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	s.Put(usage.KindReports, "reports", map[string]any{"through": 8, "reports": []any{
		map[string]any{"window": 7, "counts": map[string]int{"depot": 3, "hall": 4}, "confirmed": true},
		map[string]any{"window": 8, "counts": map[string]int{}, "missing": []string{"10.1.0.2:7"}, "said": map[string]int{"10.1.0.1:7": 9}},
	}})
	out, code := ctl(t, "127.0.0.1:1", "", "", "usage", "--users", "--store", s.Addr())
	is.Equal(code, ExitOK)
	for _, words := range [][]string{{"7", "true", "depot", "3"}, {"7", "true", "hall", "4"}, {"8", "false", "10.1.0.2:7", "-", "0"}} {
		is.True(hasRow(out, words))
	}
	out, code = ctl(t, "127.0.0.1:1", "", "", "usage", "--users", "--store", s.Addr(), "--window", "8", "--hosts")
	is.Equal(code, ExitOK)
	is.True(hasRow(out, []string{"8", "false", "10.1.0.2:7", "10.1.0.1:7", "9"}))
	is.True(!strings.Contains(out, "depot"))
	out, code = ctl(t, "127.0.0.1:1", "", "", "usage", "--users", "--store", s.Addr(), "--window", "9")
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(out, "leave --window away"))
}

// hasRow reports whether a line of a table has these words.
func hasRow(table string, words []string) bool {
	for line := range strings.Lines(table) {
		if strings.Join(strings.Fields(line), " ") == strings.Join(words, " ") {
			return true
		}
	}
	return false
}

func TestWrongUsageCommandsNameTheRemedy(t *testing.T) {
	is := is.New(t)
	out, code := ctl(t, "127.0.0.1:1", "", "", "usage")
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(out, "THYMECTL_STORE"))
	out, code = ctl(t, "127.0.0.1:1", "", "", "usage", "--users", "--store", "127.0.0.1:1")
	is.Equal(code, ExitUnreachable)
	is.True(strings.Contains(out, "check --store against"))
}
