package responsechecker

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// Conn is a client's connection whose failure ends no response as complete. The operating system
// reports a failure, such as a reset, once: if a Write takes it, the next Read returns [io.EOF],
// as if the peer had closed the connection.
//
// The first [io.EOF] ends the sending side too, since an HTTP client does not send a request
// whose response has ended.
type Conn struct {
	net.Conn

	// writing is held during a Write.
	writing sync.Mutex
	// failure is the failure of the connection that a Write has taken, or nil. writing guards it.
	failure error
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// NewConn returns a connection that reports the failures of conn, which must not be in use yet.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read implements [net.Conn]. It returns [io.EOF] only if the peer has closed the connection, and
// an error of [KindBroken] if a Write has found that it has failed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// A Write in progress may have taken the failure. If the peer has closed the connection and
	// does not read, it returns only at its deadline. No Write blocks on a connection that is
	// closed here, where no deadline can be set.
	_ = c.SetWriteDeadline(longAgo)
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return n, faulter.New("read response", KindBroken, c.failure)
	}
	return n, io.EOF
}

// Write implements [net.Conn].
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether an error of a Write is a failure of the connection. EPIPE is none: the
// peer had closed the connection before it was reset, so that what it sent is complete.
func isFailure(err error) bool {
	return err != nil && !errors.IsAny(err, syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed)
}
