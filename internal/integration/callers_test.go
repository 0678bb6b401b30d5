package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/operator"
)

// TestInvalidRequests checks that each invalid request is refused with a specific
// code and the outcome not_run, and that the system keeps serving.
func TestInvalidRequests(t *testing.T) {
	c := startCluster(t, clusterSpec{entries: 1, services: 1, domains: map[string]int{"fabric-a": 4}, config: fmt.Sprintf(assistModel, 1)})
	c.awaitOpen("entry-0", 1)
	validBody := `{"model":"assist","prompt":"p"}`
	for name, test := range map[string]struct {
		path, body string
		headers    map[string]string
		status     int
		code       string
	}{
		"no key":          {"/v1/completions", validBody, map[string]string{"Authorization": ""}, 401, "missing_key"},
		"unknown key":     {"/v1/completions", validBody, map[string]string{"Authorization": "Bearer wrong"}, 401, "unknown_key"},
		"malformed":       {"/v1/completions", `{"model":`, nil, 400, "malformed_body"},
		"not an object":   {"/v1/completions", `[1]`, nil, 400, "malformed_body"},
		"unknown model":   {"/v1/completions", `{"model":"none"}`, nil, 404, "model_not_found"},
		"unknown route":   {"/elsewhere", "x", nil, 404, "route_not_found"},
		"oversized":       {"/v1/completions", `{"model":"assist","prompt":"` + strings.Repeat("x", 2<<20) + `"}`, nil, 413, "body_too_large"},
		"bad timeout":     {"/v1/completions", validBody, map[string]string{"Waxwing-Timeout": "soon"}, 400, "bad_timeout"},
		"unknown class":   {"/v1/completions", validBody, map[string]string{"Waxwing-Class": "none"}, 400, "unknown_class"},
		"key too long":    {"/portal/x", "x", map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "key_too_long"},
		"past a deadline": {"/v1/completions", `{"model":"assist","prompt":"p","max_tokens":4000}`, map[string]string{"Waxwing-Timeout": "30ms"}, 504, "deadline_exceeded"},
	} {
		t.Run(name, func(t *testing.T) {
			status, header, body, err := c.post("entry-0", test.path, test.body, test.headers)
			assert.NilError(t, err)
			assert.Equal(t, status, test.status, body)
			var errorBody struct {
				Error struct{ Code, Outcome string }
			}
			assert.NilError(t, json.Unmarshal([]byte(body), &errorBody))
			assert.Equal(t, errorBody.Error.Code, test.code)
			assert.Equal(t, errorBody.Error.Outcome, header.Get("Waxwing-Outcome"))
			if status < 500 {
				assert.Equal(t, errorBody.Error.Outcome, "not_run")
			}
		})
	}
	status, _, _, err := c.post("entry-0", "/v1/completions", validBody, nil)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
}

// TestIncompleteRequestHeader sends an incomplete request header; the entry instance
// closes the connection after a timeout.
func TestIncompleteRequestHeader(t *testing.T) {
	const headerLimit = 10 * time.Second
	c := startCluster(t, clusterSpec{entries: 1})
	conn, err := net.Dial("tcp", c.callerAddresses["entry-0"].String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n")
	assert.NilError(t, err)
	conn.SetReadDeadline(time.Now().Add(headerLimit))
	_, err = io.ReadAll(bufio.NewReader(conn))
	assert.NilError(t, err, "the connection was not closed in time")
}

// TestNoRetryAfterClosedConnection lets a backend server close connections after it has read
// a request without a body. The Go HTTP transport retries such a request on a connection that
// is in use again by itself, so that no connection may be.
func TestNoRetryAfterClosedConnection(t *testing.T) {
	server := &rawServer{calls: make(chan string, 16)}
	c := server.start(t)
	status, _, _, err := c.post("entry-0", "/raw/first", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, <-server.calls, "1 /raw/first")
	status, header, _, err := c.post("entry-0", "/raw/lost", "", map[string]string{"Idempotency-Key": "once"})
	assert.NilError(t, err)
	assert.Equal(t, status, 502)
	assert.Equal(t, header.Get("Waxwing-Outcome"), "may_have_run")
	assert.Equal(t, <-server.calls, "1 /raw/lost")
	select {
	case repeated := <-server.calls:
		t.Fatalf("%s was sent twice", repeated)
	case <-time.After(time.Second):
	}
}

// TestLateCopyOfResponse guards against a server's second copy of a response that arrives on
// a connection which is in use again: the next caller must get its own response.
func TestLateCopyOfResponse(t *testing.T) {
	server := &rawServer{calls: make(chan string, 16)}
	c := server.start(t)
	for _, path := range []string{"/raw/first", "/raw/second", "/raw/third"} {
		status, _, body, err := c.post("entry-0", path, "", nil)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		assert.Equal(t, string(body), path)
	}
}

// rawServer is a plain service whose responses are the paths of the requests. On a connection
// that is in use again, it sends a copy of the last response before each response.
type rawServer struct {
	// calls receives the requests, each with its number on its connection.
	calls chan string
}

func (s *rawServer) start(t *testing.T) *cluster {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go s.run(listener)
	return startCluster(t, clusterSpec{entries: 1, config: fmt.Sprintf(
		"\n[service.raw]\naddresses = %s\n[route.raw]\npath_prefix = /raw/\nservice = raw\n", listener.Addr())})
}

func (s *rawServer) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(conn)
	}
}

func (s *rawServer) runConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	previous := ""
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		s.calls <- fmt.Sprintf("%d %s", n, request.URL.Path)
		if strings.HasSuffix(request.URL.Path, "lost") {
			return
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		io.WriteString(conn, previous+response)
		previous = response
	}
}

// TestTokensAreRequired checks that operators and peers without the token are
// rejected.
func TestTokensAreRequired(t *testing.T) {
	c := startCluster(t, clusterSpec{entries: 2})
	path := c.writeSettings("entry-1", "token = operator-secret", "token = peer-secret")
	c.kill("entry-1")
	c.startProcess("entry-1", entryProgram, "--settings", path)
	awaitPort(t, c.callerAddresses["entry-1"])
	err := c.callOperator("entry-1", http.MethodGet, "/operator/status", nil, &operator.Status{})
	assert.ErrorContains(t, err, "status 403")
	// A peer without the token never becomes a member.
	time.Sleep(2 * time.Second)
	var status operator.Status
	assert.NilError(t, c.callOperator("entry-0", http.MethodGet, "/operator/status", nil, &status))
	assert.Equal(t, len(status.Entries), 1)
}
