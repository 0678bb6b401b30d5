package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxy passes connections on to one address. Connections that are open can be made silent: what
// either side sends is taken and lost, and neither side is told.
type proxy struct {
	address, target netip.AddrPort

	mu    sync.Mutex
	conns map[*proxied]struct{}
}

type proxied struct {
	near, far net.Conn

	mu     sync.Mutex
	silent bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().(*net.TCPAddr).AddrPort(), target: target, conns: make(map[*proxied]struct{})}
	go p.run(listener)
	return p, nil
}

func (p *proxy) run(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go p.pass(near)
	}
}

func (p *proxy) pass(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		near.Close()
		return
	}
	c := &proxied{near: near, far: far}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { c.copy(far, near) })
	wait.Go(func() { c.copy(near, far) })
	wait.Wait()
	near.Close()
	far.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy copies one direction until its end. A silent connection passes nothing on, also not its end.
func (c *proxied) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == nil {
			continue
		}
		if !silent {
			if half, ok := to.(*net.TCPConn); ok && err == io.EOF {
				half.CloseWrite()
			} else {
				to.Close()
			}
		}
		break
	}
	if c.isSilent() {
		// The other direction must not see the end either.
		time.Sleep(time.Minute)
	}
}

func (c *proxied) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// silence makes all connections that are open silent, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.conns)
}
