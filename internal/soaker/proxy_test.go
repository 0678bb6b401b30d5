package soaker

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkFault is how a link misbehaves.
type linkFault int

const (
	linkSound linkFault = iota
	linkDelayed
	linkReset
	linkCutThere
	linkCutBack
	linkSilent
	linkFaults
)

const (
	linkDelay  = 120 * time.Millisecond
	proxyChunk = 32 << 10
)

// proxy passes the connections of one link on and spoils them on demand.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	fault linkFault
	conns map[*net.TCPConn]bool
}

func newProxy(listen, target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[*net.TCPConn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn.(*net.TCPConn))
	}
}

// set changes the fault of the link; a reset also breaks what is open.
func (p *proxy) set(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault == linkReset {
		p.breakAll()
	}
}

// breakAll resets the open connections; p.mu is held.
func (p *proxy) breakAll() {
	for conn := range p.conns {
		conn.SetLinger(0)
		conn.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAll()
}

func (p *proxy) current() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) track(conn *net.TCPConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
	} else {
		delete(p.conns, conn)
	}
}

func (p *proxy) pass(near *net.TCPConn) {
	p.track(near, true)
	defer p.track(near, false)
	defer near.Close()
	if p.current() == linkReset {
		near.SetLinger(0)
		return
	}
	conn, err := net.Dial("tcp", p.target.String())
	if err != nil {
		near.SetLinger(0)
		return
	}
	far := conn.(*net.TCPConn)
	p.track(far, true)
	defer p.track(far, false)
	defer far.Close()
	there := make(chan struct{})
	go func() {
		defer close(there)
		p.copy(far, near, linkCutThere)
	}()
	p.copy(near, far, linkCutBack)
	<-there
}

// copy moves bytes one way; those that a cut swallows are lost, and the
// connection with them.
func (p *proxy) copy(to, from *net.TCPConn, cut linkFault) {
	buffer := make([]byte, proxyChunk)
	lost := false
	for {
		n, err := from.Read(buffer)
		fault := p.current()
		if fault == linkDelayed {
			time.Sleep(linkDelay)
		}
		if n > 0 && (fault == cut || fault == linkSilent) {
			lost = true
		}
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.SetLinger(0)
				from.Close()
				return
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && !lost:
			to.CloseWrite()
			return
		default:
			to.SetLinger(0)
			to.Close()
			return
		}
	}
}

// TestProxyFaults sends a byte through each fault of a link.
func TestProxyFaults(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer echo.Close()
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	target := netip.MustParseAddrPort(echo.Addr().String())
	for fault, arrives := range map[linkFault]bool{
		linkSound: true, linkDelayed: true, linkReset: false, linkCutThere: false, linkCutBack: false, linkSilent: false,
	} {
		p, err := newProxy(netip.MustParseAddrPort("127.0.0.1:0"), target)
		assert.NilError(t, err)
		p.set(fault)
		assert.Equal(t, echoes(p.listener.Addr().String()) == nil, arrives, "fault %d", fault)
		p.close()
	}
}

// echoes sends a byte and waits for it. A reset may come as early as the
// opening of the connection.
func echoes(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * linkDelay))
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

// anyFault picks a way for a link to misbehave.
func anyFault(random *rand.Rand) linkFault {
	return linkFault(1 + random.IntN(int(linkFaults)-1))
}
