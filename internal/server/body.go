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
	// growthCopies is how many times a body that grows is kept: a buffer that is full is
	// copied into one of twice its size.
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
	now := time.Now()
	b.arrived += int64(n)
	if n > 0 {
		b.claim.Advance(now, int64(n))
	}
	if err == io.EOF {
		b.claim.Complete()
	}
	copies := b.limiter.BodyCopies
	if err != io.EOF {
		copies = max(copies, growthCopies)
	}
	if takeErr := b.take(now, copies); takeErr != nil {
		err = takeErr
	} else if errors.Is(err, os.ErrDeadlineExceeded) && b.request.Context().Err() == nil {
		b.limiter.count(reasonBodyTimeout)
		err = faulter.New("read request", KindTooSlow, err)
	}
	if err != nil && err != io.EOF {
		b.endConnection()
	}
	b.err = err
	return n, err
}

// endConnection says that the connection ends with the response, since the rest of the body is
// not read.
func (b *body) endConnection() {
	b.ended = true
	b.writer.Header().Set("Connection", "close")
}

// take takes the memory for so many copies of what has arrived. Its error is of type *[Error].
func (b *body) take(now time.Time, copies int64) error {
	victims, err := b.claim.Resize(now, b.fixed+copies*b.arrived)
	b.limiter.evict(victims)
	kind, failed := faulter.KindOf[reclaimer.Kind](err)
	switch {
	case !failed:
		return nil
	case kind == reclaimer.KindReclaimed:
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
		endConnection(r)
		return nil, faulter.Newf(op, KindTooLarge, "%d bytes are announced; %d are allowed", r.ContentLength, limit)
	}
	if r.ContentLength >= 0 {
		limit = r.ContentLength
	}
	data, err := bounder.ReadAll(r.Body, limit, nil)
	if kind, found := faulter.KindOf[bounder.Kind](err); found && kind == bounder.KindTooLong {
		endConnection(r)
		return nil, faulter.New(op, KindTooLarge, err)
	}
	if err != nil {
		return nil, err
	}
	if cap(data)-len(data) > len(data)/wasteDivisor {
		data = bytes.Clone(data)
	}
	return data, nil
}

// endConnection says that the connection of a request ends with its response.
func endConnection(r *http.Request) {
	if b, limited := r.Body.(*body); limited {
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
