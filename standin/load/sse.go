package load

import (
	"bufio"
	"io"
	"strings"
)

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// event is one SSE event. Comment lines give events without data, so that a
// reader notices them.
type event struct {
	id   string
	name string
	data string
}

// readEvents passes on the events of a stream until yield returns false or the
// stream ends; it returns the error that ended it, nil for an orderly end.
func readEvents(r io.Reader, yield func(event) bool) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var current event
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "":
			if current.data != "" && !yield(current) {
				return nil
			}
			current = event{}
		case strings.HasPrefix(line, ":"):
			if !yield(event{}) {
				return nil
			}
		case strings.HasPrefix(line, "id:"):
			current.id = strings.TrimSpace(strings.TrimPrefix(line, "id:"))
		case strings.HasPrefix(line, "event:"):
			current.name = strings.TrimSpace(strings.TrimPrefix(line, "event:"))
		case strings.HasPrefix(line, "data:"):
			current.data += strings.TrimSpace(strings.TrimPrefix(line, "data:"))
		}
	}
	return lines.Err()
}
