//go:build crowds

package crowder

import (
	"bufio"
	"context"
	"fmt"
	"io"
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

// crowd is one line of testdata/crowds.txt.
type crowd struct {
	name, target                                                                        string
	memoryMB, fds, conns, header, length, chunk, piece, sent, requests, answer, streams int
	pause                                                                               time.Duration
	end, reads                                                                          bool
}

// readCrowds returns the crowds of a file.
func readCrowds(t *testing.T, path string) []crowd {
	t.Helper()
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer file.Close()
	var crowds []crowd
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		c, err := parseCrowd(fields)
		assert.NilError(t, err, lines.Text())
		crowds = append(crowds, c)
	}
	assert.NilError(t, lines.Err())
	return crowds
}

func parseCrowd(fields []string) (crowd, error) {
	c := crowd{name: fields[0]}
	numbers := map[string]*int{
		"memory": &c.memoryMB, "fds": &c.fds, "conns": &c.conns, "header": &c.header, "length": &c.length, "chunk": &c.chunk,
		"piece": &c.piece, "sent": &c.sent, "requests": &c.requests, "answer": &c.answer, "streams": &c.streams,
	}
	flags := map[string]*bool{"end": &c.end, "reads": &c.reads}
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		var err error
		switch {
		case key == "target":
			c.target = value
		case key == "pause":
			c.pause, err = time.ParseDuration(value)
		case numbers[key] != nil:
			*numbers[key], err = strconv.Atoi(value)
		case flags[key] != nil:
			*flags[key], err = strconv.ParseBool(value)
		default:
			err = fmt.Errorf("unknown key %q", key)
		}
		if err != nil {
			return c, err
		}
	}
	return c, nil
}

const (
	// sendTimeout bounds the time in which a connection of a crowd sends what it has. The
	// other side may have stopped reading, or closed the connection.
	sendTimeout = 5 * time.Second
	dialTimeout = 2 * time.Second
)

// gathering is a crowd whose connections are open.
type gathering struct {
	mu    sync.Mutex
	conns []net.Conn
	wait  sync.WaitGroup
	// cancel ends the requests that have no connection of their own; it may be nil.
	cancel context.CancelFunc
}

// gather opens the connections of a crowd and sends what each has to send. It returns once
// all have done so, or can't.
func (c crowd) gather(dial func() (net.Conn, error), path string) *gathering {
	g := &gathering{}
	for range c.conns {
		g.wait.Add(1)
		go g.runConn(c, dial, path)
	}
	g.wait.Wait()
	return g
}

// gatherHops is like gather, for connections of peers.
func (c crowd) gatherHops(ctx context.Context, peer netip.AddrPort) *gathering {
	g := &gathering{}
	for range c.conns {
		g.wait.Add(1)
		go g.runHop(ctx, c, peer)
	}
	g.wait.Wait()
	return g
}

// add keeps a connection open until the crowd disperses.
func (g *gathering) add(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, conn)
}

func (g *gathering) runConn(c crowd, dial func() (net.Conn, error), path string) {
	defer g.wait.Done()
	conn, err := dial()
	if err != nil {
		return
	}
	g.add(conn)
	conn.SetWriteDeadline(time.Now().Add(sendTimeout + time.Duration(c.sent/max(1, c.piece))*c.pause))
	if c.reads {
		go io.Copy(io.Discard, conn)
	}
	c.send(conn, path)
}

// runHop sends a request as a peer hands it over, which stops short of its end.
func (g *gathering) runHop(ctx context.Context, c crowd, peer netip.AddrPort) {
	defer g.wait.Done()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	pool := messenger.NewPool(messenger.Security{})
	client := detourer.NewClient(func(dialCtx context.Context, peer netip.AddrPort) (net.Conn, error) {
		conn, err := pool.DialDetour(dialCtx, peer)
		if err != nil {
			return nil, err
		}
		g.add(conn)
		return &shortConn{Conn: conn, left: c.sent, ctx: ctx}, nil
	})
	response, _, err := client.Do(ctx, peer, &detourer.Envelope{
		ID: crowdID, Sender: "crowd", Host: host, Method: "POST", Target: pathOrdinary, Path: pathOrdinary,
		Remaining: routeTimeout, Body: make([]byte, c.length),
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

// send writes what one connection of the crowd sends. An error of writing is the entry
// instance's right: it may refuse such a client or close its connection.
func (c crowd) send(conn net.Conn, path string) {
	switch {
	case c.requests > 0:
		request := c.head(path, "Content-Length: "+strconv.Itoa(c.length)) + strings.Repeat("x", c.length)
		for range c.requests {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
		}
	case c.header > 0:
		io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: "+host+"\r\nX-Long: "+strings.Repeat("x", c.header))
	case c.length > 0:
		if _, err := io.WriteString(conn, c.head(path, "Content-Length: "+strconv.Itoa(c.length))); err == nil {
			c.sendBody(conn, strings.Repeat("x", min(c.sent, 1<<20)))
		}
	case c.chunk > 0:
		chunk := strconv.FormatInt(int64(c.chunk), 16) + "\r\n" + strings.Repeat("x", c.chunk) + "\r\n"
		perWrite := max(1, 64<<10/len(chunk))
		if _, err := io.WriteString(conn, c.head(path, "Transfer-Encoding: chunked")); err != nil {
			return
		}
		for left := c.sent / c.chunk; left > 0; left -= perWrite {
			if _, err := io.WriteString(conn, strings.Repeat(chunk, min(left, perWrite))); err != nil {
				return
			}
		}
	}
}

// sendBody sends c.sent bytes, piece by piece if the crowd does so.
func (c crowd) sendBody(conn net.Conn, text string) {
	piece := len(text)
	if c.piece > 0 {
		piece = c.piece
	}
	for left := c.sent; left > 0; left -= piece {
		if _, err := io.WriteString(conn, text[:min(piece, left)]); err != nil {
			return
		}
		time.Sleep(c.pause)
	}
}

// head returns the head of a request with a body.
func (c crowd) head(path, framing string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key +
		"\r\nX-Request-Id: " + crowdID + "\r\nX-Deadline-Ms: 30000\r\nX-Answer-Bytes: " + strconv.Itoa(c.answer) + "\r\n" + framing + "\r\n\r\n"
}

// disperse closes all connections.
func (g *gathering) disperse() {
	if g.cancel != nil {
		g.cancel()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range g.conns {
		conn.Close()
	}
}

// target names a port of an entry instance.
const (
	targetCallers   = "callers"
	targetDirectory = "directory"
	targetReadiness = "readiness"
	targetPeers     = "peers"
	targetHops      = "hops"
	targetOperators = "operators"
)

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

// path returns the path of the requests of a crowd.
func (e *entry) path(target string) string {
	switch target {
	case targetDirectory:
		return "/waxwingmount/resolve?zone=z"
	case targetReadiness:
		return "/waxwingmount/readyz"
	}
	return pathOrdinary
}
