package server

import (
	"context"
	"math"
	"net"
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/reclaimer"
)

// clientBufferBytes is the size of the operating system's buffers of a client's connection.
// Without a bound it keeps megabytes for each client that sends or doesn't read.
const clientBufferBytes = 32 << 10

// Listen listens on address. The operating system's buffers of the connections have that size,
// also while they wait to be accepted.
func Listen(address netip.AddrPort, bufferBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: BoundBuffers(bufferBytes)}
	return config.Listen(context.Background(), "tcp", address.String())
}

// BoundBuffers returns a function for [net.ListenConfig] and [net.Dialer] that sets the sizes of
// the operating system's buffers of a connection.
func BoundBuffers(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A system that refuses has larger buffers.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
		})
	}
}

// limitedListener passes the connections of a listener through a Limiter.
type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements [net.Listener].
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := l.limiter.Adopt(raw)
		if kind, found := faulter.KindOf[reclaimer.Kind](err); found && kind == reclaimer.KindNoConnection {
			continue
		}
		return c, errors.Wrap(err, "adopt connection")
	}
}

// MaxDescriptors returns how many descriptors the process may have open: the given limit or that
// of the operating system, whichever is lower. Zero means that none is given or known.
func MaxDescriptors(given int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return given
	}
	if given <= 0 {
		return int(limit.Cur)
	}
	return min(given, int(limit.Cur))
}
