package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is how a proxy treats its connections.
type linkFault int

// The faults of a link.
const (
	linkSound linkFault = iota
	// linkDelayed holds each piece up by linkDelay.
	linkDelayed
	// linkSilent passes nothing on, either way.
	linkSilent
	// linkOneWay passes nothing back.
	linkOneWay
	// linkReset resets what is open and refuses what comes.
	linkReset
)

// linkDelay is the delay of a delayed link, each way.
const linkDelay = 60 * time.Millisecond

// proxy passes connections on to one address.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	fault linkFault
	// healed is closed when the fault ends; it is replaced with each fault.
	healed chan struct{}
	conns  map[net.Conn]bool
}

func newProxy(addr, target string) (*proxy, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w; free the port", err)
	}
	p := &proxy{ln: ln, target: target, healed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

// set changes the fault.
func (p *proxy) set(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.healed)
	p.healed = make(chan struct{})
	if f == linkReset {
		p.resetLocked()
	}
}

func (p *proxy) resetLocked() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked()
}

func (p *proxy) now() (linkFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.healed
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(c net.Conn) {
	defer c.Close()
	if f, _ := p.now(); f == linkReset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer server.Close()
	p.note(c, server, true)
	defer p.note(c, server, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(server, c, false); done <- struct{}{} }()
	go func() { p.copy(c, server, true); done <- struct{}{} }()
	<-done
}

func (p *proxy) note(a, b net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if open {
			p.conns[c] = true
		} else {
			delete(p.conns, c)
		}
	}
}

// copy passes one direction on; an end in order is passed on as one, anything
// else resets the other side.
func (p *proxy) copy(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for {
			f, healed := p.now()
			if f == linkSilent || (f == linkOneWay && back) {
				<-healed
				continue
			}
			if f == linkDelayed {
				time.Sleep(linkDelay)
			}
			break
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err != io.EOF {
				_ = tcp.SetLinger(0)
			}
			return
		}
	}
}
