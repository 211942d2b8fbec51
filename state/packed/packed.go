// Package packed decodes msgpack that comes from outside this process.
package packed

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Error says that a message isn't whole msgpack of the expected type.
type Error struct{ Cause error }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("the message can't be decoded (%v); run the same version on both sides", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Decode reads a message into out. The library makes room for as many elements of a list as
// the message announces, before it has read any: nine bytes were seen to ask for 110 GB. A
// message that announces more than it has is refused before that. Every error is an *Error.
func Decode(body []byte, out any) error {
	if err := whole(body); err != nil {
		return &Error{err}
	}
	if err := msgpack.Unmarshal(body, out); err != nil {
		return &Error{err}
	}
	return nil
}

// errShort says that a message announces more than it has.
var errShort = errors.New("it announces more than it has")

// whole passes over a message, however deep, without keeping any of it.
func whole(body []byte) error {
	r := bytes.NewReader(body)
	d := msgpack.NewDecoder(r)
	// Each value that is still to come has a byte at least.
	for due := 1; due > 0; {
		if due > r.Len() {
			return errShort
		}
		more, err := pass(d)
		if err != nil {
			return err
		}
		due += more - 1
	}
	return nil
}

// pass passes over one value and returns how many others it announces.
func pass(d *msgpack.Decoder) (more int, err error) {
	code, err := d.PeekCode()
	switch {
	case err != nil:
		return 0, err
	case msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32:
		return d.DecodeArrayLen()
	case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32:
		pairs, err := d.DecodeMapLen()
		return 2 * pairs, err
	default:
		return 0, d.Skip()
	}
}
