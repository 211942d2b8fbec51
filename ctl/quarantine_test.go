package ctl

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/platform/platformtest"
)

func TestOperatorListsAndReleasesHeldRequests(t *testing.T) {
	is := is.New(t)
	s, err := platformtest.NewStore("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	d := quarantine.DigestOf(quarantine.Content{URI: "/a"}).String()
	s.Put(quarantine.Kind, d, map[string]any{
		"times": 1, "evidence": []any{map[string]any{"runner": "i-1", "request_id": "q-1", "host": "h-1", "at": "2026-01-02T03:04:05Z"}},
	})
	s.Put(quarantine.Kind, "of-somebody-else", map[string]any{"times": "x"})
	out, code := ctl(t, "127.0.0.1:1", "", "", "quarantine", "--users", "--store", s.Addr(), "list")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, d))
	is.True(strings.Contains(out, "i-1 under q-1 of h-1 at 2026-01-02T03:04:05Z"))
	is.True(!strings.Contains(out, "somebody"))

	out, code = ctl(t, "127.0.0.1:1", "", "", "quarantine", "--users", "--store", s.Addr(), "release", d)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "released "+d))
	out, code = ctl(t, "127.0.0.1:1", "", "", "quarantine", "--users", "--store", s.Addr(), "release", d)
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(out, "list those that are"))
}

func TestWrongQuarantineCommandsNameTheRemedy(t *testing.T) {
	for remedy, c := range map[string]struct {
		args []string
		code int
	}{
		"THYMECTL_STORE":        {[]string{"quarantine", "list"}, ExitUsage},
		"hexadecimal digits":    {[]string{"quarantine", "--store", "127.0.0.1:1", "release", "x"}, ExitUsage},
		"gave no answer":        {[]string{"quarantine", "--store", "127.0.0.1:1", "list"}, ExitUnreachable},
		"check --store against": {[]string{"quarantine", "--users", "--store", "127.0.0.1:1", "list"}, ExitUnreachable},
		"see thymectl --help":   {[]string{"quarantine", "--store", "127.0.0.1:1"}, ExitUsage},
	} {
		is := is.New(t)
		out, code := ctl(t, "127.0.0.1:1", "", "", c.args...)
		is.Equal(code, c.code)
		is.True(strings.Contains(out, remedy))
	}
}
