package server

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

const (
	testBodyLimit = 1 << 20
	// patience bounds what has to happen, and is not judged.
	patience = 20 * time.Second
)

// statuses maps the kinds of errors of reading a body as handlers do.
var statuses = map[Kind]int{
	KindTooSlow: http.StatusRequestTimeout, KindNoMemory: http.StatusServiceUnavailable, KindTooLarge: http.StatusRequestEntityTooLarge,
}

// serveBody reads the body of a request and returns its length; with the query "answer" it
// writes that many bytes instead.
func serveBody(w http.ResponseWriter, r *http.Request) {
	data, err := ReadBody(r, testBodyLimit)
	if kind, known := faulter.KindOf[Kind](err); known {
		w.WriteHeader(statuses[kind])
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("answer")); err == nil {
		w.Write(make([]byte, n))
		return
	}
	fmt.Fprint(w, len(data))
}

// startLimited starts a server with a limiter.
func startLimited(t *testing.T, settings LimiterSettings, options ...Option) (*Limiter, string) {
	t.Helper()
	limiter := NewLimiter(settings)
	s, err := Start(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(serveBody), append(options, WithLimiter(limiter))...)
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	return limiter, s.listener.Addr().String()
}

// client is one connection of a test.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func dialClient(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(patience)))
	return &client{Conn: conn, t: t, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// sendBody sends a request with a body, of which only the first bytes are sent.
func (c *client) sendBody(length, sent int) {
	c.t.Helper()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + strings.Repeat("x", sent))
}

// receive returns the status of the next response, and whether the connection ends with it.
func (c *client) receive() (status int, ends bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(c.t, err)
	return response.StatusCode, response.Close
}

// awaitEnd waits until the server closes the connection without a response.
func (c *client) awaitEnd() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	assert.Assert(c.t, err != nil, "the connection has a response")
	timeout, isNet := err.(net.Error)
	assert.Assert(c.t, !isNet || !timeout.Timeout(), "the connection stays open")
}

// hasEnded reports whether the server closes the connection within a short time.
func (c *client) hasEnded() bool {
	c.t.Helper()
	const wait = 50 * time.Millisecond
	assert.NilError(c.t, c.SetReadDeadline(time.Now().Add(wait)))
	_, err := c.reader.ReadByte()
	assert.Assert(c.t, err != nil, "the connection has a response")
	timeout, isNet := err.(net.Error)
	return !isNet || !timeout.Timeout()
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "waiting for %s", what)
	}
}

// TestStalledBodyGivesWay guards against bodies that stop short of their end and keep the
// memory from requests that arrive whole.
func TestStalledBodyGivesWay(t *testing.T) {
	limiter, address := startLimited(t, LimiterSettings{Memory: 512 << 10})
	stalled := dialClient(t, address)
	stalled.sendBody(200<<10, 199<<10)
	await(t, "the body to be counted", func() bool { return limiter.MemoryUsed() >= 199<<10 })

	// While it advances, nobody takes its memory.
	early := dialClient(t, address)
	early.sendBody(200<<10, 200<<10)
	status, ends := early.receive()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, ends)

	// A small one has a reserve.
	small := dialClient(t, address)
	small.sendBody(10<<10, 10<<10)
	status, ends = small.receive()
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, !ends)

	time.Sleep(stallGrace)
	late := dialClient(t, address)
	late.sendBody(200<<10, 200<<10)
	status, ends = late.receive()
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, !ends)
	status, ends = stalled.receive()
	assert.Equal(t, status, http.StatusRequestTimeout)
	assert.Assert(t, ends)
	await(t, "the memory to be given back", func() bool { return limiter.MemoryUsed() == 0 })
}

// TestSlowBodyInCalm guards against a slow client that loses its request though nobody needs
// what it holds.
func TestSlowBodyInCalm(t *testing.T) {
	_, address := startLimited(t, LimiterSettings{Memory: 1 << 20, Connections: 2})
	slow := dialClient(t, address)
	slow.sendBody(300<<10, 299<<10)
	time.Sleep(2 * stallGrace)
	slow.send(strings.Repeat("x", 1<<10))
	status, ends := slow.receive()
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, !ends)
}

// TestBodyOverItsLimit guards against a body that is read though its length was announced to be
// over the limit, and against a refusal that is lost since the client still sends.
func TestBodyOverItsLimit(t *testing.T) {
	limiter, address := startLimited(t, LimiterSettings{Memory: 8 << 20})
	t.Run("expects continue", func(t *testing.T) {
		c := dialClient(t, address)
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\nExpect: 100-continue\r\n\r\n")
		status, ends := c.receive()
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
		assert.Assert(t, ends)
	})
	t.Run("announced", func(t *testing.T) {
		c := dialClient(t, address)
		c.sendBody(8<<20, 8<<20)
		status, ends := c.receive()
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
		assert.Assert(t, ends)
	})
	t.Run("chunked", func(t *testing.T) {
		c := dialClient(t, address)
		c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 128 {
			c.send("10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n")
		}
		status, ends := c.receive()
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
		assert.Assert(t, ends)
	})
	await(t, "the memory to be given back", func() bool { return limiter.MemoryUsed() == 0 })
}

// TestLargestBody guards against a limit that excludes what it should include.
func TestLargestBody(t *testing.T) {
	_, address := startLimited(t, LimiterSettings{Memory: 8 << 20})
	for _, length := range []int{testBodyLimit, testBodyLimit + 1} {
		c := dialClient(t, address)
		c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strconv.FormatInt(int64(length), 16) + "\r\n" + strings.Repeat("x", length) + "\r\n0\r\n\r\n")
		status, _ := c.receive()
		assert.Equal(t, status == http.StatusOK, length <= testBodyLimit, "%d bytes: status %d", length, status)
	}
}

// TestConnectionsGiveWay guards against clients that hold all connections and send nothing, or
// only a part of a request.
func TestConnectionsGiveWay(t *testing.T) {
	limiter, address := startLimited(t, LimiterSettings{Connections: 3})
	silent, partial := dialClient(t, address), dialClient(t, address)
	partial.send("POST / HT")
	await(t, "the connections to be taken", func() bool { return limiter.reclaimer.Connections() == 2 })
	served := dialClient(t, address)
	served.sendBody(1, 1)
	status, _ := served.receive()
	assert.Equal(t, status, http.StatusOK)

	// One that has served a request is idle, and goes before those that are too young to be
	// judged. It counts as idle shortly after its client has the response; until then the new
	// one is closed.
	var first *client
	await(t, "the idle connection to give way", func() bool {
		first = dialClient(t, address)
		return served.hasEnded()
	})
	time.Sleep(stallGrace)
	for _, old := range []*client{silent, partial} {
		c := dialClient(t, address)
		c.sendBody(1, 1)
		status, _ := c.receive()
		assert.Equal(t, status, http.StatusOK)
		old.awaitEnd()
	}
	first.sendBody(1, 1)
	status, _ = first.receive()
	assert.Equal(t, status, http.StatusOK)
}

// TestNewConnectionIsClosed guards against a request in progress that gives way.
func TestNewConnectionIsClosed(t *testing.T) {
	limiter, address := startLimited(t, LimiterSettings{Connections: 1, Memory: 1 << 20})
	busy := dialClient(t, address)
	busy.sendBody(300<<10, 299<<10)
	await(t, "the request to begin", func() bool { return limiter.MemoryUsed() > 0 })
	dialClient(t, address).awaitEnd()
	busy.send(strings.Repeat("x", 1<<10))
	status, _ := busy.receive()
	assert.Equal(t, status, http.StatusOK)
}

// TestClientThatDoesNotReadGivesWay guards against clients that request large responses, take
// nothing of them, and keep their connections.
func TestClientThatDoesNotReadGivesWay(t *testing.T) {
	limiter, address := startLimited(t, LimiterSettings{Connections: 1})
	unread := dialClient(t, address)
	unread.send("GET /?answer=67108864 HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, "the response to be blocked", func() bool {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Second)))
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && response.StatusCode == http.StatusOK
	})
	await(t, "the connection to be closed", func() bool { return limiter.reclaimer.Connections() <= 1 })
}

// TestSlowReaderIsServed guards against a client that reads slowly and is cut off.
func TestSlowReaderIsServed(t *testing.T) {
	_, address := startLimited(t, LimiterSettings{Connections: 1})
	slow := dialClient(t, address)
	const length = 4 << 20
	slow.send("GET /?answer=" + strconv.Itoa(length) + " HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(slow.reader, nil)
	assert.NilError(t, err)
	received := 0
	part := make([]byte, length/4)
	for pause := stallGrace + stallGrace/2; ; pause = 0 {
		time.Sleep(pause)
		n, err := io.ReadFull(response.Body, part)
		received += n
		if err != nil {
			break
		}
	}
	assert.Equal(t, received, length)
}

// TestBoundsOfHeads guards against heads of any length, and against limits of the configuration
// that are not in force, or forbid what they allow.
func TestBoundsOfHeads(t *testing.T) {
	bounds := Bounds{HeaderBytes: 16 << 10, HeadTimeout: time.Second, IdleTimeout: 3 * time.Second}
	limiter, address := startLimited(t, LimiterSettings{Bounds: func() Bounds { return bounds }})
	for length, want := range map[int]int{
		16 << 10:           http.StatusOK,
		24 << 10:           http.StatusRequestHeaderFieldsTooLarge,
		2 * MaxHeaderBytes: http.StatusRequestHeaderFieldsTooLarge,
	} {
		c := dialClient(t, address)
		c.send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", length) + "\r\n\r\n")
		status, ends := c.receive()
		assert.Equal(t, status, want, "%d bytes", length)
		assert.Equal(t, ends, want != http.StatusOK)
	}
	began := time.Now()
	partial, idle := dialClient(t, address), dialClient(t, address)
	partial.send("GET / HTTP/1.1\r\nHost: h\r\n")
	idle.sendBody(1, 1)
	idle.receive()
	partial.awaitEnd()
	assert.Assert(t, time.Since(began) >= bounds.HeadTimeout)
	idle.awaitEnd()
	assert.Assert(t, time.Since(began) >= bounds.IdleTimeout)
	await(t, "the connections to be closed", func() bool { return limiter.reclaimer.Connections() == 0 })
}

// TestHeadTakesMemory guards against many heads that are not whole, which no limit on bodies
// bounds.
func TestHeadTakesMemory(t *testing.T) {
	limiter, address := startLimited(t, LimiterSettings{Memory: 1 << 20})
	for range 40 {
		dialClient(t, address).send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 32<<10))
	}
	await(t, "the heads to be counted", func() bool { return limiter.MemoryUsed() > 1<<19 })
	await(t, "an ordinary request", func() bool {
		response, err := http.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 10<<10)))
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	assert.Assert(t, limiter.MemoryUsed() <= 1<<20)
}

// TestStreamsTakeMemory guards against one HTTP/2 connection with any number of bodies.
func TestStreamsTakeMemory(t *testing.T) {
	source := httptest.NewUnstartedServer(nil)
	source.StartTLS()
	defer source.Close()
	config := &tls.Config{Certificates: source.TLS.Certificates}
	limiter, address := startLimited(t, LimiterSettings{Memory: 4 << 20}, WithTLS(config))
	transport := source.Client().Transport.(*http.Transport).Clone()
	transport.ForceAttemptHTTP2 = true
	caller := &http.Client{Transport: transport}
	defer caller.CloseIdleConnections()
	stop := make(chan struct{})
	defer close(stop)
	for range maxStreams {
		go func() {
			reader, writer := io.Pipe()
			go func() {
				io.WriteString(writer, strings.Repeat("x", 60<<10))
				<-stop
				writer.Close()
			}()
			request, _ := http.NewRequest(http.MethodPost, "https://"+address, reader)
			request.ContentLength = 64 << 10
			if response, err := caller.Do(request); err == nil {
				response.Body.Close()
			}
		}()
	}
	await(t, "the streams to be counted", func() bool { return limiter.MemoryUsed() > 2<<20 })
	await(t, "an ordinary request", func() bool {
		response, err := caller.Post("https://"+address, "text/plain", strings.NewReader("x"))
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK && response.ProtoMajor == 2
	})
	assert.Assert(t, limiter.MemoryUsed() <= 4<<20)
}

// TestRefusedStreamLeavesOthers guards against one refused request that ends an HTTP/2 connection
// with the requests of others on it.
func TestRefusedStreamLeavesOthers(t *testing.T) {
	source := httptest.NewUnstartedServer(nil)
	source.StartTLS()
	defer source.Close()
	_, address := startLimited(t, LimiterSettings{Memory: 8 << 20}, WithTLS(&tls.Config{Certificates: source.TLS.Certificates}))
	transport := source.Client().Transport.(*http.Transport).Clone()
	transport.ForceAttemptHTTP2 = true
	dials := 0
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	caller := &http.Client{Transport: transport}
	defer caller.CloseIdleConnections()
	post := func(body io.Reader) int {
		response, err := caller.Post("https://"+address, "text/plain", body)
		assert.NilError(t, err)
		defer response.Body.Close()
		assert.Equal(t, response.ProtoMajor, 2)
		return response.StatusCode
	}
	assert.Equal(t, post(strings.NewReader("x")), http.StatusOK)
	reader, writer := io.Pipe()
	answered := make(chan int, 1)
	go func() { answered <- post(reader) }()
	_, err := io.WriteString(writer, "begins")
	assert.NilError(t, err)
	for range 3 {
		assert.Equal(t, post(strings.NewReader(strings.Repeat("x", testBodyLimit+1))), http.StatusRequestEntityTooLarge)
		assert.Equal(t, post(strings.NewReader("x")), http.StatusOK)
	}
	assert.NilError(t, writer.Close())
	assert.Equal(t, <-answered, http.StatusOK)
	assert.Equal(t, dials, 1)
}

// TestBodyThatNobodyReads guards against a response that waits for a body which its handler does
// not read.
func TestBodyThatNobodyReads(t *testing.T) {
	s, err := Start(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	assert.NilError(t, err)
	defer s.Close()
	c := dialClient(t, s.listener.Addr().String())
	began := time.Now()
	c.sendBody(1000, 1)
	status, _ := c.receive()
	assert.Equal(t, status, http.StatusNoContent)
	assert.Assert(t, time.Since(began) < readTimeout/2)
}
