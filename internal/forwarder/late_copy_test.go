package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// copyID says which ID the copies of a response have.
type copyID string

const (
	sameID  copyID = "same ID"
	otherID copyID = "another ID"
	noID    copyID = "no ID"
)

// copyingServer sends each response on a connection once more when the next request arrives
// there, before that request's own response. Its responses name the requests.
type copyingServer struct {
	id copyID
	// head is what follows the status line and the ID, up to the body.
	head string
	// status is the status line of the copies.
	status string
	// delay is the time between a request and the copy of the response before it.
	delay time.Duration

	mu sync.Mutex
	// ran counts the runs of each request.
	ran map[string]int
}

func (s *copyingServer) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(conn)
	}
}

func (s *copyingServer) runConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	previous := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		token := request.Header.Get("Token")
		s.mu.Lock()
		s.ran[token]++
		s.mu.Unlock()
		if previous != "" {
			time.Sleep(s.delay)
			fmt.Fprint(conn, previous)
		}
		body := "data: " + token + "\n\n"
		response := func(status, id string) string {
			if id != "" {
				id = "Id: " + id + "\r\n"
			}
			return "HTTP/1.1 " + status + "\r\n" + id + "Proof: p\r\n" + s.head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
		}
		id := request.Header.Get("Id")
		fmt.Fprint(conn, response("200 OK", id))
		previous = response(s.status, map[copyID]string{sameID: id, otherID: "other", noID: ""}[s.id])
	}
}

// TestLateCopyOfResponse guards against a server that sends a second copy of a response on a
// connection that is in use again: the next caller must get its own response, or none, and a
// copied refusal must not make a request run twice. The second request has the ID of the
// first one where the copies keep it, as a caller's repetition may have.
func TestLateCopyOfResponse(t *testing.T) {
	for _, byPeer := range []bool{false, true} {
		for path, head := range map[string]string{"/once/": "", "/safe/": "", "/stream/": "Content-Type: text/event-stream\r\n"} {
			for _, id := range []copyID{sameID, otherID, noID} {
				for _, status := range []string{"200 OK", "503 Busy\r\nNot-Run: 1"} {
					t.Run(fmt.Sprintf("%s %s %.3s by peer %t", path, id, status, byPeer), func(t *testing.T) {
						t.Parallel()
						testLateCopy(t, &copyingServer{id: id, head: head, status: status, delay: 20 * time.Millisecond, ran: make(map[string]int)}, path, byPeer)
					})
				}
			}
		}
	}
}

func testLateCopy(t *testing.T, s *copyingServer, path string, byPeer bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go s.run(listener)
	f := newRawFixture(t, netip.MustParseAddrPort(listener.Addr().String()), byPeer)
	for i, id := range []string{"r1", "r1", "r2"} {
		token := fmt.Sprintf("t%d", i)
		status, body := sendToken(t, f.server, path, id, token)
		if status == http.StatusOK {
			assert.Equal(t, body, "data: "+token+"\n\n")
		}
		assert.Equal(t, status, http.StatusOK)
		s.mu.Lock()
		assert.Equal(t, s.ran[token], 1)
		s.mu.Unlock()
	}
}

// sendToken sends a request that the server is to answer with the token.
func sendToken(t *testing.T, server *httptest.Server, path, id, token string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*testRouteTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", server.URL+path, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "h"
	for name, value := range map[string]string{"Id": id, "Key": "k", "Model": "m", "Token": token} {
		request.Header.Set(name, value)
	}
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	var body strings.Builder
	_, err = bufio.NewReader(response.Body).WriteTo(&body)
	assert.NilError(t, err)
	return response.StatusCode, body.String()
}

// refusalCopier refuses requests with the ID warm. On a connection that is in use again, it
// sends a copy of its last refusal before the response. The first server that runs another
// request begins a stream and breaks it off; the next one completes it.
type refusalCopier struct {
	mu   sync.Mutex
	runs int
}

func (s *refusalCopier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	const refusal = "HTTP/1.1 503 Busy\r\nProof: p\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for refused := ""; err == nil; r, err = http.ReadRequest(buffered.Reader) {
		io.Copy(io.Discard, r.Body)
		fmt.Fprint(conn, refused)
		if r.Header.Get("Id") == "warm" {
			refused = refusal
			fmt.Fprint(conn, refusal)
			continue
		}
		s.mu.Lock()
		s.runs++
		first := s.runs == 1
		s.mu.Unlock()
		head := "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nProof: p\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s"
		if first {
			fmt.Fprintf(conn, head, 1000, testEvent(1))
			return
		}
		fmt.Fprintf(conn, head, len(testEvent(2)), testEvent(2))
	}
}

// TestLateCopyOfRefusalInResumedStream guards against a stream that is cut, or that runs at a
// third server, because the server at which it resumes sends an earlier refusal once more.
func TestLateCopyOfRefusalInResumedStream(t *testing.T) {
	for _, byPeer := range []bool{false, true} {
		t.Run(fmt.Sprintf("by peer %t", byPeer), func(t *testing.T) {
			servers := &refusalCopier{}
			f := newCutFixture(t, servers.ServeHTTP, nil)
			server := f.fixture.server
			if byPeer {
				f.cutOff()
				server = f.server
			}
			status, _, err := f.callAt(server, "POST", "/stream/", "warm", "k", "body", "")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			status, body, err := f.callAt(server, "POST", "/stream/", "r", "k", "body", "")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, testEvent(1)+testEvent(2))
			assert.Equal(t, servers.runs, 2)
		})
	}
}
