// Package misresponder is a stand-in for servers in trouble. It sends any bytes in the place of a
// response and ends the connection in any way.
//
// # Usage
//
//	server := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 000 Odd\r\n\r\n"), End: misresponder.Reset}
//	address := server.Start(t)
package misresponder

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// End is how a server ends the connection after a response.
type End int

const (
	// Closed means that it closes the connection.
	Closed End = iota
	// Reset means that it resets the connection.
	Reset
	// HalfClosed means that it closes the sending side, and the rest when the client has.
	HalfClosed
)

// arrivalTime is how long a response takes to arrive, and an upload to fill the buffers, before
// the end of the connection.
const arrivalTime = 50 * time.Millisecond

// LongBodyBytes is more than the buffers of a connection take, so that a request with a body of
// that length is still being written when an early response arrives.
const LongBodyBytes = 8 << 20

// Server responds to one request on each connection. Its fields must not be changed once it has
// started.
type Server struct {
	// Respond returns the bytes that a request gets.
	Respond func(*http.Request) string
	// Early says that the server responds when it has read the head of a request, and never
	// reads its body.
	Early bool
	End   End
	// TLS enables TLS. It may be nil.
	TLS *tls.Config

	requests atomic.Int32
}

// Always returns a Respond function that returns the same bytes for each request.
func Always(response string) func(*http.Request) string {
	return func(*http.Request) string { return response }
}

// Start starts the server on a free port of the loopback interface until the test ends. Responses
// in progress are then ended as usual.
func (s *Server) Start(t testing.TB) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go s.run(listener)
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Requests returns how many requests have been responded to.
func (s *Server) Requests() int { return int(s.requests.Load()) }

func (s *Server) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(conn.(*net.TCPConn))
	}
}

// runConn serves a connection. Its errors are those of clients that have left.
func (s *Server) runConn(raw *net.TCPConn) {
	defer raw.Close()
	conn := net.Conn(raw)
	if s.TLS != nil {
		conn = tls.Server(raw, s.TLS)
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.requests.Add(1)
	if !s.Early {
		// The end of a connection with unread bytes would be a reset.
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
	if _, err := io.WriteString(conn, s.Respond(request)); err != nil {
		return
	}
	switch s.End {
	case Reset:
		time.Sleep(arrivalTime)
		_ = raw.SetLinger(0)
	case HalfClosed:
		time.Sleep(arrivalTime)
		_ = raw.CloseWrite()
		_, _ = io.Copy(io.Discard, raw)
	}
}
