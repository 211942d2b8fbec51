package upstreams

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// errEventTooLong says that a line or an event is over its limit.
var errEventTooLong = errors.New("an event of the stream is over the limit; raise MaxEventBytes or mend the upstream")

// readBytes is the buffer of a stream; an event of a token is smaller. There is one
// for each stream, on top of the connection's own.
const readBytes = 1 << 10

var (
	byteOrderMark = []byte("\xef\xbb\xbf")
	dataField     = []byte("data")
)

// eventReader reads server-sent events, as the HTML standard defines them, and
// gives out their data. Lines end with LF or CRLF; a lone CR ends none, since no
// engine's data contains one. Fields other than data are skipped, as are comments.
type eventReader struct {
	r     *bufio.Reader
	max   int
	first bool
	line  []byte
	data  []byte
}

func newEventReader(r io.Reader, max int) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBytes), max: max, first: true}
}

// Next returns the data of the next event, valid until the call after. An event
// that the stream's end cuts short is dropped.
func (e *eventReader) Next() ([]byte, error) {
	e.data = e.data[:0]
	found := false
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if found {
				return e.data, nil
			}
			continue
		}
		value, ok := dataOf(line)
		if !ok {
			continue
		}
		if found {
			e.data = append(e.data, '\n')
		}
		found = true
		if len(e.data)+len(value) > e.max {
			return nil, fmt.Errorf("%w (%d bytes)", errEventTooLong, e.max)
		}
		e.data = append(e.data, value...)
	}
}

// dataOf returns the value of a data field.
func dataOf(line []byte) ([]byte, bool) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if !bytes.Equal(name, dataField) {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte{' '}), true
}

// readLine returns the next whole line without its end.
func (e *eventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		if len(e.line)+len(part) > e.max {
			return nil, fmt.Errorf("%w (%d bytes)", errEventTooLong, e.max)
		}
		if err == nil && len(e.line) == 0 {
			return e.trim(part), nil
		}
		e.line = append(e.line, part...)
		if err == nil {
			return e.trim(e.line), nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

func (e *eventReader) trim(line []byte) []byte {
	line = line[:len(line)-1]
	line = bytes.TrimSuffix(line, []byte{'\r'})
	if e.first {
		e.first = false
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	return line
}
