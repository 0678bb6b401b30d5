package forwarder

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/waxwingmount/waxwingmount/internal/bodychecker"
	"github.com/waxwingmount/waxwingmount/pkg/bounder"
)

// checkedConn is a connection to a backend server that checks whether a request may still
// be sent when its first byte is about to be written. The check of the body alone is too
// late, since the transport writes the header before it reads the body. It also counts the
// memory for the head of the response.
type checkedConn struct {
	net.Conn

	mu sync.Mutex
	// next is the body of a request of which nothing has been written, or nil.
	next *bodychecker.Body
	// head takes the memory for the head of a response, or is nil while none is awaited.
	head atomic.Pointer[bounder.Share]
}

// headFactor is how many times the bytes of a head its parsed form and buffers take.
const headFactor = 2

// expect announces the request that is written next, and the memory of its response.
func (c *checkedConn) expect(body *bodychecker.Body, memory *bounder.Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = body
	c.head.Store(memory)
}

// endHead says that the head of the response has been read.
func (c *checkedConn) endHead() { c.head.Store(nil) }

// Read implements [net.Conn]. The transport bounds each head alone, and not all together.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if memory := c.head.Load(); memory != nil && n > 0 {
		if err := memory.Hold(int64(headFactor * n)); err != nil {
			return 0, err
		}
	}
	return n, err
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
