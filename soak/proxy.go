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
	// linkRefuse resets what comes; what is open goes on.
	linkRefuse
	// linkLost takes what is sent and never passes it on; connections stay open.
	linkLost
)

// linkDelay is the delay of a delayed link, each way.
const linkDelay = 60 * time.Millisecond

// proxy passes connections on to one address.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	fault linkFault
	// bySource are the faults of connections from single addresses, beside fault.
	bySource map[string]linkFault
	// healed is closed when a fault ends; it is replaced with each fault.
	healed chan struct{}
	// conns are the open connections with the address that they come from.
	conns map[net.Conn]string
}

func newProxy(addr, target string) (*proxy, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w; free the port", err)
	}
	p := &proxy{ln: ln, target: target, healed: make(chan struct{}), bySource: map[string]linkFault{}, conns: map[net.Conn]string{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

// set changes the fault.
func (p *proxy) set(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.signalLocked()
	if f == linkReset {
		p.resetLocked("")
	}
}

// setFor changes the fault of connections from one address.
func (p *proxy) setFor(ip string, f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bySource[ip] = f
	p.signalLocked()
	if f == linkReset {
		p.resetLocked(ip)
	}
}

func (p *proxy) signalLocked() {
	close(p.healed)
	p.healed = make(chan struct{})
}

// resetLocked resets the connections from an address; all if it is "".
func (p *proxy) resetLocked(ip string) {
	for c, source := range p.conns {
		if ip != "" && ip != source {
			continue
		}
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
	p.resetLocked("")
}

// now returns the fault of connections from an address.
func (p *proxy) now(ip string) (linkFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.bySource[ip]; f != linkSound {
		return f, p.healed
	}
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
	source, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if f, _ := p.now(source); f == linkReset || f == linkRefuse {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer server.Close()
	if !p.note(c, server, source) {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer p.forget(c, server)
	done := make(chan struct{}, 2)
	go func() { p.copy(server, c, source, false); done <- struct{}{} }()
	go func() { p.copy(c, server, source, true); done <- struct{}{} }()
	<-done
}

// note notes an open connection; it is false if the connections of its source were reset meanwhile.
func (p *proxy) note(a, b net.Conn, source string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == linkReset || p.bySource[source] == linkReset {
		return false
	}
	p.conns[a], p.conns[b] = source, source
	return true
}

func (p *proxy) forget(a, b net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, a)
	delete(p.conns, b)
}

// copy passes one direction on; an end in order is passed on as one, anything
// else resets the other side.
func (p *proxy) copy(to, from net.Conn, source string, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for {
			f, healed := p.now(source)
			if f == linkSilent || (f == linkOneWay && back) {
				<-healed
				continue
			}
			if f == linkDelayed {
				time.Sleep(linkDelay)
			}
			if f == linkLost {
				n = 0
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
