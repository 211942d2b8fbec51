// Package link carries connections between two processes of a test and drops
// them on demand, in place of a network that partitions.
package link

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
)

// Mode is what a link does with its connections.
type Mode string

// The modes.
const (
	// Pass carries bytes both ways.
	Pass Mode = "pass"
	// Drop keeps connections open and carries nothing, as a network that loses
	// every packet.
	Drop Mode = "drop"
	// Cut closes all connections and every new one, as a network that resets.
	Cut Mode = "cut"
)

// Link carries connections from one address to another.
type Link struct {
	// Name is used to choose the link in a fault.
	Name string
	// Listen and To are ip:port.
	Listen, To string

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

// Parse reads NAME=LISTEN>TO.
func Parse(text string) (*Link, error) {
	name, rest, ok := strings.Cut(text, "=")
	listen, to, ok2 := strings.Cut(rest, ">")
	if !ok || !ok2 {
		return nil, fmt.Errorf("%q is not a link; write NAME=LISTEN>TO with ip:port on both sides", text)
	}
	return &Link{Name: name, Listen: listen, To: to, mode: Pass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}, nil
}

// Set changes the mode.
func (l *Link) Set(m Mode) error {
	if m != Pass && m != Drop && m != Cut {
		return fmt.Errorf("%q is not a mode; use pass, drop or cut", m)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	if m == Cut {
		for c := range l.conns {
			_ = c.Close()
		}
	}
	return nil
}

// Serve carries connections of ln until it is closed.
func (l *Link) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go l.carry(c)
	}
}

func (l *Link) carry(in net.Conn) {
	defer in.Close()
	if !l.add(in) {
		return
	}
	defer l.remove(in)
	l.await()
	out, err := net.Dial("tcp", l.To)
	if err != nil {
		return
	}
	defer out.Close()
	if !l.add(out) {
		return
	}
	defer l.remove(out)
	done := make(chan struct{}, 2)
	go func() { l.copy(out, in); done <- struct{}{} }()
	go func() { l.copy(in, out); done <- struct{}{} }()
	<-done
}

// add notes an open connection; false when the link is cut.
func (l *Link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == Cut {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// await returns once the link doesn't drop.
func (l *Link) await() {
	for {
		l.mu.Lock()
		mode, changed := l.mode, l.changed
		l.mu.Unlock()
		if mode != Drop {
			return
		}
		<-changed
	}
}

const bufferBytes = 16 << 10

func (l *Link) copy(to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
