package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestAccountSumsUpLogs(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "hosts.log")
	lines := `{"msg":"request ended","route":"a","status":200,"took_ms":80,"sendings":{"steps":"run:e3:answered:9ms"}}
{"msg":"request ended","route":"a","status":0,"took_ms":4,"refused":"the request was not run (overloaded); send it again after 1s","sendings":{"steps":""}}
`
	is.NoErr(os.WriteFile(file, []byte(lines), 0o600))
	out, code := ctl(t, "127.0.0.1:1", "", "", "account", file) // no host is asked
	is.Equal(code, 0)
	is.True(strings.Contains(out, "REFUSED AT ONCE"))
	out, code = ctl(t, "127.0.0.1:1", "", "", "-o", "json", "account", file)
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"refused at once"`))
	is.True(strings.Contains(out, `"total"`))
	out, code = ctl(t, "127.0.0.1:1", "", "", "account", file+"x")
	is.Equal(code, 2)
	is.True(strings.Contains(out, "name an existing file"))
	is.NoErr(os.WriteFile(file, []byte("{\"msg\":\"request ended\""), 0o600))
	out, code = ctl(t, "127.0.0.1:1", "", "", "account", file)
	is.Equal(code, 2)
	is.True(strings.Contains(out, "line 1"))
}
