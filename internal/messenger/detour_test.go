package messenger

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

const detourToken = "token"

// selfSigned returns the TLS configurations of both sides of the connections of a peer.
func selfSigned(t *testing.T) Security {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(raw)
	assert.NilError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(certificate)
	return Security{
		Token:  detourToken,
		Client: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13},
		Server: &tls.Config{
			Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}},
			MinVersion:   tls.VersionTLS13,
		},
	}
}

// serveDetours starts a peer whose handler responds with the request's body.
func serveDetours(ctx context.Context, t *testing.T, security Security, options ...ServerOption) (*Server, netip.AddrPort) {
	t.Helper()
	server, err := NewServer(security, "Echo", echo{}, rand.Read, options...)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(ctx, listener)
	return server, listener.Addr().(*net.TCPAddr).AddrPort()
}

func withEcho() ServerOption {
	return WithDetourHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) }))
}

// request does one HTTP request on a connection and returns the body of the response.
func request(t *testing.T, conn net.Conn, body string) string {
	t.Helper()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: peer\r\nContent-Length: 5\r\n\r\n"+body)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(got)
}

// TestDetoursBesideCalls guards against connections for detours that do not work on the
// port of the calls, with and without TLS, and against bytes that are not counted.
func TestDetoursBesideCalls(t *testing.T) {
	for name, security := range map[string]Security{"plain": {Token: detourToken}, "tls": selfSigned(t)} {
		t.Run(name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			p := NewPool(security, WithScope(scope))
			_, peer := serveDetours(t.Context(), t, security, withEcho())
			var reply string
			assert.NilError(t, p.Call(t.Context(), peer, "Echo.Echo", "hello", &reply))
			before := scope.Snapshot().Counters()["peer_bytes+direction=sent"].Value()
			conn, err := p.DialDetour(t.Context(), peer)
			assert.NilError(t, err)
			defer conn.Close()
			assert.Equal(t, request(t, conn, "first"), "first")
			assert.Equal(t, request(t, conn, "again"), "again")
			assert.NilError(t, p.Call(t.Context(), peer, "Echo.Echo", "hello", &reply))
			assert.Equal(t, p.Connections(), 1)
			after := scope.Snapshot().Counters()["peer_bytes+direction=sent"].Value()
			assert.Assert(t, after > before+100, "%d bytes were counted", after-before)
		})
	}
}

// TestDetoursAreRefused guards against a connection that is taken without the token, or by a
// peer that cannot serve it: nothing must be sent on it.
func TestDetoursAreRefused(t *testing.T) {
	security := Security{Token: detourToken}
	_, without := serveDetours(t.Context(), t, security)
	_, with := serveDetours(t.Context(), t, security, withEcho())
	for name, test := range map[string]struct {
		token string
		peer  netip.AddrPort
	}{
		"no handler": {detourToken, without}, "wrong token": {"other", with}, "empty token": {"", with},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewPool(Security{Token: test.token}).DialDetour(t.Context(), test.peer)
			kind, found := faulter.KindOf[Kind](err)
			assert.Assert(t, found && kind == KindUnreachable, "%v", err)
		})
	}
}

// TestDetourConnsAreBounded guards against peers that take all connections of a process,
// and against a place that is not given back.
func TestDetourConnsAreBounded(t *testing.T) {
	security := Security{Token: detourToken}
	server, peer := serveDetours(t.Context(), t, security, withEcho())
	p := NewPool(security)
	first, err := p.DialDetour(t.Context(), peer)
	assert.NilError(t, err)
	for len(server.detourSlots) < maxDetourConns {
		server.detourSlots <- struct{}{}
	}
	_, err = p.DialDetour(t.Context(), peer)
	assert.Assert(t, err != nil)
	var reply string
	assert.NilError(t, p.Call(t.Context(), peer, "Echo.Echo", "hello", &reply))
	assert.NilError(t, first.Close())
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		conn, err := p.DialDetour(t.Context(), peer)
		if err == nil {
			conn.Close()
			return
		}
		assert.Assert(t, time.Since(began) < 5*time.Second, "%v", err)
	}
}

// TestDetoursEndWithTheServer guards against connections that outlive the server.
func TestDetoursEndWithTheServer(t *testing.T) {
	security := Security{Token: detourToken}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	began, ended := make(chan struct{}), make(chan struct{})
	_, peer := serveDetours(ctx, t, security, WithDetourHandler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})))
	p := NewPool(security)
	idle, err := p.DialDetour(t.Context(), peer)
	assert.NilError(t, err)
	defer idle.Close()
	busy, err := p.DialDetour(t.Context(), peer)
	assert.NilError(t, err)
	defer busy.Close()
	_, err = io.WriteString(busy, "GET / HTTP/1.1\r\nHost: peer\r\n\r\n")
	assert.NilError(t, err)
	<-began
	cancel()
	<-ended
	for _, conn := range []net.Conn{idle, busy} {
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := io.Copy(io.Discard, conn)
		assert.Assert(t, !isTimeout(err), "%v", err)
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// TestMuteDetourPeer guards against a dial that takes longer than its context, and against a
// connection without a proof that stays open.
func TestMuteDetourPeer(t *testing.T) {
	const timeout = 100 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	began := time.Now()
	_, err = NewPool(Security{}).DialDetour(ctx, listener.Addr().(*net.TCPAddr).AddrPort())
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 5*timeout, "took %s", time.Since(began))

	_, peer := serveDetours(t.Context(), t, Security{Token: detourToken}, withEcho())
	conn, err := net.Dial("tcp", peer.String())
	assert.NilError(t, err)
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(2 * handshakeTimeout))
	_, err = io.Copy(io.Discard, conn)
	assert.NilError(t, err)
}
