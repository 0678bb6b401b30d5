//go:build crowds

package crowder

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/detourer"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
)

// The ports of an entry instance that a crowd may be at.
const (
	targetCallers   = "callers"
	targetDirectory = "directory"
	targetReadiness = "readiness"
	targetPeers     = "peers"
	targetHops      = "hops"
	targetOperators = "operators"
)

// scenario is one line of a file of testdata.
type scenario struct {
	name, target  string
	memoryMB, fds int
	// streams is the number of requests at a time on each connection, over HTTP/2.
	streams int
	crowd   Crowd
}

// readScenarios returns the scenarios of a file.
func readScenarios(t *testing.T, path string) []scenario {
	t.Helper()
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer file.Close()
	var scenarios []scenario
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		scenarios = append(scenarios, parseScenario(t, fields))
	}
	assert.NilError(t, lines.Err())
	return scenarios
}

func parseScenario(t *testing.T, fields []string) scenario {
	t.Helper()
	s := scenario{name: fields[0]}
	numbers := map[string]*int{"memory": &s.memoryMB, "fds": &s.fds, "streams": &s.streams}
	var rest []string
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		var err error
		switch {
		case key == "target":
			s.target = value
		case numbers[key] != nil:
			*numbers[key], err = strconv.Atoi(value)
		default:
			rest = append(rest, field)
		}
		assert.NilError(t, err, "%s", field)
	}
	var err error
	s.crowd, err = Parse(strings.Join(rest, " "))
	assert.NilError(t, err, "%s", s.name)
	return s
}

const dialTimeout = 2 * time.Second

// address returns the address of a port.
func (e *entry) address(target string) netip.AddrPort {
	switch target {
	case targetDirectory:
		return e.settings.DirectoryAddress
	case targetReadiness:
		return e.settings.ReadinessAddress
	case targetPeers, targetHops:
		return e.settings.PeerAddress
	}
	return e.settings.CallerAddress
}

// requestTarget returns what the requests of a crowd at a port are for.
func requestTarget(target string) Target {
	t := Target{Host: host, Path: pathOrdinary, Key: key, ID: crowdID}
	switch target {
	case targetDirectory:
		t.Path = "/waxwingmount/resolve?zone=z"
	case targetReadiness:
		t.Path = "/waxwingmount/readyz"
	}
	return t
}

// gather opens the connections of a crowd at the port of its target, and returns a function
// that closes them.
func (e *entry) gather(ctx context.Context, target string, c Crowd) (disperse func() Report) {
	if target == targetHops {
		return e.gatherHops(ctx, c)
	}
	return c.Gather(func() (net.Conn, error) {
		return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", e.address(target).String())
	}, requestTarget(target)).Disperse
}

// gatherHops is like gather, for requests that a peer hands over and that stop short of their
// end.
func (e *entry) gatherHops(ctx context.Context, c Crowd) (disperse func() Report) {
	g := &Gathering{crowd: c}
	var wait sync.WaitGroup
	for range c.Conns {
		wait.Go(func() { g.runHop(ctx, e.settings.PeerAddress) })
	}
	wait.Wait()
	return g.Disperse
}

func (g *Gathering) runHop(ctx context.Context, peer netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	pool := messenger.NewPool(messenger.Security{})
	client := detourer.NewClient(func(dialCtx context.Context, peer netip.AddrPort) (net.Conn, error) {
		conn, err := pool.DialDetour(dialCtx, peer)
		g.add(conn, err)
		if err != nil {
			return nil, err
		}
		return &shortConn{Conn: conn, left: g.crowd.Sent, ctx: ctx}, nil
	})
	response, _, err := client.Do(ctx, peer, &detourer.Envelope{
		ID: crowdID, Sender: "crowd", Host: host, Method: "POST", Target: pathOrdinary, Path: pathOrdinary,
		Remaining: routeTimeout, Body: make([]byte, g.crowd.Length),
	})
	if err == nil {
		response.Body.Close()
	}
}

// shortConn sends only the first bytes, and stays open when its user closes it.
type shortConn struct {
	net.Conn
	left int
	ctx  context.Context
}

// Write implements [net.Conn].
func (c *shortConn) Write(p []byte) (int, error) {
	if len(p) <= c.left {
		c.left -= len(p)
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:c.left])
	c.left = 0
	if err != nil {
		return n, err
	}
	<-c.ctx.Done()
	return n, c.ctx.Err()
}

// Close implements [net.Conn].
func (c *shortConn) Close() error { return nil }
