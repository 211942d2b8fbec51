package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const good = `
[host]
name = hall-nord-1
failure_domain = hall-nord
[platform]
addr = 127.0.0.1:7000
timeout_ms = 1500
[peers]
listen = 127.0.0.1:8101
`

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "thymerackd.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLaterSourcesGoFirst(t *testing.T) {
	is := is.New(t)
	env := []string{"HOME=/nowhere", "THYMERACK_PLATFORM_TIMEOUT_MS=1600", "THYMERACK_HOST_FAILURE_DOMAIN=hall-sud"}
	s, err := Load(file(t, good), env, []string{"platform.timeout_ms=1700"})
	is.NoErr(err)
	is.Equal(s.Host.Name, "hall-nord-1")
	is.Equal(s.Host.FailureDomain, "hall-sud")
	is.Equal(s.Platform.Timeout, 1700*time.Millisecond)
	is.Equal(s.Platform.WatchWait, Default().Platform.WatchWait)
}

func TestBadSettingsNameTheKeyAndTheRemedy(t *testing.T) {
	cases := []struct{ name, text, flag, key, remedy string }{
		{"unknown key", good + "[claims]\nshard = 3\n", "", "claims.shard", "did you mean claims.shards?"},
		{"no unit", good, "platform.timeout_ms=2s", "platform.timeout_ms", "whole number"},
		{"no name", strings.Replace(good, "hall-nord-1", "", 1), "", "host.name", "name this host"},
		{"host name with separator", good, "host.name=a~b", "host.name", "letters"},
		{"not an address", good, "platform.addr=localhost", "platform.addr", "10.0.0.1:8080"},
		{"clashing address", good, "callers.listen=127.0.0.1:8101", "peers.listen", "different ports"},
		{"no peer key off loopback", good, "peers.listen=10.0.0.1:8101", "peers.key_file", "shared key"},
		{"no operator token off loopback", good, "callers.listen=10.0.0.1:80", "operators.token_file", "token"},
		{"negative", good, "claims.shards=-1", "claims.shards", "above 0"},
		{"claims forgotten too soon", good, "claims.retention_s=60", "claims.retention_s", "several times"},
		{"bad level", good, "log.level=loud", "log.level", "debug"},
		{"no value", good, "log.level", "log.level", "section.key=value"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var flags []string
			if c.flag != "" {
				flags = []string{c.flag}
			}
			_, err := Load(file(t, c.text), nil, flags)
			var wrong *KeyError
			is.True(errors.As(err, &wrong))
			is.Equal(wrong.Key, c.key)
			is.True(strings.Contains(err.Error(), c.remedy))
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"rostering.ini", "hay.ini"} {
		is := is.New(t)
		s, err := Load(filepath.Join("..", "docs", "examples", name), nil, nil)
		is.NoErr(err)
		is.Equal(len(s.Peers.SeedList()), 2)
	}
}

func TestMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "none.ini"), nil, nil)
	is.True(errors.Is(err, os.ErrNotExist))
}
