package messenger

import (
	"context"
	"crypto/rand"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo is a peer that responds at once.
type echo struct{}

// Echo responds with its argument.
func (echo) Echo(argument string, reply *string) error {
	*reply = argument
	return nil
}

func serveEcho(t *testing.T) netip.AddrPort {
	t.Helper()
	server, err := NewServer(Security{}, "Echo", echo{}, rand.Read)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(t.Context(), listener)
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestIdleConnectionsAreClosed guards against one connection for ever to every peer that
// was ever called: 300 of them cost 20 MB and 600 goroutines.
func TestIdleConnectionsAreClosed(t *testing.T) {
	p := NewPool(Security{})
	used, idle := serveEcho(t), serveEcho(t)
	var reply string
	for _, address := range []netip.AddrPort{used, idle} {
		assert.NilError(t, p.Call(t.Context(), address, "Echo.Echo", "hello", &reply))
	}
	assert.Equal(t, p.Connections(), 2)
	p.mu.Lock()
	p.clients[idle].usedAt = p.clients[idle].usedAt.Add(-idleTimeout)
	p.checkedAt = time.Time{}
	p.mu.Unlock()
	assert.NilError(t, p.Call(t.Context(), used, "Echo.Echo", "hello", &reply))
	assert.Equal(t, p.Connections(), 1)
	assert.NilError(t, p.Call(t.Context(), idle, "Echo.Echo", "again", &reply))
	assert.Equal(t, reply, "again")
}

// TestSilentPeerCostsNoMoreThanTheCall guards against a call that takes as long as a
// handshake may, whatever time its caller gives it: a peer that accepts connections and
// says nothing held up each call for 2 s.
func TestSilentPeerCostsNoMoreThanTheCall(t *testing.T) {
	const timeout = 100 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	p := NewPool(Security{})
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	began := time.Now()
	var reply string
	err = p.Call(ctx, listener.Addr().(*net.TCPAddr).AddrPort(), "Echo.Echo", "hello", &reply)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 5*timeout, "took %s", time.Since(began))
}
