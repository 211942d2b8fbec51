package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Result is what a client attempt got.
type Result struct {
	ID     string
	Sent   time.Time
	Status int // 0 without an answer
	// Whole says that the answer came to its end, and Wrong what was wrong with it.
	Whole  bool
	Wrong  string
	Events int
	// Unsafe says that the request may run once at most.
	Unsafe bool
}

// Served reports whether the attempt got its own whole answer.
func (r Result) Served() bool { return r.Status == http.StatusOK && r.Whole && r.Wrong == "" }

// Send makes one client attempt on a new connection.
func (f *Fleet) Send(addr, method, path, id string, deadline time.Duration, headers map[string]string, body string) Result {
	out := Result{ID: id, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
		},
	}}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+CallerHost+path, strings.NewReader(body))
	if err != nil {
		out.Wrong = err.Error()
		return out
	}
	req.Header.Set("X-Thymerack-Request-Id", id)
	req.Header.Set("X-Thymerack-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	out.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		out.Whole = err == nil
		return out
	}
	if !strings.Contains(resp.Header.Get("X-Thymerack-Server-Seal"), id) {
		out.Wrong = "the signature isn't that of the request's answer"
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		out.readEvents(resp.Body)
		return out
	}
	text, err := io.ReadAll(resp.Body)
	out.Whole = err == nil
	if out.Whole && string(text) != "answer to "+id {
		out.Wrong = "the body isn't that of the request's answer"
	}
	return out
}

// readEvents reads a stream whose events must be numbered from 1.
func (r *Result) readEvents(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		number, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		r.Events++
		if number != fmt.Sprint(r.Events) {
			r.Wrong = fmt.Sprintf("event %s comes where %d is due", number, r.Events)
		}
	}
	r.Whole = lines.Err() == nil
}
