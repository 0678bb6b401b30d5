package detourer

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
)

const (
	benchEvents     = 35
	benchEventBytes = 65
	benchStreams    = 64
	// benchPace is the time between two events of a stream.
	benchPace = 10 * time.Millisecond
	// callsBuffer is what a stream over calls holds for its reader.
	callsBuffer = 64 << 10
)

// wire is a way to get a stream from a peer. Open returns when the head has arrived.
type wire interface {
	open(ctx context.Context, e *Envelope) (io.ReadCloser, error)
}

// source writes a stream at the peer.
type source func(write func([]byte) error)

// countedBytes counts what goes over the connections of a benchmark, in both directions.
type countedBytes struct{ atomic.Int64 }

type countedConn struct {
	*net.TCPConn
	bytes *countedBytes
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countedListener counts at the peer, since a pool makes its connections itself.
type countedListener struct {
	net.Listener
	bytes *countedBytes
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{TCPConn: conn.(*net.TCPConn), bytes: l.bytes}, nil
}

// frames is the wire of this package.
type frames struct {
	client *Client
	peer   netip.AddrPort
}

func (f *frames) open(ctx context.Context, e *Envelope) (io.ReadCloser, error) {
	response, _, err := f.client.Do(ctx, f.peer, e)
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}

// Calls is the receiver of a wire of RPC calls that fetch the next events.
type Calls struct {
	source  source
	mu      sync.Mutex
	last    uint64
	streams map[uint64]*callStream
}

// callStream holds what a stream's reader has not fetched.
type callStream struct {
	mu     sync.Mutex
	change *sync.Cond
	data   []byte
	ended  bool
}

// BeginReply begins a response.
type BeginReply struct {
	Stream uint64
	Head   Head
}

// NextReply is the next part of a response.
type NextReply struct {
	Data []byte
	End  bool
}

// Begin starts a request.
func (c *Calls) Begin(_ *Envelope, reply *BeginReply) error {
	s := &callStream{}
	s.change = sync.NewCond(&s.mu)
	c.mu.Lock()
	c.last++
	reply.Stream = c.last
	c.streams[c.last] = s
	c.mu.Unlock()
	reply.Head = Head{Status: http.StatusOK, Delimited: true, Stream: true}
	go c.runSource(s)
	return nil
}

func (c *Calls) runSource(s *callStream) {
	c.source(s.write)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.change.Broadcast()
}

func (s *callStream) write(event []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.data)+len(event) > callsBuffer && !s.ended {
		s.change.Wait()
	}
	if s.ended {
		return io.ErrClosedPipe
	}
	s.data = append(s.data, event...)
	s.change.Broadcast()
	return nil
}

// Next waits for the next part of a response.
func (c *Calls) Next(stream uint64, reply *NextReply) error {
	c.mu.Lock()
	s := c.streams[stream]
	c.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.data) == 0 && !s.ended {
		s.change.Wait()
	}
	reply.Data, s.data = s.data, nil
	reply.End = s.ended
	s.change.Broadcast()
	if reply.End {
		c.mu.Lock()
		delete(c.streams, stream)
		c.mu.Unlock()
	}
	return nil
}

// Cancel ends a request.
func (c *Calls) Cancel(stream uint64, _ *messenger.Empty) error {
	c.mu.Lock()
	s := c.streams[stream]
	delete(c.streams, stream)
	c.mu.Unlock()
	if s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended = true
		s.change.Broadcast()
	}
	return nil
}

// Ping responds at once.
func (c *Calls) Ping(_ *messenger.Empty, _ *messenger.Empty) error { return nil }

// calls is the wire of RPC calls.
type calls struct {
	pool *messenger.Pool
	peer netip.AddrPort
}

type callReader struct {
	*calls
	ctx    context.Context
	stream uint64
	rest   []byte
	ended  bool
}

func (c *calls) open(ctx context.Context, e *Envelope) (io.ReadCloser, error) {
	var reply BeginReply
	if err := c.pool.Call(ctx, c.peer, "Calls.Begin", e, &reply); err != nil {
		return nil, err
	}
	return &callReader{calls: c, ctx: ctx, stream: reply.Stream}, nil
}

func (r *callReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		var reply NextReply
		if err := r.pool.Call(r.ctx, r.peer, "Calls.Next", r.stream, &reply); err != nil {
			return 0, err
		}
		r.rest, r.ended = reply.Data, reply.End
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *callReader) Close() error {
	if r.ended {
		return nil
	}
	return r.pool.Call(r.ctx, r.peer, "Calls.Cancel", r.stream, &messenger.Empty{})
}

// newWires starts a peer that offers both ways, over a path with a latency in each direction.
func newWires(b testing.TB, run source, latency time.Duration) (map[string]wire, *countedBytes) {
	b.Helper()
	handler := NewHandler(func(_ context.Context, _ *Envelope, w *ResponseWriter) {
		w.WriteHead(Head{Status: http.StatusOK, Delimited: true, Stream: true})
		run(func(event []byte) error {
			_, err := w.Write(event)
			return err
		})
		w.End()
	})
	receiver := &Calls{source: run, streams: make(map[uint64]*callStream)}
	server, err := messenger.NewServer(messenger.Security{Token: testToken}, "Calls", receiver, rand.Read, messenger.WithDetourHandler(handler))
	assert.NilError(b, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	counted := &countedBytes{}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go server.Serve(ctx, &countedListener{Listener: listener, bytes: counted})
	pool := messenger.NewPool(messenger.Security{Token: testToken})
	b.Cleanup(pool.Close)
	peer := addressOf(listener)
	if latency > 0 {
		peer = delayed(b, peer, latency)
	}
	return map[string]wire{
		"frames": &frames{client: newTestClient(b), peer: peer},
		"calls":  &calls{pool: pool, peer: peer},
	}, counted
}

// delayed returns the address of a path to a peer that takes some time in each direction.
func delayed(b testing.TB, peer netip.AddrPort, latency time.Duration) netip.AddrPort {
	b.Helper()
	control := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(control, "peer", "127.0.0.1:0", peer.String())
	assert.NilError(b, proxy.Start())
	b.Cleanup(proxy.Stop)
	for _, stream := range []string{"upstream", "downstream"} {
		toxic := fmt.Sprintf(`{"type":"latency","stream":%q,"attributes":{"latency":%d}}`, stream, latency.Milliseconds())
		_, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
		assert.NilError(b, err)
	}
	return netip.MustParseAddrPort(proxy.Listen)
}

// paced writes a stream of events at even intervals.
func paced(write func([]byte) error) {
	event := []byte(fmt.Sprintf("data: %*s\n\n", benchEventBytes-len("data: \n\n"), "x"))
	for i := range benchEvents {
		if i > 0 {
			time.Sleep(benchPace)
		}
		if write(event) != nil {
			return
		}
	}
}

// processorTime returns what this process, both ends of the wire, has used.
func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFirstEvent measures the time from the request to the first event of one stream
// at a time.
func BenchmarkFirstEvent(b *testing.B) {
	for _, latency := range []time.Duration{0, 5 * time.Millisecond} {
		wires, _ := newWires(b, func(write func([]byte) error) { write(make([]byte, benchEventBytes)) }, latency)
		for _, name := range []string{"frames", "calls"} {
			b.Run(fmt.Sprintf("%s/%s", name, latency), func(b *testing.B) { measureFirstEvent(b, wires[name]) })
		}
	}
}

func measureFirstEvent(b *testing.B, w wire) {
	var times []time.Duration
	event := make([]byte, benchEventBytes)
	for b.Loop() {
		began := time.Now()
		body, err := w.open(b.Context(), envelope())
		assert.NilError(b, err)
		_, err = io.ReadFull(body, event)
		assert.NilError(b, err)
		times = append(times, time.Since(began))
		_, err = io.Copy(io.Discard, body)
		assert.NilError(b, err)
		assert.NilError(b, body.Close())
	}
	reportTimes(b, times)
}

func reportTimes(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "median-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkCallBesideBodies measures a control message to a peer that is sent requests with
// large bodies at the same time, two at once.
func BenchmarkCallBesideBodies(b *testing.B) {
	wires, _ := newWires(b, func(write func([]byte) error) { write(make([]byte, benchEventBytes)) }, 0)
	control := wires["calls"].(*calls)
	for _, name := range []string{"frames", "calls"} {
		b.Run(name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			var group sync.WaitGroup
			for range 2 {
				group.Go(func() {
					e := envelope()
					e.Body = make([]byte, defaultMaxBodyBytes/2)
					for ctx.Err() == nil {
						body, err := wires[name].open(b.Context(), e)
						if !assert.Check(b, err) {
							return
						}
						_, err = io.Copy(io.Discard, body)
						assert.Check(b, err)
						body.Close()
					}
				})
			}
			var times []time.Duration
			for b.Loop() {
				began := time.Now()
				err := control.pool.Call(b.Context(), control.peer, "Calls.Ping", &messenger.Empty{}, &messenger.Empty{})
				times = append(times, time.Since(began))
				assert.NilError(b, err)
				time.Sleep(time.Millisecond)
			}
			cancel()
			group.Wait()
			reportTimes(b, times)
		})
	}
}

// BenchmarkStreams measures streams side by side: bytes on the wire, and the processor time
// of both ends.
func BenchmarkStreams(b *testing.B) {
	wires, counted := newWires(b, paced, 0)
	for _, name := range []string{"frames", "calls"} {
		b.Run(name, func(b *testing.B) {
			before, bytesBefore, streams := processorTime(b), counted.Load(), 0
			for b.Loop() {
				var group sync.WaitGroup
				for range benchStreams {
					group.Go(func() {
						body, err := wires[name].open(b.Context(), envelope())
						assert.Check(b, err)
						n, err := io.Copy(io.Discard, body)
						assert.Check(b, err)
						assert.Check(b, n == benchEvents*benchEventBytes)
						assert.Check(b, body.Close())
					})
				}
				group.Wait()
				streams += benchStreams
			}
			used := processorTime(b) - before
			b.ReportMetric(float64(used.Microseconds())/float64(streams), "cpu-µs/stream")
			b.ReportMetric(float64(counted.Load()-bytesBefore)/float64(streams*benchEvents), "wire-B/event")
		})
	}
}

// BenchmarkSlowReader measures how much a peer gets rid of while nobody reads.
func BenchmarkSlowReader(b *testing.B) {
	var written atomic.Int64
	wires, _ := newWires(b, func(write func([]byte) error) {
		part := make([]byte, 4<<10)
		for write(part) == nil {
			written.Add(int64(len(part)))
		}
	}, 0)
	for _, name := range []string{"frames", "calls"} {
		b.Run(name, func(b *testing.B) {
			var held int64
			rounds := 0
			for b.Loop() {
				written.Store(0)
				ctx, cancel := context.WithCancel(b.Context())
				body, err := wires[name].open(ctx, envelope())
				assert.NilError(b, err)
				time.Sleep(300 * time.Millisecond)
				held += written.Load()
				rounds++
				assert.NilError(b, body.Close())
				cancel()
				time.Sleep(50 * time.Millisecond)
			}
			b.ReportMetric(float64(held)/float64(rounds)/1024, "held-KiB")
		})
	}
}
