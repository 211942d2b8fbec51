package replay

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

// Trace is a recorded course of requests and of events at the fleet.
type Trace struct {
	// Deployment and Shape name it.
	Deployment, Shape string
	Classes           []Class
	Events            []Event
	// Requests are in order of arrival.
	Requests []Request
}

// Class is a kind of request.
type Class struct {
	Name      string
	Deadline  time.Duration
	Urgent    bool
	MaxTokens int
}

// Event is something that happens to an engine.
type Event struct {
	At time.Duration
	// What is one of the kinds below.
	What   string
	Engine string
}

// The kinds of event.
const (
	EventLost = "lost"
	EventBack = "back"
	// EventSlow makes an engine slow, which its reports don't show, until
	// EventWell.
	EventSlow = "slow"
	EventWell = "well"
)

// Request is one recorded request; lengths are in tokens.
type Request struct {
	At              time.Duration
	Customer, Class string
	// Prefix names the text that the prompt begins with, PrefixTokens long.
	Prefix, PrefixTokens       int
	PromptTokens, OutputTokens int
}

// Parse reads a trace.
func Parse(r io.Reader) (*Trace, error) {
	t := &Trace{}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		if err := t.line(strings.TrimSpace(lines.Text())); err != nil {
			return nil, fmt.Errorf("trace line %d: %w; write the trace with traces/gen", n, err)
		}
	}
	return t, lines.Err()
}

func (t *Trace) line(line string) error {
	word, _, _ := strings.Cut(line, " ")
	switch word {
	case "", "#":
		return nil
	case "trace":
		_, err := fmt.Sscanf(line, "trace %s %s", &t.Deployment, &t.Shape)
		return err
	case "class":
		var c Class
		var millis int64
		_, err := fmt.Sscanf(line, "class %s deadline %d urgent %t max %d", &c.Name, &millis, &c.Urgent, &c.MaxTokens)
		c.Deadline = time.Duration(millis) * time.Millisecond
		t.Classes = append(t.Classes, c)
		return err
	case "event":
		var e Event
		var millis int64
		_, err := fmt.Sscanf(line, "event %d %s %s", &millis, &e.What, &e.Engine)
		e.At = time.Duration(millis) * time.Millisecond
		t.Events = append(t.Events, e)
		return err
	}
	var r Request
	var millis int64
	_, err := fmt.Sscanf(line, "%d %s %s %d %d %d %d", &millis, &r.Customer, &r.Class, &r.Prefix, &r.PrefixTokens, &r.PromptTokens, &r.OutputTokens)
	r.At = time.Duration(millis) * time.Millisecond
	t.Requests = append(t.Requests, r)
	return err
}

// class returns the class of that name.
func (t *Trace) class(name string) Class {
	for _, c := range t.Classes {
		if c.Name == name {
			return c
		}
	}
	return Class{Name: name}
}

// blockTokens is the size of a block of the engines' prefix caches.
const blockTokens = 64

// prefixes returns the hashes of the prompt's growing prefixes, one a block. The
// blocks after the shared beginning are of no other prompt.
func (r *Request) prefixes(serial int) []uint64 {
	out := make([]uint64, r.PromptTokens/blockTokens)
	for i := range out {
		text := uint64(r.Prefix)
		if (i+1)*blockTokens > r.PrefixTokens {
			text = 1<<32 + uint64(serial)
		}
		out[i] = (text<<16 + uint64(i)) * 0x9e3779b97f4a7c15
	}
	return out
}
