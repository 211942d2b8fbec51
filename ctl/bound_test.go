package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const oneDay = `
length_s = 4.0
services = [{ name = "plain", servers = [{ count = 1 }], slots = 1 }]
classes = [{ name = "alert", service = "plain", deadline_ms = 600, worth = 1, late_worth = 0.3, work_ms = { mean = 20.0 } }]
traffic = [{ zone = "a", mix = { alert = 1.0 }, per_s = 100.0 }]
[[day]]
name = "busy"
`

func TestBoundSaysWhatBinds(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "site.toml")
	is.NoErr(os.WriteFile(file, []byte(oneDay), 0o600))
	out, code := ctl(t, "127.0.0.1:1", "", "", "bound", file) // no host is asked
	is.Equal(code, 0)
	is.True(strings.Contains(out, "busy"))
	is.True(strings.Contains(out, "0.500"))
	is.True(strings.Contains(out, "plain, 4 s"))
	out, code = ctl(t, "127.0.0.1:1", "", "", "-o", "json", "bound", file, "--day", "busy")
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"in_time"`))
}

func TestBoundOfWhatIsNotThereNamesTheRemedy(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "site.toml")
	out, code := ctl(t, "127.0.0.1:1", "", "", "bound", file)
	is.Equal(code, 2)
	is.True(strings.Contains(out, "name an existing one"))
	is.NoErr(os.WriteFile(file, []byte(oneDay), 0o600))
	out, code = ctl(t, "127.0.0.1:1", "", "", "bound", file, "--day", "quiet")
	is.Equal(code, 2)
	is.True(strings.Contains(out, "leave --day out"))
}
