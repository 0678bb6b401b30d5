package messenger

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	sent, received tally.Counter
}

func countBytes(conn net.Conn, scope tally.Scope) net.Conn {
	return &meteredConn{
		Conn:     conn,
		sent:     scope.Tagged(map[string]string{"direction": "sent"}).Counter("peer_bytes"),
		received: scope.Tagged(map[string]string{"direction": "received"}).Counter("peer_bytes"),
	}
}

// Read implements [net.Conn].
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Inc(int64(n))
	return n, err
}
