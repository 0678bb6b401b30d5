package soaker

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
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

// Faults of links that are cut. They are not among those of randomLinkFault.
const (
	// linkHoldRequests, linkHoldResponses and linkHoldAll keep back the bytes towards
	// the target, those from it, or both, until the fault ends. New connections are
	// not established before that.
	linkHoldRequests = linkFaultCount + 1 + iota
	linkHoldResponses
	linkHoldAll
	// linkLoseAll keeps back the bytes of both directions and resets the connections
	// that they belong to when it ends.
	linkLoseAll
	// linkRefuse resets new connections. Open ones live on.
	linkRefuse
)

const (
	linkDelay       = 120 * time.Millisecond
	proxyBufferSize = 32 << 10
)

// direction is a direction of the bytes of a connection.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// drops reports whether bytes of a direction are dropped.
func (l linkFault) drops(d direction) bool {
	return l == linkDropAll || l == linkDropRequests && d == toTarget || l == linkDropResponses && d == fromTarget
}

// holds reports whether bytes of a direction are kept back.
func (l linkFault) holds(d direction) bool {
	return l == linkHoldAll || l == linkLoseAll || l == linkHoldRequests && d == toTarget || l == linkHoldResponses && d == fromTarget
}

// refuses reports whether new connections are reset.
func (l linkFault) refuses() bool { return l == linkReset || l == linkRefuse }

// notAnEntry is the owner of connections that no entry instance opened.
const notAnEntry = -1

// proxy forwards the connections of one link and injects faults.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort
	// findOwner returns the index of the entry instance that opened a connection, or
	// notAnEntry. It returns false for a connection that is closed already.
	findOwner func(client *net.TCPConn) (owner int, found bool)

	mu    sync.Mutex
	fault linkFault
	// ownerFaults are the faults of the connections of single entry instances, all of
	// which apply at once.
	ownerFaults map[int][]linkFault
	// changed is closed and replaced when a fault changes.
	changed chan struct{}
	closed  bool
	conns   map[*net.TCPConn]int
}

func newProxy(listen, target netip.AddrPort) (*proxy, error) {
	return newOwnedProxy(listen, target, func(*net.TCPConn) (int, bool) { return notAnEntry, true })
}

// newOwnedProxy returns a proxy that distinguishes the owners of connections.
func newOwnedProxy(listen, target netip.AddrPort, findOwner func(*net.TCPConn) (int, bool)) (*proxy, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener: listener, target: target, findOwner: findOwner,
		ownerFaults: make(map[int][]linkFault), changed: make(chan struct{}), conns: make(map[*net.TCPConn]int),
	}
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
	p.applyChange()
}

// startOwnerFault adds a fault to the connections of one entry instance; linkReset also
// resets the open ones.
func (p *proxy) startOwnerFault(owner int, fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownerFaults[owner] = append(p.ownerFaults[owner], fault)
	p.applyChange()
}

// endOwnerFault removes a fault that startOwnerFault added.
func (p *proxy) endOwnerFault(owner int, fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.ownerFaults[owner], fault); i >= 0 {
		p.ownerFaults[owner] = slices.Delete(p.ownerFaults[owner], i, i+1)
	}
	p.applyChange()
}

// applyChange wakes the connections that wait for the end of a fault and resets those
// that may not stay open. The caller holds p.mu.
func (p *proxy) applyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
	for conn, owner := range p.conns {
		if p.closed || slices.Contains(p.faultsOf(owner), linkReset) {
			resetConn(conn)
		}
	}
}

func resetConn(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.applyChange()
}

// currentFaults returns the faults that apply to the connections of an owner.
func (p *proxy) currentFaults(owner int) []linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultsOf(owner)
}

// faultsOf returns the faults that apply to the connections of an owner. The caller holds
// p.mu.
func (p *proxy) faultsOf(owner int) []linkFault {
	return append([]linkFault{p.fault}, p.ownerFaults[owner]...)
}

func (p *proxy) track(conn *net.TCPConn, owner int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = owner
	if p.closed {
		resetConn(conn)
	}
}

func (p *proxy) untrack(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// waitWhileHeld returns when no fault keeps back the bytes of any of the directions,
// whether one did, and whether they are lost.
func (p *proxy) waitWhileHeld(owner int, directions ...direction) (held, lost bool) {
	for {
		p.mu.Lock()
		faults, changed, closed := p.faultsOf(owner), p.changed, p.closed
		p.mu.Unlock()
		holds := false
		for _, d := range directions {
			holds = holds || slices.ContainsFunc(faults, func(l linkFault) bool { return l.holds(d) })
		}
		if closed || !holds {
			return held, lost || closed
		}
		held, lost = true, lost || slices.Contains(faults, linkLoseAll)
		<-changed
	}
}

func (p *proxy) forward(client *net.TCPConn) {
	defer client.Close()
	owner, found := p.findOwner(client)
	if !found {
		client.SetLinger(0)
		return
	}
	p.track(client, owner)
	defer p.untrack(client)
	if held, lost := p.waitWhileHeld(owner, toTarget, fromTarget); lost || held && closedByPeer(client) {
		// A connection that its client gave up before it was established carried nothing.
		client.SetLinger(0)
		return
	}
	for _, fault := range p.currentFaults(owner) {
		if fault.refuses() {
			client.SetLinger(0)
			return
		}
	}
	conn, err := net.Dial("tcp", p.target.String())
	if err != nil {
		client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	p.track(server, owner)
	defer p.untrack(server)
	defer server.Close()
	requestsDone := make(chan struct{})
	go func() {
		defer close(requestsDone)
		p.copy(server, client, owner, toTarget)
	}()
	p.copy(client, server, owner, fromTarget)
	<-requestsDone
}

// copy copies bytes in one direction. Bytes that arrive while a fault drops them are
// dropped, with all that follow on the connection, which is reset at its end.
func (p *proxy) copy(to, from *net.TCPConn, owner int, d direction) {
	buffer := make([]byte, proxyBufferSize)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if _, lost := p.waitWhileHeld(owner, d); lost {
			resetConn(from)
			resetConn(to)
			return
		}
		for _, fault := range p.currentFaults(owner) {
			if fault == linkDelayed {
				time.Sleep(linkDelay)
			}
			dropped = dropped || n > 0 && fault.drops(d)
		}
		if n > 0 && !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && !dropped:
			to.CloseWrite()
			return
		default:
			resetConn(to)
			return
		}
	}
}

// startEcho starts a server that sends back what it receives.
func startEcho(t *testing.T) netip.AddrPort {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { echo.Close() })
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	return netip.MustParseAddrPort(echo.Addr().String())
}

// TestProxyFaults checks for each fault of a link whether a byte comes back.
func TestProxyFaults(t *testing.T) {
	target := startEcho(t)
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

// TestProxyCutsOneOwner guards against cuts that hit other entry instances, or that let
// through what they should keep back.
func TestProxyCutsOneOwner(t *testing.T) {
	target := startEcho(t)
	for _, test := range []struct {
		fault linkFault
		// An open connection passes bytes during the fault, and after it.
		openDuring, openAfter bool
	}{
		{linkHoldAll, false, true}, {linkHoldRequests, false, true}, {linkHoldResponses, false, true},
		{linkLoseAll, false, false}, {linkReset, false, false}, {linkRefuse, true, true},
	} {
		p, err := newOwnedProxy(netip.MustParseAddrPort("127.0.0.1:0"), target, func(*net.TCPConn) (int, bool) { return 0, true })
		assert.NilError(t, err)
		open := dialEcho(t, p)
		assert.NilError(t, open.exchange(5*linkDelay))
		p.startOwnerFault(1, test.fault)
		assert.NilError(t, open.exchange(5*linkDelay), "fault %d hits another owner", test.fault)
		p.startOwnerFault(0, linkRefuse)
		p.startOwnerFault(0, test.fault)
		p.endOwnerFault(0, linkRefuse)
		assert.Equal(t, open.exchange(linkDelay) == nil, test.openDuring, "fault %d", test.fault)
		assert.Assert(t, roundTrip(p.listener.Addr().String()) != nil, "fault %d lets a new connection pass", test.fault)
		p.endOwnerFault(0, test.fault)
		assert.Equal(t, open.finish(5*linkDelay) == nil, test.openAfter, "after fault %d", test.fault)
		assert.NilError(t, roundTrip(p.listener.Addr().String()), "after fault %d", test.fault)
		p.close()
	}
}

// echoConn is an open connection to an echo server.
type echoConn struct {
	*net.TCPConn
	written, read int
}

func dialEcho(t *testing.T, p *proxy) *echoConn {
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &echoConn{TCPConn: conn.(*net.TCPConn)}
}

// exchange writes a byte and reads all that is due.
func (e *echoConn) exchange(timeout time.Duration) error {
	e.written++
	if _, err := e.Write([]byte{1}); err != nil {
		return err
	}
	return e.finish(timeout)
}

// finish reads all that is due.
func (e *echoConn) finish(timeout time.Duration) error {
	e.SetReadDeadline(time.Now().Add(timeout))
	for e.read < e.written {
		n, err := e.Read(make([]byte, 1))
		e.read += n
		if err != nil {
			return err
		}
	}
	return nil
}
