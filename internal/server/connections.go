package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestWait is how long after a connection was accepted its first request is expected.
const firstRequestWait = time.Second

// connections holds the connections that have a request, and those that had none yet. It is safe
// for concurrent use.
type connections struct {
	mu     sync.Mutex
	active map[net.Conn]struct{}
	// fresh holds when the connections without a request were accepted.
	fresh map[net.Conn]time.Time
}

func newConnections() *connections {
	return &connections{active: make(map[net.Conn]struct{}), fresh: make(map[net.Conn]time.Time)}
}

// handle records a change of a connection's state.
func (c *connections) handle(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.active, conn)
	switch state {
	case http.StateNew:
		c.fresh[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = struct{}{}
	}
}

// count returns how many connections have a request, and for how many the first one is
// expected.
func (c *connections) count(now time.Time) (active, expected int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, accepted := range c.fresh {
		if now.Sub(accepted) < firstRequestWait {
			expected++
		}
	}
	return len(c.active), expected
}
