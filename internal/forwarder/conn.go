package forwarder

import (
	"net"
	"sync"

	"github.com/waxwingmount/waxwingmount/internal/bodychecker"
)

// checkedConn is a connection to a backend server that checks whether a request may still
// be sent when its first byte is about to be written. The check of the body alone is too
// late, since the transport writes the header before it reads the body.
type checkedConn struct {
	net.Conn

	mu sync.Mutex
	// next is the body of a request of which nothing has been written, or nil.
	next *bodychecker.Body
}

// expect announces the request that is written next.
func (c *checkedConn) expect(body *bodychecker.Body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = body
}

// Write implements [net.Conn].
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	body := c.next
	c.next = nil
	c.mu.Unlock()
	if body == nil {
		return c.Conn.Write(p)
	}
	if !body.Check() {
		return 0, bodychecker.ErrNotAllowed
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		body.Retract()
	}
	return n, err
}
