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

// linkFault is a fault of a network link.
type linkFault int

const (
	linkHealthy linkFault = iota
	linkDelayed
	linkReset
	// linkDropRequests, linkDropResponses and linkDropAll drop the bytes towards
	// the target, those from it, or both.
	linkDropRequests
	linkDropResponses
	linkDropAll
	// linkFaultCount is the number of faults, linkHealthy included.
	linkFaultCount
)

const (
	linkDelay       = 120 * time.Millisecond
	proxyBufferSize = 32 << 10
)

// proxy forwards the connections of one link and injects faults.
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
		go p.forward(conn.(*net.TCPConn))
	}
}

// setFault changes the fault of the link; linkReset also resets open connections.
func (p *proxy) setFault(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault == linkReset {
		p.resetAll()
	}
}

// resetAll resets the open connections. The caller holds p.mu.
func (p *proxy) resetAll() {
	for conn := range p.conns {
		conn.SetLinger(0)
		conn.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) currentFault() linkFault {
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

func (p *proxy) forward(client *net.TCPConn) {
	p.track(client, true)
	defer p.track(client, false)
	defer client.Close()
	if p.currentFault() == linkReset {
		client.SetLinger(0)
		return
	}
	conn, err := net.Dial("tcp", p.target.String())
	if err != nil {
		client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	p.track(server, true)
	defer p.track(server, false)
	defer server.Close()
	requestsDone := make(chan struct{})
	go func() {
		defer close(requestsDone)
		p.copy(server, client, linkDropRequests)
	}()
	p.copy(client, server, linkDropResponses)
	<-requestsDone
}

// copy copies bytes in one direction. Bytes that arrive during dropFault or
// linkDropAll are dropped, with all that follow on the connection, which is reset
// at its end.
func (p *proxy) copy(to, from *net.TCPConn, dropFault linkFault) {
	buffer := make([]byte, proxyBufferSize)
	dropped := false
	for {
		n, err := from.Read(buffer)
		fault := p.currentFault()
		if fault == linkDelayed {
			time.Sleep(linkDelay)
		}
		if n > 0 && (fault == dropFault || fault == linkDropAll) {
			dropped = true
		}
		if n > 0 && !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.SetLinger(0)
				from.Close()
				return
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && !dropped:
			to.CloseWrite()
			return
		default:
			to.SetLinger(0)
			to.Close()
			return
		}
	}
}

// TestProxyFaults checks for each fault of a link whether a byte comes back.
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
		linkHealthy: true, linkDelayed: true, linkReset: false, linkDropRequests: false, linkDropResponses: false, linkDropAll: false,
	} {
		p, err := newProxy(netip.MustParseAddrPort("127.0.0.1:0"), target)
		assert.NilError(t, err)
		p.setFault(fault)
		assert.Equal(t, roundTrip(p.listener.Addr().String()) == nil, arrives, "fault %d", fault)
		p.close()
	}
}

// roundTrip sends a byte to an echo server and reads it back. With linkReset the
// dial may already fail.
func roundTrip(address string) error {
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

// randomLinkFault returns a random fault other than linkHealthy.
func randomLinkFault(random *rand.Rand) linkFault {
	return linkFault(1 + random.IntN(int(linkFaultCount)-1))
}
