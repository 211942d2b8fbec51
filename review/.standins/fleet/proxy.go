package fleet

import (
	"net"
	"sync"
)

// Proxy passes connections on. While it is silent it takes connections and bytes and answers nothing; a connection on which
// something was lost so brings nothing more.
type Proxy struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	silent bool
}

// link is one connection through the proxy.
type link struct{ dead bool }

// NewProxy serves on addr.
func NewProxy(addr, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target}
	go p.accept()
	return p, nil
}

// Addr is where the proxy takes connections.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetSilent begins or ends the silence.
func (p *Proxy) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// Close ends the proxy.
func (p *Proxy) Close() { _ = p.ln.Close() }

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	defer c.Close()
	s, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer s.Close()
	l := &link{}
	go func() {
		p.pass(l, c, s)
		if p.alive(l) {
			_ = c.Close() // the server has closed the connection
		}
	}()
	p.pass(l, s, c)
}

// pass passes bytes from one side to the other until either ends; those of a dead connection are dropped.
func (p *Proxy) pass(l *link, to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.usable(l) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// usable reports whether bytes pass. In the silence they don't, and then never on the same connection.
func (p *Proxy) usable(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		l.dead = true
	}
	return !l.dead
}

// alive reports whether nothing was dropped of the connection.
func (p *Proxy) alive(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !l.dead && !p.silent
}
