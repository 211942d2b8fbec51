package front_test

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a server that reads and rewrites forms: services get the body that the caller sent.
func TestFormsOfCallsPassUnchanged(t *testing.T) {
	const contentType = "Content-Type: multipart/form-data; boundary=b"
	for name, body := range map[string]string{
		"fields in order": "--b\r\nContent-Disposition: form-data; name=\"z\"\r\n\r\n1\r\n--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n2\r\n--b--\r\n",
		"preamble":        "a preamble\r\n--b\r\nX-Part: 1\r\nContent-Disposition: form-data; name=\"z\"\r\n\r\n1\r\n--b--\r\nan epilogue",
		"cut short":       "--b\r\nContent-Disposition: form-data; name=\"z\"\r\n\r\n1",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHost(t, nil)
			is.Equal(h.ask(t, "POST", "/services/app/x", body, contentType).status, 200)
			is.Equal(string(h.dispatcher.calls[0].Body), body)
		})
	}
}

// Guards against a server that normalizes paths: services get the part behind their name as the caller sent it.
func TestPathsOfCallsPassUnchanged(t *testing.T) {
	for _, path := range []string{"/x/", "/a//b", "/./a", "/a/../b", "/%2F", "/%zz", "/a%20b", "/;p=1", "/%C3%A9", "/x?", "/x?b=2&a=1", "/x/?q=%41&q=+", "/X/Y"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			h := newHost(t, nil)
			is.Equal(h.ask(t, "POST", "/services/app"+path, "").status, 200)
			is.Equal(h.dispatcher.calls[0].Path, path)
		})
	}
}
