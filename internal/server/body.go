package server

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/reclaimer"
)

const (
	// growthCopies is how many times a body is counted that its handler reads by itself, into
	// buffers of which nothing is known.
	growthCopies = 2
	// lingerTimeout is how long the rest of a refused body is read, so that a client that
	// still sends it gets the response and not a reset connection.
	lingerTimeout = time.Second
	// wasteDivisor is the ratio of a body to the largest part of its buffer that may be unused.
	wasteDivisor = 4
)

// body is the body of a request whose bytes are taken from a Limiter's memory.
type body struct {
	io.ReadCloser
	limiter *Limiter
	claim   *reclaimer.Claim[evictee]
	request *http.Request
	writer  http.ResponseWriter
	control *http.ResponseController

	// fixed is what the request takes beside its body, and arrived what has arrived of it.
	fixed, arrived int64
	// buffered says that ReadBody counts the buffer.
	buffered bool
	// err is the first error of reading.
	err error
	// ended says that the request is refused and the connection ends with the response.
	ended bool

	mu sync.Mutex
	// finished says that the handler has returned, so that the connection may have another
	// request.
	finished bool
}

func newBody(l *Limiter, c *conn, w http.ResponseWriter, r *http.Request) *body {
	b := &body{ReadCloser: r.Body, limiter: l, request: r, writer: w, control: http.NewResponseController(w)}
	b.claim = c.slot.NewClaim(time.Now(), b)
	return b
}

// Read implements [io.Reader]. What has arrived is taken from the memory for requests.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	b.arrived += int64(n)
	var memoryErr error
	if n > 0 {
		b.claim.Advance(time.Now(), int64(n))
		if !b.buffered {
			memoryErr = b.Resize(growthCopies * b.arrived)
		}
	}
	switch {
	case memoryErr != nil:
		err = memoryErr
	case err == io.EOF:
		b.claim.Complete()
	case err != nil:
		err = b.classify(err)
		b.endConnection()
	}
	b.err = err
	return n, err
}

// classify returns the error of a read that failed.
func (b *body) classify(err error) error {
	switch {
	case b.claim.Reclaimed():
		return faulter.New("read request", KindTooSlow, err)
	case errors.Is(err, os.ErrDeadlineExceeded) && b.request.Context().Err() == nil:
		b.limiter.count(reasonBodyTimeout)
		return faulter.New("read request", KindTooSlow, err)
	}
	return err
}

// endConnection says that the connection ends with the response, since the rest of the body is
// not read.
func (b *body) endConnection() {
	b.ended = true
	closeAfterResponse(b.writer, b.request)
}

// closeAfterResponse closes the connection of a request after its response, unless it carries
// other requests as well.
func closeAfterResponse(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}

// Resize implements [bounder.Resizer]: it takes the memory for a buffer of that size, and for
// its copies. Its error is of type *[Error].
func (b *body) Resize(size int64) error {
	victims, err := b.claim.Resize(time.Now(), b.fixed+b.limiter.BodyCopies*size)
	b.limiter.evict(victims)
	kind, failed := faulter.KindOf[reclaimer.Kind](err)
	if !failed {
		return nil
	}
	b.endConnection()
	if kind == reclaimer.KindReclaimed {
		return faulter.New("read request", KindTooSlow, err)
	}
	b.limiter.count(reasonNoMemory)
	return faulter.New("read request", KindNoMemory, err)
}

// ReadBody reads the whole body of a request, of at most limit bytes. One that is announced to
// be longer is not read at all.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	const op = "read request"
	if r.ContentLength > limit {
		refuseTooLong(r)
		return nil, faulter.Newf(op, KindTooLarge, "%d bytes are announced; %d are allowed", r.ContentLength, limit)
	}
	if r.ContentLength >= 0 {
		limit = r.ContentLength
	}
	var memory bounder.Resizer
	if b, limited := r.Body.(*body); limited {
		b.buffered = true
		memory = b
	}
	data, err := bounder.ReadAll(r.Body, limit, memory)
	if kind, found := faulter.KindOf[bounder.Kind](err); found && kind == bounder.KindTooLong {
		refuseTooLong(r)
		return nil, faulter.New(op, KindTooLarge, err)
	}
	if err != nil {
		return nil, err
	}
	if cap(data)-len(data) > len(data)/wasteDivisor {
		data = bytes.Clone(data)
		if memory != nil {
			return data, memory.Resize(int64(len(data)))
		}
	}
	return data, nil
}

// refuseTooLong counts a body over its limit, and says that the connection ends with the response.
func refuseTooLong(r *http.Request) {
	if b, limited := r.Body.(*body); limited {
		b.limiter.count(reasonBodyTooLong)
		b.endConnection()
	}
}

// evict implements evictee: it ends a read in progress.
func (b *body) evict() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.finished {
		// It fails only on a connection that is closed, where reading ends too.
		_ = b.control.SetReadDeadline(time.Now())
	}
}

// finish gives the memory back once the handler has returned.
func (b *body) finish() {
	b.claim.Close()
	b.mu.Lock()
	b.finished = true
	b.mu.Unlock()
	if b.err == io.EOF || b.ReadCloser == nil || b.ReadCloser == http.NoBody {
		return
	}
	// Both fail only on a connection that is closed.
	_ = b.control.SetReadDeadline(time.Now().Add(lingerTimeout))
	if b.ended && b.request.ProtoMajor == 1 && !b.awaitsContinue() {
		_ = b.control.Flush()
		_, _ = io.Copy(io.Discard, b.ReadCloser)
	}
}

// awaitsContinue reports whether the client sends the body only when it is asked to, and has
// not been.
func (b *body) awaitsContinue() bool { return b.request.Header.Get("Expect") != "" && b.arrived == 0 }
