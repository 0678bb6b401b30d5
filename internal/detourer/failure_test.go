package detourer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const (
	// patience is how long a test waits for what must happen soon.
	patience = 10 * time.Second
	// cancelBound is the time within which a caller's leaving must end the work.
	cancelBound = 500 * time.Millisecond
)

// serveRaw starts a peer whose detour connections are served by any handler.
func serveRaw(t testing.TB, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	return servePeer(t, messenger.WithDetourHandler(handler))
}

// answer writes a whole response.
func answer(w *ResponseWriter, parts ...string) {
	w.WriteHead(Head{Status: http.StatusOK, Delimited: true})
	for _, part := range parts {
		w.Write([]byte(part))
	}
	w.End()
}

// exchange does a request and reads its response.
func exchange(t testing.TB, c *Client, peer netip.AddrPort) (string, error) {
	t.Helper()
	response, _, err := c.Do(t.Context(), peer, envelope())
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// closeConn closes the connection of a request without a response.
func closeConn(t testing.TB, w http.ResponseWriter) {
	t.Helper()
	conn, _, err := http.NewResponseController(w).Hijack()
	assert.Check(t, err)
	conn.Close()
}

// await waits for a signal.
func await(t testing.TB, signal <-chan struct{}, bound time.Duration) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(bound):
		t.Fatalf("nothing happened within %s", bound)
	}
}

// TestBreaks guards against a response that counts as complete although the peer has
// stopped within it, and against bytes before the break that are lost.
func TestBreaks(t *testing.T) {
	for name, test := range map[string]struct {
		run  RunFunc
		want string
	}{
		"before the head": {run: func(context.Context, *Envelope, *ResponseWriter) {}},
		"panic":           {run: func(context.Context, *Envelope, *ResponseWriter) { panic(http.ErrAbortHandler) }},
		"after the head": {run: func(_ context.Context, _ *Envelope, w *ResponseWriter) {
			w.WriteHead(Head{Status: http.StatusOK, Delimited: true})
		}},
		"inside an event": {want: "id: 1\ndata: a\n\nid: 2\nda", run: func(_ context.Context, _ *Envelope, w *ResponseWriter) {
			w.WriteHead(Head{Status: http.StatusOK, Delimited: true, Stream: true})
			w.Write([]byte("id: 1\ndata: a\n\n"))
			w.Write([]byte("id: 2\nda"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := exchange(t, newTestClient(t), serveDetours(t, test.run))
			assert.Equal(t, kindOf(t, err), KindBroken)
			assert.Equal(t, got, test.want)
		})
	}
}

// TestTruncatedFrames guards against a frame that counts as whole although the HTTP response
// ends properly within it, and against invalid frames that are passed on.
func TestTruncatedFrames(t *testing.T) {
	head := "\x03\x00\x00\x00\x0fstatus: 200\r\n\r\n"
	assert.Equal(t, len(head), frameHeaderBytes+15)
	for name, test := range map[string]struct{ frames, want string }{
		"nothing":                {frames: ""},
		"head without its end":   {frames: head},
		"no end frame":           {frames: head + "\r\n"},
		"part of a frame header": {frames: "\x07\x00\x00"},
		"end without a head":     {frames: "\x05\x00\x00\x00\x00"},
		"unknown type":           {frames: "\x09\x00\x00\x00\x00"},
		"oversized head":         {frames: "\x03\xff\xff\xff\xff"},
		"keep-alive with data":   {frames: "\x07\x00\x00\x00\x01x"},
		"oversized data":         {frames: wholeHead + "\x04\x00\x01\x00\x01", want: ""},
		"data without its end":   {frames: wholeHead + "\x04\x00\x00\x00\x05abc", want: "abc"},
		"request as response":    {frames: wholeHead + "\x01\x00\x00\x00\x00"},
		"two heads":              {frames: wholeHead + wholeHead},
		"malformed refusal":      {frames: wholeHead + "\x06\x00\x00\x00\x04\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			peer := serveRaw(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				io.WriteString(w, test.frames)
			})
			got, err := exchange(t, newTestClient(t), peer)
			assert.Equal(t, kindOf(t, err), KindBroken)
			assert.Equal(t, got, test.want)
		})
	}
}

// TestMalformedHead guards against a response of a peer whose head is none being believed. Its
// request may have run.
func TestMalformedHead(t *testing.T) {
	for name, fields := range map[string]string{
		"status 000":         "status: 000\r\n\r\n\r\n",
		"no status":          "took: 1ms\r\n\r\n\r\n",
		"negative status":    "status: -1\r\n\r\n\r\n",
		"interim status":     "status: 103\r\n\r\n\r\n",
		"blank in a name":    "status: 200\r\n\r\nX Odd: 1\r\n\r\n",
		"blank after a name": "status: 200\r\n\r\nX-Odd : 1\r\n\r\n",
		"control byte":       "status: 200\r\n\r\nX\x01Odd: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			frames := &bytes.Buffer{}
			appendFrame(frames, frameHead, []byte(fields))
			appendFrame(frames, frameEnd, nil)
			peer := serveRaw(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				w.Write(frames.Bytes())
			})
			got, err := exchange(t, newTestClient(t), peer)
			assert.Equal(t, kindOf(t, err), KindBroken, "%q", got)
		})
	}
}

// TestResetDuringRequest guards against a part of a response, which a peer sends and breaks off
// while the request is being written, counting as complete. The peer can't have run the request.
func TestResetDuringRequest(t *testing.T) {
	const calls = 8
	peer := serveRaw(t, func(w http.ResponseWriter, r *http.Request) {
		// The first byte makes the client send the request.
		r.Body.Read(make([]byte, 1))
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		defer conn.Close()
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+wholeHead+"\x04\x00\x00\x00\x04half")
		time.Sleep(50 * time.Millisecond)
		assert.Check(t, conn.(interface{ SetLinger(int) error }).SetLinger(0))
	})
	long := envelope()
	long.Body = make([]byte, defaultMaxBodyBytes)
	for range calls {
		response, _, err := newTestClient(t).Do(t.Context(), peer, long)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Body.Close()
		}
		assert.Equal(t, kindOf(t, err), KindUnreachable)
	}
}

const wholeHead = "\x03\x00\x00\x00\x11status: 200\r\n\r\n\r\n"

// TestRunsOnce guards against a request that is sent twice because its connection was lost,
// which runs it twice.
func TestRunsOnce(t *testing.T) {
	for _, warm := range []bool{false, true} {
		var runs atomic.Int32
		closing := atomic.Bool{}
		handler := NewHandler(func(_ context.Context, _ *Envelope, w *ResponseWriter) { answer(w, "done") })
		peer := serveRaw(t, func(w http.ResponseWriter, r *http.Request) {
			if !closing.Load() {
				handler.ServeHTTP(w, r)
				return
			}
			_, err := readEnvelope(r.Body, defaultMaxBodyBytes)
			assert.Check(t, err)
			runs.Add(1)
			closeConn(t, w)
		})
		c := newTestClient(t)
		if warm {
			_, err := exchange(t, c, peer)
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond)
		}
		closing.Store(true)
		_, err := exchange(t, c, peer)
		assert.Equal(t, kindOf(t, err), KindBroken)
		assert.Equal(t, runs.Load(), int32(1))
	}
}

// TestClosedBeforeReading guards against "may have run" for a request that the peer has
// never asked for, which keeps it from being sent elsewhere.
func TestClosedBeforeReading(t *testing.T) {
	peer := serveRaw(t, func(w http.ResponseWriter, _ *http.Request) { closeConn(t, w) })
	_, err := exchange(t, newTestClient(t), peer)
	assert.Equal(t, kindOf(t, err), KindUnreachable)
}

// TestUnreachable guards against a claim that a request may have run where there is no
// connection, or a peer without this service.
func TestUnreachable(t *testing.T) {
	handler := NewHandler(func(_ context.Context, _ *Envelope, w *ResponseWriter) { answer(w) })
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { mute.Close() })
	for name, test := range map[string]struct {
		peer  netip.AddrPort
		token string
	}{
		"refused connection": {addressOf(closed), testToken},
		"mute peer":          {addressOf(mute), testToken},
		"no handler":         {servePeer(t), testToken},
		"older peer":         {serveOlderPeer(t), testToken},
		"wrong token":        {servePeer(t, messenger.WithDetourHandler(handler)), "other"},
		"other service":      {serveRaw(t, http.NotFound), testToken},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(messenger.NewPool(messenger.Security{Token: test.token}).DialDetour)
			began := time.Now()
			_, err := exchange(t, c, test.peer)
			assert.Equal(t, kindOf(t, err), KindUnreachable)
			assert.Assert(t, time.Since(began) < 2*defaultSilence, "took %s", time.Since(began))
		})
	}
}

// serveOlderPeer starts a peer of a release without detours.
func serveOlderPeer(t testing.TB) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			nonce, proof := make([]byte, sha256.Size), make([]byte, sha256.Size)
			rand.Read(nonce)
			conn.Write(nonce)
			io.ReadFull(conn, proof)
			mac := hmac.New(sha256.New, []byte(testToken))
			mac.Write(nonce)
			if !hmac.Equal(proof, mac.Sum(nil)) {
				conn.Close()
				continue
			}
			io.WriteString(conn, "ok")
			go rpc.ServeConn(conn)
		}
	}()
	return addressOf(listener)
}

// TestSilentPeer guards against a hop that hangs until the request's deadline, whether the
// peer falls silent before its head, after it, or inside a frame.
func TestSilentPeer(t *testing.T) {
	for name, frames := range map[string]string{
		"before the response": "", "before the head": "\x07\x00\x00\x00\x00",
		"after the head": wholeHead, "inside a frame": wholeHead + "\x04\x00\x00\x00\x05abc",
	} {
		t.Run(name, func(t *testing.T) {
			peer := serveRaw(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if frames != "" {
					io.WriteString(w, frames)
					http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
			})
			began := time.Now()
			_, err := exchange(t, newTestClient(t), peer)
			assert.Equal(t, kindOf(t, err), KindSilent)
			assert.Assert(t, !errors.Is(err, context.Canceled), "looks like a caller that has left: %v", err)
			took := time.Since(began)
			assert.Assert(t, took >= defaultSilence && took < 2*defaultSilence, "took %s", took)
		})
	}
}

// TestLongWork guards against a hop that counts as silent while the peer waits for a server.
func TestLongWork(t *testing.T) {
	peer := serveDetours(t, func(_ context.Context, _ *Envelope, w *ResponseWriter) {
		time.Sleep(3 * defaultSilence / 2)
		w.WriteHead(Head{Status: http.StatusOK})
		time.Sleep(3 * defaultSilence / 2)
		w.Write([]byte("late"))
		w.End()
	})
	got, err := exchange(t, newTestClient(t), peer)
	assert.NilError(t, err)
	assert.Equal(t, got, "late")
}

// cutConn passes nothing on, in either direction, once it is cut.
type cutConn struct {
	net.Conn
	cut    *atomic.Bool
	closed chan struct{}
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.cut.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.cut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.Conn.Close()
}

// TestCutBeforeRequest guards against "may have run" for a request on an idle connection
// whose path was cut before the peer has asked for it.
func TestCutBeforeRequest(t *testing.T) {
	var runs atomic.Int32
	peer := serveDetours(t, func(_ context.Context, _ *Envelope, w *ResponseWriter) {
		runs.Add(1)
		answer(w, "done")
	})
	var cut atomic.Bool
	pool := messenger.NewPool(messenger.Security{Token: testToken})
	c := NewClient(func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		conn, err := pool.DialDetour(ctx, address)
		if err != nil {
			return nil, err
		}
		return &cutConn{Conn: conn, cut: &cut, closed: make(chan struct{})}, nil
	})
	_, err := exchange(t, c, peer)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	cut.Store(true)
	began := time.Now()
	_, err = exchange(t, c, peer)
	assert.Equal(t, kindOf(t, err), KindUnreachable)
	assert.Assert(t, !errors.Is(err, context.Canceled), "looks like a caller that has left: %v", err)
	assert.Assert(t, time.Since(began) < 2*defaultSilence)
	assert.Equal(t, runs.Load(), int32(1))
}

// TestCancel guards against work that goes on at the peer when the caller has left: before
// the head, and within the response, by its context or by Close.
func TestCancel(t *testing.T) {
	for _, early := range []bool{true, false} {
		started, ended := make(chan struct{}), make(chan struct{})
		peer := serveDetours(t, func(ctx context.Context, _ *Envelope, w *ResponseWriter) {
			if !early {
				w.WriteHead(Head{Status: http.StatusOK})
			}
			close(started)
			<-ctx.Done()
			close(ended)
		})
		ctx, cancel := context.WithCancel(t.Context())
		if early {
			go func() {
				<-started
				cancel()
			}()
		}
		response, _, err := newTestClient(t).Do(ctx, peer, envelope())
		if early {
			assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
			assert.Equal(t, kindOf(t, err), KindBroken)
		} else {
			assert.NilError(t, err)
			await(t, started, patience)
			assert.NilError(t, response.Body.Close())
			_, err = response.Body.Read(make([]byte, 1))
			assert.Equal(t, kindOf(t, err), KindBroken)
		}
		await(t, ended, cancelBound)
		cancel()
	}
}

// TestRemaining guards against work that goes on after the sender has given the request up,
// and against a request without time that runs.
func TestRemaining(t *testing.T) {
	const remaining = 200 * time.Millisecond
	var runs atomic.Int32
	peer := serveDetours(t, func(ctx context.Context, _ *Envelope, w *ResponseWriter) {
		runs.Add(1)
		<-ctx.Done()
		assert.Check(t, errors.Is(ctx.Err(), context.DeadlineExceeded))
		assert.Check(t, w.Refuse(Refusal{Kind: "late", Outcome: retrier.MayHaveRun}))
	})
	c := newTestClient(t)
	e := envelope()
	e.Remaining = remaining
	began := time.Now()
	_, _, err := c.Do(t.Context(), peer, e)
	refusal, found := RefusalOf(err)
	assert.Assert(t, found, "%v", err)
	assert.Equal(t, refusal.Kind, "late")
	assert.Assert(t, time.Since(began) >= remaining && time.Since(began) < remaining+cancelBound)
	e.Remaining = 0
	_, _, err = c.Do(t.Context(), peer, e)
	refusal, found = RefusalOf(err)
	assert.Assert(t, found, "%v", err)
	assert.DeepEqual(t, *refusal, Refusal{Kind: RefusalExpired, Text: "no time is left", Outcome: retrier.NotRun, NothingSent: true})
	assert.Equal(t, runs.Load(), int32(1))
}

// TestSlowReader guards against a peer that takes from a server whatever a slow caller does
// not read, and against a slow caller whose hop counts as silent.
func TestSlowReader(t *testing.T) {
	const total = 32 << 20
	const held = 4 << 20
	var written atomic.Int64
	peer := serveDetours(t, func(_ context.Context, _ *Envelope, w *ResponseWriter) {
		w.WriteHead(Head{Status: http.StatusOK})
		part := []byte(strings.Repeat("x", 100_000))
		for written.Load() < total {
			if _, err := w.Write(part); !assert.Check(t, err) {
				return
			}
			written.Add(int64(len(part)))
		}
		w.End()
	})
	response, _, err := newTestClient(t).Do(t.Context(), peer, envelope())
	assert.NilError(t, err)
	defer response.Body.Close()
	time.Sleep(2 * defaultSilence)
	assert.Assert(t, written.Load() < held, "%d bytes are held", written.Load())
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, written.Load())
}

// TestReaderThatStops guards against a handler that waits for ever for a client that reads
// nothing: the request's time ends its writes.
func TestReaderThatStops(t *testing.T) {
	failed := make(chan struct{})
	peer := serveDetours(t, func(_ context.Context, _ *Envelope, w *ResponseWriter) {
		defer close(failed)
		w.WriteHead(Head{Status: http.StatusOK})
		part := make([]byte, maxDataBytes)
		for {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	e := envelope()
	e.Remaining = 300 * time.Millisecond
	response, _, err := newTestClient(t).Do(t.Context(), peer, e)
	assert.NilError(t, err)
	defer response.Body.Close()
	await(t, failed, e.Remaining+2*lastWriteTimeout)
}

// TestOversized guards against requests beyond the bounds that are sent, or that a peer
// takes; none has run.
func TestOversized(t *testing.T) {
	var runs atomic.Int32
	run := func(_ context.Context, e *Envelope, w *ResponseWriter) {
		runs.Add(1)
		answer(w, fmt.Sprint(len(e.Body)))
	}
	c := newTestClient(t)
	peer := serveDetours(t, run)
	e := envelope()
	e.Body = make([]byte, defaultMaxBodyBytes)
	response, _, err := c.Do(t.Context(), peer, e)
	assert.NilError(t, err)
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, string(got), fmt.Sprint(defaultMaxBodyBytes))

	e.Body = make([]byte, defaultMaxBodyBytes+1)
	_, _, err = c.Do(t.Context(), peer, e)
	assert.Equal(t, kindOf(t, err), KindTooLarge)
	e = envelope()
	e.Header.Set("X-Long", strings.Repeat("x", maxHeaderBytes+maxMetadataBytes))
	_, _, err = c.Do(t.Context(), peer, e)
	assert.Equal(t, kindOf(t, err), KindTooLarge)
	e = envelope()
	e.Target = "/a\r\nhost: other"
	_, _, err = c.Do(t.Context(), peer, e)
	assert.Equal(t, kindOf(t, err), KindMalformed)

	noMemory, _ := limitMemory(100 << 10)
	for kind, serve := range map[string]func() netip.AddrPort{
		RefusalTooLarge: func() netip.AddrPort { return serveDetours(t, run, WithMaxBody(1000)) },
		RefusalNoMemory: func() netip.AddrPort { return servePeer(t, noMemory, messenger.WithDetourHandler(NewHandler(run))) },
	} {
		for _, size := range []int{120 << 10, defaultMaxBodyBytes} {
			e = envelope()
			e.Body = make([]byte, size)
			_, _, err = c.Do(t.Context(), serve(), e)
			refusal, found := RefusalOf(err)
			assert.Assert(t, found, "%v", err)
			assert.Equal(t, refusal.Kind, kind)
			assert.Assert(t, refusal.Outcome == retrier.NotRun && refusal.NothingSent)
		}
	}
	assert.Equal(t, runs.Load(), int32(1))
}

// TestMemoryIsGivenBack guards against bodies that stay counted when their requests are over.
func TestMemoryIsGivenBack(t *testing.T) {
	option, limiter := limitMemory(1 << 20)
	peer := servePeer(t, option, messenger.WithDetourHandler(NewHandler(func(_ context.Context, e *Envelope, w *ResponseWriter) {
		assert.Check(t, limiter.MemoryUsed() >= int64(len(e.Body)))
		answer(w)
	})))
	for range 3 {
		_, err := exchange(t, newTestClient(t), peer)
		assert.NilError(t, err)
	}
	for began := time.Now(); limiter.MemoryUsed() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < patience, "%d bytes are in use", limiter.MemoryUsed())
	}
}

// TestMisuse guards against a response whose parts arrive in a wrong order.
func TestMisuse(t *testing.T) {
	peer := serveDetours(t, func(_ context.Context, _ *Envelope, w *ResponseWriter) {
		_, err := w.Write([]byte("x"))
		assert.Check(t, kindOf(t, err) == KindMisused)
		assert.Check(t, kindOf(t, w.End()) == KindMisused)
		answer(w, "x")
		assert.Check(t, kindOf(t, w.WriteHead(Head{})) == KindMisused)
		assert.Check(t, kindOf(t, w.End()) == KindMisused)
		assert.Check(t, kindOf(t, w.Refuse(Refusal{})) == KindMisused)
	})
	got, err := exchange(t, newTestClient(t), peer)
	assert.NilError(t, err)
	assert.Equal(t, got, "x")
}

// TestConnectionsAreReused guards against a handshake for every request, also after a
// refusal.
func TestConnectionsAreReused(t *testing.T) {
	var refuse atomic.Bool
	peer := serveDetours(t, func(_ context.Context, _ *Envelope, w *ResponseWriter) {
		if refuse.Load() {
			w.Refuse(Refusal{Kind: "no_server"})
			return
		}
		answer(w, "done")
	})
	var dials atomic.Int32
	pool := messenger.NewPool(messenger.Security{Token: testToken})
	c := NewClient(func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		dials.Add(1)
		return pool.DialDetour(ctx, address)
	})
	for i := range 20 {
		refuse.Store(i%2 == 1)
		_, err := exchange(t, c, peer)
		assert.Equal(t, err != nil, i%2 == 1)
		// The end of a response is read after its body was closed.
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, dials.Load(), int32(1))
}

// TestCallsBesideHops guards against control messages that wait behind the bodies and
// responses of requests.
func TestCallsBesideHops(t *testing.T) {
	const hops, bound = 64, 500 * time.Millisecond
	peer := serveDetours(t, func(ctx context.Context, _ *Envelope, w *ResponseWriter) {
		w.WriteHead(Head{Status: http.StatusOK})
		part := make([]byte, maxDataBytes)
		for ctx.Err() == nil {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	c := newTestClient(t)
	for range hops {
		response, _, err := c.Do(t.Context(), peer, envelope())
		assert.NilError(t, err)
		defer response.Body.Close()
	}
	pool := messenger.NewPool(messenger.Security{Token: testToken})
	for range 20 {
		began := time.Now()
		var reply string
		assert.NilError(t, pool.Call(t.Context(), peer, "Echo.Echo", "hello", &reply))
		assert.Assert(t, time.Since(began) < bound, "took %s", time.Since(began))
	}
}

// TestManyHops guards against responses that are mixed up between requests.
func TestManyHops(t *testing.T) {
	const hops = 64
	peer := serveDetours(t, func(_ context.Context, e *Envelope, w *ResponseWriter) {
		w.WriteHead(Head{Status: http.StatusOK})
		for i := range 35 {
			fmt.Fprintf(w, "%s %d\n", e.ID, i)
		}
		w.End()
	})
	c := newTestClient(t)
	results := make(chan error, hops)
	for i := range hops {
		go func() {
			e := envelope()
			e.ID = fmt.Sprint(i)
			response, _, err := c.Do(t.Context(), peer, e)
			if err != nil {
				results <- err
				return
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if lines := strings.Count(string(body), e.ID+" "); err == nil && lines < 35 {
				err = fmt.Errorf("%d lines of request %s", lines, e.ID)
			}
			results <- err
		}()
	}
	for range hops {
		assert.NilError(t, <-results)
	}
}
