package messenger

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

const (
	// maxDetourConns bounds the open detour connections that a server takes, unless
	// WithMaxDetours does. Each carries one request at a time.
	maxDetourConns = 512
	// detourHeaderTimeout bounds the time for a request's HTTP header.
	detourHeaderTimeout = 2 * time.Second
	// detourIdleTimeout is above the time for which clients keep idle connections, so
	// that a server does not close a connection on which a request is on its way.
	detourIdleTimeout = 30 * time.Second
	// detourBufferBytes is the size of the operating system's buffers of a detour connection.
	// Without a bound, it keeps megabytes for each slow reader.
	detourBufferBytes = 64 << 10
	// maxDetourHeaderBytes bounds a request's HTTP header. The caller's header is not in it.
	maxDetourHeaderBytes = 4 << 10
)

// ServerOption changes a Server that is made.
type ServerOption func(*Server)

// WithDetourHandler makes the server take detour connections and serve the HTTP requests
// on them. Without it, the server closes such connections during the handshake.
func WithDetourHandler(handler http.Handler) ServerOption {
	return func(s *Server) { s.detourHandler = handler }
}

// WithMaxDetours bounds the open detour connections.
func WithMaxDetours(n int) ServerOption {
	return func(s *Server) { s.detourSlots = make(chan struct{}, n) }
}

// WithLimiter bounds what peers take: the connections, and the memory of the requests on detour
// connections.
func WithLimiter(l *server.Limiter) ServerOption {
	return func(s *Server) { s.limiter = l }
}

// DialDetour opens a connection to the peer at address that carries HTTP requests in place
// of RPC calls. The caller owns it. Errors are of type *[Error] and of [KindUnreachable],
// also if the peer does not take detours or has no room for another connection.
func (p *Pool) DialDetour(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	conn, err := p.dial(ctx, address, purposeDetour)
	if err != nil {
		return nil, faulter.New("open detour", KindUnreachable, err)
	}
	return conn, nil
}

// boundBuffers sets the sizes of the operating system's buffers of a connection. A failure
// leaves larger ones.
func boundBuffers(conn net.Conn) {
	if buffered, ok := conn.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	}); ok {
		_ = buffered.SetReadBuffer(detourBufferBytes)
		_ = buffered.SetWriteBuffer(detourBufferBytes)
	}
}

// takeDetour reserves one of the detour connections.
func (s *Server) takeDetour() error {
	if s.detourHandler == nil {
		return errors.New("no detours are taken")
	}
	select {
	case s.detourSlots <- struct{}{}:
		return nil
	default:
		return errors.Newf("%d detour connections are open", cap(s.detourSlots))
	}
}

// runDetours serves the connections of a listener until ctx ends, and closes them then.
func (s *Server) runDetours(ctx context.Context, listener net.Listener) {
	detours := &http.Server{
		Handler:           s.limiter.Handler(s.detourHandler),
		ReadHeaderTimeout: detourHeaderTimeout,
		IdleTimeout:       detourIdleTimeout,
		MaxHeaderBytes:    maxDetourHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ErrorLog:          server.NewErrorLog(),
		ConnState:         server.HandleState,
		ConnContext:       server.WithConn,
	}
	stop := context.AfterFunc(ctx, func() { detours.Close() })
	defer stop()
	// Serve returns when the server is closed; its error says only that.
	_ = detours.Serve(listener)
}

// detourConn gives its place back when it is closed.
type detourConn struct {
	net.Conn
	release func()
}

// NetConn returns the connection under this one.
func (c *detourConn) NetConn() net.Conn { return c.Conn }

// Close implements [net.Conn].
func (c *detourConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// handoverListener passes authenticated connections to an HTTP server.
type handoverListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	close   func()
}

func newHandoverListener(address net.Addr) *handoverListener {
	closed := make(chan struct{})
	return &handoverListener{
		address: address,
		conns:   make(chan net.Conn),
		closed:  closed,
		close:   sync.OnceFunc(func() { close(closed) }),
	}
}

// hand passes a connection to Accept, or closes it if the listener is closed.
func (l *handoverListener) hand(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		conn.Close()
	}
}

// Accept implements [net.Listener].
func (l *handoverListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *handoverListener) Close() error {
	l.close()
	return nil
}

// Addr implements [net.Listener].
func (l *handoverListener) Addr() net.Addr { return l.address }
