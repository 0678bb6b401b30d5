package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/reclaimer"
)

const (
	// writeTimeout is how long a client may take nothing of its response.
	writeTimeout = 30 * time.Second
	// writePiece bounds one write, so that progress is seen within a long response.
	writePiece = 64 << 10
	// freeHeadBytes is the part of a head that counts as part of its connection.
	freeHeadBytes = 4 << 10
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn adds the connection to the context of its requests. It is the ConnContext of a server
// whose connections are adopted.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if own := unwrap(c); own != nil {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// unwrap returns the adopted connection under others, or nil.
func unwrap(c net.Conn) *conn {
	for {
		switch current := c.(type) {
		case *conn:
			return current
		case interface{ NetConn() net.Conn }:
			c = current.NetConn()
		default:
			return nil
		}
	}
}

// conn is a connection in a Limiter. It knows when the head of a request is being read, and when
// its client takes nothing of a response.
type conn struct {
	net.Conn
	limiter *Limiter
	slot    *reclaimer.Conn[evictee]

	mu sync.Mutex
	// resting says that no byte of the next request has arrived, and serving that its head has
	// been read.
	resting, serving bool
	// calls says that the connection carries calls and not HTTP requests.
	calls bool
	// multiplexed says that the connection carries several requests at a time.
	multiplexed bool
	headBytes   int64
	// head is the memory of a head that is longer than freeHeadBytes, or nil.
	head *reclaimer.Claim[evictee]
	// writeDeadline is the one set by the user of the connection, or zero.
	writeDeadline time.Time
}

// HandleState records a change of a connection's state. It is the ConnState of a server whose
// connections are adopted.
func HandleState(c net.Conn, state http.ConnState) {
	own := unwrap(c)
	if own == nil {
		return
	}
	switch state {
	case http.StateActive:
		encrypted, isTLS := c.(*tls.Conn)
		own.serve(isTLS && encrypted.ConnectionState().NegotiatedProtocol == "h2")
	case http.StateIdle:
		own.rest()
	}
}

// serve says that the head of a request has been read.
func (c *conn) serve(multiplexed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting, c.serving, c.multiplexed = false, true, c.multiplexed || multiplexed
	if c.head != nil {
		c.head.Complete()
	}
	c.slot.Serve(time.Now())
}

// rest says that there is no request.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting, c.serving = true, false
	c.endHead()
	c.slot.Rest(time.Now())
}

// endHead gives the memory of a head back. The caller holds c.mu.
func (c *conn) endHead() {
	c.headBytes = 0
	if c.head != nil {
		c.head.Close()
		c.head = nil
	}
}

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if headErr := c.noteRead(int64(n)); headErr != nil {
			return 0, headErr
		}
	}
	return n, err
}

// noteRead counts what has been read of a head.
func (c *conn) noteRead(n int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || c.multiplexed {
		return nil
	}
	now := time.Now()
	if c.calls {
		c.slot.Rest(now)
		return nil
	}
	if c.resting {
		c.resting = false
		c.slot.BeginHead(now)
	}
	c.headBytes += n
	if c.headBytes <= freeHeadBytes {
		return nil
	}
	if c.head == nil {
		c.head = c.slot.NewClaim(now, c)
	}
	c.head.Advance(now, n)
	victims, err := c.head.Resize(now, headCopies*c.headBytes)
	c.limiter.evict(victims)
	if err != nil {
		c.limiter.count(reasonNoMemory)
	}
	return err
}

// Write implements [net.Conn]. A client may take its time, but has to take something within
// writeTimeout.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.writePiece(p[written:min(written+writePiece, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) writePiece(p []byte) (int, error) {
	written, advancedAt := 0, time.Now()
	unread := false
	for {
		if err := c.armWrite(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		now := time.Now()
		if n > 0 {
			advancedAt = now
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.writeExpired(now) {
			if unread {
				c.slot.SetUnread(time.Time{})
			}
			return written, err
		}
		if now.Sub(advancedAt) >= writeTimeout {
			c.limiter.count(reasonWriteTimeout)
			return written, err
		}
		unread = true
		c.slot.SetUnread(advancedAt)
	}
}

// armWrite sets the deadline of the next write to when its progress is checked, or to that of
// the connection's user.
func (c *conn) armWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(stallGrace)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(until) {
		until = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(until)
}

// writeExpired reports whether the deadline of the connection's user is over.
func (c *conn) writeExpired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeDeadline.IsZero() && !now.Before(c.writeDeadline)
}

// SetWriteDeadline implements [net.Conn].
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements [net.Conn].
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http end its side of a connection before it closes it.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// AsCalls returns a connection that carries calls without heads: it counts as idle since its
// last byte was read.
func AsCalls(c net.Conn) net.Conn {
	own := unwrap(c)
	if own == nil {
		return c
	}
	own.mu.Lock()
	own.calls = true
	own.mu.Unlock()
	own.rest()
	return c
}

// evict implements evictee.
func (c *conn) evict() {
	// A connection that has been closed meanwhile needs nothing more.
	_ = c.Conn.Close()
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.mu.Lock()
	c.endHead()
	c.mu.Unlock()
	c.slot.Close()
	return c.Conn.Close()
}

// serveResettable serves a request of HTTP/1.0. Its connection ends with a reset if the handler
// breaks off, or the connection is closed, before the response is complete. Such a client knows no
// chunks, and takes the orderly end of a connection for that of a response without a length.
func serveResettable(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c, found := r.Context().Value(connKey{}).(*conn)
	if !found {
		handler.ServeHTTP(w, r)
		return
	}
	c.resetOnClose(true)
	complete := false
	defer func() {
		if !complete {
			// At once, since TLS would announce an orderly end.
			c.evict()
		}
	}()
	handler.ServeHTTP(w, r)
	complete = true
	c.resetOnClose(false)
}

// resetOnClose sets whether the connection ends with a reset when it is closed.
func (c *conn) resetOnClose(reset bool) {
	tcp, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	const byDefault = -1
	linger := byDefault
	if reset {
		linger = 0
	}
	// It fails only on a connection that is closed.
	_ = tcp.SetLinger(linger)
}
