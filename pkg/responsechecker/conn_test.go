package responsechecker

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// scriptedConn is a connection whose peer has ended it: Read returns io.EOF, and Write returns err
// once released is closed.
type scriptedConn struct {
	net.Conn
	err      error
	released chan struct{}
	// began is closed when Write is called.
	began chan struct{}
	// deadline is closed when a deadline for writing is set that has passed.
	deadline chan struct{}
}

func newScriptedConn(err error) *scriptedConn {
	return &scriptedConn{err: err, released: make(chan struct{}), began: make(chan struct{}), deadline: make(chan struct{})}
}

func (*scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *scriptedConn) Write([]byte) (int, error) {
	close(c.began)
	select {
	case <-c.released:
		return 0, c.err
	case <-c.deadline:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *scriptedConn) SetWriteDeadline(at time.Time) error {
	if c.err == nil && at.Before(time.Now()) {
		close(c.deadline)
	}
	return nil
}

// TestFailureThatAWriteTakes guards against the failure of a connection being lost to its reader
// because a Write was told of it, before the Read or while it waits for the Write.
func TestFailureThatAWriteTakes(t *testing.T) {
	for _, failure := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		for _, waits := range []bool{false, true} {
			raw := newScriptedConn(&net.OpError{Op: "write", Err: os.NewSyscallError("write", failure)})
			conn := NewConn(raw)
			written := make(chan struct{})
			go func() { defer close(written); conn.Write([]byte("x")) }()
			<-raw.began
			if waits {
				time.AfterFunc(20*time.Millisecond, func() { close(raw.released) })
			} else {
				close(raw.released)
				<-written
			}
			_, err := conn.Read(make([]byte, 1))
			kind, known := faulter.KindOf[Kind](err)
			assert.Assert(t, known && kind == KindBroken && errors.Is(err, failure), "%v", err)
			<-written
		}
	}
}

// TestEndOfPeer guards against the end of a connection that the peer has closed being taken for a
// failure: one that was reset afterwards, and one on which a Write waits for the peer to read.
func TestEndOfPeer(t *testing.T) {
	reset := newScriptedConn(&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)})
	close(reset.released)
	unread := newScriptedConn(nil)
	for _, raw := range []*scriptedConn{reset, unread} {
		conn := NewConn(raw)
		written := make(chan struct{})
		go func() { defer close(written); conn.Write([]byte("x")) }()
		<-raw.began
		_, err := conn.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		<-written
	}
}
