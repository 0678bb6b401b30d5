package detourer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// RunFunc sends a request to a backend server and writes the response, which it ends with
// End or Refuse. Otherwise the client sees a broken response. The context ends when the
// client goes away or the request's time is up.
type RunFunc func(ctx context.Context, e *Envelope, w *ResponseWriter)

// handler serves the requests of peers.
type handler struct {
	run          RunFunc
	maxBodyBytes int
}

// HandlerOption changes a handler that is made.
type HandlerOption func(*handler)

// WithMaxBody bounds the body of a request that a handler takes.
func WithMaxBody(bytes int) HandlerOption { return func(h *handler) { h.maxBodyBytes = bytes } }

// NewHandler returns the handler of a server of detours.
func NewHandler(run RunFunc, options ...HandlerOption) http.Handler {
	h := &handler{run: run, maxBodyBytes: defaultMaxBodyBytes}
	for _, option := range options {
		option(h)
	}
	return h
}

// ServeHTTP implements [http.Handler].
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != requestPath {
		http.NotFound(w, r)
		return
	}
	control := http.NewResponseController(w)
	e, err := h.receive(r, control)
	if err != nil && !isRefusable(err) {
		panic(http.ErrAbortHandler)
	}
	out, openErr := openResponse(w, control)
	defer out.close()
	switch {
	case openErr != nil:
		panic(http.ErrAbortHandler)
	case err != nil:
		out.refuseUnsent(refusalKind(err), err.Error())
		return
	case e.Remaining <= 0:
		out.refuseUnsent(RefusalExpired, "no time is left")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), e.Remaining)
	defer cancel()
	stop := context.AfterFunc(ctx, out.limitWrites)
	h.run(ctx, e, out)
	// A connection with a deadline for writing can't be used again.
	if !stop() || !out.isEnded() {
		panic(http.ErrAbortHandler)
	}
}

// receive reads a request to its end. The client sends it once the first byte is awaited.
func (h *handler) receive(r *http.Request, control *http.ResponseController) (*Envelope, error) {
	if limit := int64(h.maxBodyBytes + maxEnvelopeBytes); r.ContentLength > limit {
		return nil, faulter.Newf("read request", KindTooLarge, "%d bytes; %d are allowed", r.ContentLength, limit)
	}
	if err := control.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return nil, err
	}
	e, err := readEnvelope(r.Body, h.maxBodyBytes)
	if err != nil && isRefusable(err) {
		// The rest is read so that the connection need not be closed, which could lose the
		// refusal. If it can't be read, neither can the refusal be written.
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if err != nil {
		return nil, err
	}
	return e, control.SetReadDeadline(time.Time{})
}

// readEnvelope reads the two frames of a request and the end after them. Memory for the
// body grows with what arrives.
func readEnvelope(r io.Reader, maxBodyBytes int) (*Envelope, error) {
	const op = "read request"
	length, err := readFrameOf(r, frameEnvelope, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	payload, err := readPayload(r, length)
	if err != nil {
		return nil, err
	}
	e, err := decodeEnvelope(payload)
	if err != nil {
		return nil, err
	}
	if length, err = readFrameOf(r, frameBody, maxBodyBytes); err != nil {
		return nil, err
	}
	e.Body, err = bounder.ReadAll(io.LimitReader(r, int64(length)), int64(length), nil)
	if err != nil {
		return nil, err
	}
	if len(e.Body) < length {
		return nil, io.ErrUnexpectedEOF
	}
	switch n, err := r.Read(make([]byte, 1)); {
	case n > 0:
		return nil, faulter.Newf(op, KindMalformed, "bytes after the body")
	case err != nil && err != io.EOF:
		return nil, err
	}
	return e, nil
}

// readFrameOf reads the header of a frame that must be of the given type.
func readFrameOf(r io.Reader, want frameType, maxBodyBytes int) (int, error) {
	t, length, err := readFrameHeader(r, maxBodyBytes)
	if err != nil {
		return 0, unexpected(err)
	}
	if t != want {
		return 0, faulter.Newf("read request", KindMalformed, "frame %s in place of %s", t, want)
	}
	return length, nil
}

// isRefusable reports whether it is the request that is wrong, or the memory that is used
// up, and not the connection.
func isRefusable(err error) bool {
	_, ours := faulter.KindOf[Kind](err)
	return ours || errors.HasType(err, (*server.Error)(nil))
}

// refusalKind returns the kind of the refusal of a request that could not be received.
func refusalKind(err error) string {
	switch kind, ours := faulter.KindOf[Kind](err); {
	case ours && kind == KindTooLarge:
		return RefusalTooLarge
	case ours:
		return RefusalMalformed
	}
	return RefusalNoMemory
}

// refuseUnsent refuses a request of which nothing was sent to a server.
func (w *ResponseWriter) refuseUnsent(kind, text string) {
	err := w.Refuse(Refusal{Kind: kind, Text: text, Outcome: retrier.NotRun, NothingSent: true})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
