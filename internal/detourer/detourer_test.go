package detourer

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const testToken = "token"

// echo is the RPC receiver of a test's peers.
type echo struct{}

// Echo responds with its argument.
func (echo) Echo(argument string, reply *string) error {
	*reply = argument
	return nil
}

// servePeer starts a peer and returns its address.
func servePeer(t testing.TB, options ...messenger.ServerOption) netip.AddrPort {
	t.Helper()
	server, err := messenger.NewServer(messenger.Security{Token: testToken}, "Echo", echo{}, rand.Read, options...)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go server.Serve(ctx, listener)
	return addressOf(listener)
}

func addressOf(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// serveDetours starts a peer that takes detours.
func serveDetours(t testing.TB, run RunFunc, options ...HandlerOption) netip.AddrPort {
	t.Helper()
	return servePeer(t, messenger.WithDetourHandler(NewHandler(run, options...)))
}

// limitMemory returns an option that bounds the memory of all requests, and the limiter.
func limitMemory(bytes int64) (messenger.ServerOption, *server.Limiter) {
	limiter := server.NewLimiter(server.LimiterSettings{Memory: bytes})
	return messenger.WithLimiter(limiter), limiter
}

func newTestClient(t testing.TB, options ...ClientOption) *Client {
	t.Helper()
	pool := messenger.NewPool(messenger.Security{Token: testToken})
	c := NewClient(pool.DialDetour, options...)
	t.Cleanup(c.Close)
	return c
}

// envelope returns a request with all fields.
func envelope() *Envelope {
	return &Envelope{
		ID: "request-1", Sender: "entry-1", Host: "models.example", Method: http.MethodPost,
		Target: "/v1/run?x=%2F", Path: "/v1/run",
		Header: http.Header{"Authorization": {"Bearer key"}, "X-Many": {"one", "two", ""}, "X-Latin": {"caf\xe9"}},
		Body:   []byte("the body\r\n"), Remaining: 10 * time.Second, Elapsed: 1500 * time.Millisecond,
		LastEventID: "41", Excluded: []string{"b-1", "b-2"},
	}
}

func kindOf(t testing.TB, err error) Kind {
	t.Helper()
	kind, found := faulter.KindOf[Kind](err)
	assert.Assert(t, found, "%v", err)
	return kind
}

// TestWholeResponse guards against a request or a response that changes on its way.
func TestWholeResponse(t *testing.T) {
	sent := envelope()
	head := Head{
		Status: http.StatusAccepted, Delimited: true, Stream: true, Took: 3 * time.Millisecond,
		Header: http.Header{"Content-Type": {"text/plain"}, "Set-Cookie": {"a=1", "b=2"}},
	}
	want := strings.Repeat("0123456789abcdef", 3*maxDataBytes/16) + "tail"
	var received Envelope
	peer := serveDetours(t, func(_ context.Context, e *Envelope, w *ResponseWriter) {
		received = *e
		assert.Check(t, w.WriteHead(head))
		n, err := w.Write([]byte(want))
		assert.Check(t, err)
		assert.Check(t, n == len(want))
		assert.Check(t, w.End())
	})
	c := newTestClient(t)
	for range 3 {
		response, got, err := c.Do(t.Context(), peer, sent)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(body), want)
		assert.DeepEqual(t, got, head)
		assert.DeepEqual(t, received, *sent)
		assert.Equal(t, response.StatusCode, head.Status)
		assert.DeepEqual(t, response.Header, head.Header)
		assert.Equal(t, response.ContentLength, int64(-1))
		assert.DeepEqual(t, response.TransferEncoding, []string{"chunked"})
	}
}

// TestRefusal guards against a peer's reason that is lost, before or after the head.
func TestRefusal(t *testing.T) {
	refusal := Refusal{Kind: "no_server", Text: "none\nleft", Outcome: retrier.NotRun, NothingSent: true, RetryAfter: 1250 * time.Millisecond, Upstreams: []string{"m~1", "m~2"}}
	want := refusal
	want.Text = "none left"
	for _, before := range []bool{true, false} {
		peer := serveDetours(t, func(_ context.Context, _ *Envelope, w *ResponseWriter) {
			if !before {
				assert.Check(t, w.WriteHead(Head{Status: http.StatusOK}))
				w.Write([]byte("part"))
			}
			assert.Check(t, w.Refuse(refusal))
		})
		response, _, err := newTestClient(t).Do(t.Context(), peer, envelope())
		if !before {
			assert.NilError(t, err)
			assert.Equal(t, len(response.TransferEncoding), 0)
			var body []byte
			body, err = io.ReadAll(response.Body)
			assert.Equal(t, string(body), "part")
			assert.NilError(t, response.Body.Close())
		}
		assert.Equal(t, kindOf(t, err), KindRefused)
		got, found := RefusalOf(err)
		assert.Assert(t, found)
		assert.DeepEqual(t, *got, want)
	}
}

// TestEventsArriveOneByOne guards against a hop that holds back events of a stream.
func TestEventsArriveOneByOne(t *testing.T) {
	next := make(chan string)
	peer := serveDetours(t, func(_ context.Context, _ *Envelope, w *ResponseWriter) {
		w.WriteHead(Head{Status: http.StatusOK, Stream: true, Delimited: true})
		for event := range next {
			w.Write([]byte(event))
		}
		w.End()
	})
	response, head, err := newTestClient(t).Do(t.Context(), peer, envelope())
	assert.NilError(t, err)
	assert.Assert(t, head.Stream)
	defer response.Body.Close()
	for _, event := range []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"} {
		next <- event
		got := make([]byte, len(event))
		_, err := io.ReadFull(response.Body, got)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, []byte(event)))
	}
	close(next)
	_, err = response.Body.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}
