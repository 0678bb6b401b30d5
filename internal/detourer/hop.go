package detourer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// hop is one request at a peer. It is the body of the response. Read is not safe for
// concurrent use; Close may be called during it.
type hop struct {
	cancel  context.CancelFunc
	watch   *watchdog
	request *requestBody
	body    io.ReadCloser
	reader  *bufio.Reader

	// left is what is still to be read of a data frame.
	left int
	// err is the result of Read once there is nothing more to read.
	err error
	// ended says that the peer has ended the response, so that the connection can be
	// used again.
	ended  atomic.Bool
	closed sync.Once
}

// readHead reads the response up to its head.
func (h *hop) readHead() (Head, error) {
	t, payload, err := h.nextFrame()
	if err != nil {
		return Head{}, h.classify(err)
	}
	if t != frameHead {
		return Head{}, h.classify(faulter.Newf("read head", KindMalformed, "frame %s", t))
	}
	head, err := decodeHead(payload)
	if err != nil {
		return Head{}, h.classify(err)
	}
	return head, nil
}

// nextFrame returns the next frame that is not a keep-alive, with its payload unless it is
// data. A refusal is an error.
func (h *hop) nextFrame() (frameType, []byte, error) {
	for {
		t, length, err := readFrameHeader(h.reader, 0)
		if err != nil {
			return 0, nil, unexpected(err)
		}
		switch t {
		case frameKeepAlive:
			continue
		case frameData:
			h.left = length
			return t, nil, nil
		case frameEnd:
			h.ended.Store(true)
			return t, nil, nil
		}
		payload, err := readPayload(h.reader, length)
		if err != nil || t != frameRefusal {
			return t, payload, err
		}
		refusal, err := decodeRefusal(payload)
		if err != nil {
			return t, nil, err
		}
		h.ended.Store(true)
		return t, nil, faulter.New("hand over request", KindRefused, refusal)
	}
}

// Read implements [io.Reader].
func (h *hop) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for h.left == 0 && h.err == nil {
		h.err = h.advance()
	}
	if h.err != nil {
		return 0, h.err
	}
	n, err := h.reader.Read(p[:min(len(p), h.left)])
	h.left -= n
	if err != nil {
		h.left = 0
		h.err = h.classify(unexpected(err))
		if n == 0 {
			return 0, h.err
		}
	}
	return n, nil
}

// advance reads up to the next data. It returns io.EOF at the end of the response.
func (h *hop) advance() error {
	t, _, err := h.nextFrame()
	switch {
	case err != nil:
		return h.classify(err)
	case t == frameData:
		return nil
	case t == frameEnd:
		return io.EOF
	}
	return h.classify(faulter.Newf("read response", KindMalformed, "frame %s", t))
}

// Close implements [io.Closer]. It ends the work at the peer if the response has not ended.
func (h *hop) Close() error {
	h.closed.Do(func() {
		if h.ended.Load() {
			go h.runDrain()
			return
		}
		h.watch.stop()
		h.cancel()
	})
	return nil
}

// runDrain reads the end of the HTTP response, so that its connection is kept.
func (h *hop) runDrain() {
	defer h.cancel()
	defer h.watch.stop()
	// On an error, the transport closes the connection.
	_, _ = io.CopyN(io.Discard, h.reader, 1)
	_ = h.body.Close()
}

// requestBody yields a request once. It cannot be read again, so that the transport never
// sends a request twice.
type requestBody struct {
	watch *watchdog

	mu     sync.Mutex
	reader io.Reader
	// left is the number of bytes that have not been read.
	left   int
	sealed bool
}

func newRequestBody(e *encodedRequest, watch *watchdog) *requestBody {
	reader := io.MultiReader(bytes.NewReader(e.head), bytes.NewReader(e.body))
	return &requestBody{watch: watch, reader: reader, left: e.size()}
}

// Read implements [io.Reader].
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return 0, io.ErrClosedPipe
	}
	if b.left == 0 {
		return 0, io.EOF
	}
	// At the end of the request, the response may have been read already.
	b.watch.arm()
	n, err := b.reader.Read(p)
	b.left -= n
	return n, err
}

// Close implements [io.Closer].
func (b *requestBody) Close() error { return nil }

// seal stops the reading, and reports whether a part of the request is still unread: the
// peer cannot have run it then.
func (b *requestBody) seal() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = b.sealed || b.left > 0
	return b.sealed
}
