package detourer

import (
	"net/http"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// ResponseWriter writes the response to one request. While it is open, it sends
// keep-alives. Writes wait for a client that reads slowly, but not for more than 500 ms
// after the request's context has ended. It is safe for concurrent use.
type ResponseWriter struct {
	http    http.ResponseWriter
	control *http.ResponseController

	// mu is held while a frame is written.
	mu        sync.Mutex
	keepAlive *time.Timer
	headSent  bool
	ended     bool
	closed    bool
}

// openResponse sends the HTTP header and a first keep-alive.
func openResponse(w http.ResponseWriter, control *http.ResponseController) (*ResponseWriter, error) {
	header := w.Header()
	header.Set("Content-Type", contentType)
	header["Date"] = nil
	out := &ResponseWriter{http: w, control: control}
	w.WriteHeader(http.StatusOK)
	out.mu.Lock()
	defer out.mu.Unlock()
	out.keepAlive = time.AfterFunc(keepAliveInterval, out.runKeepAlive)
	return out, out.writeFrame(frameKeepAlive, nil)
}

// WriteHead begins the response of a backend server. A head that cannot be sent unchanged,
// or is too large, is an error of [KindMalformed] or [KindTooLarge] and sends nothing.
func (w *ResponseWriter) WriteHead(head Head) error {
	payload, err := head.encode()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.headSent || w.ended {
		return faulter.Newf("write head", KindMisused, "the response has begun already")
	}
	w.headSent = true
	return w.writeFrame(frameHead, payload)
}

// Write sends bytes of the response at once. Up to 64 KiB arrive as one frame.
func (w *ResponseWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.headSent || w.ended {
		return 0, faulter.Newf("write data", KindMisused, "the response is not open")
	}
	written := 0
	for written < len(p) {
		part := p[written:min(written+maxDataBytes, len(p))]
		if err := w.writeFrame(frameData, part); err != nil {
			return written, err
		}
		written += len(part)
	}
	return written, nil
}

// End says that the response is complete.
func (w *ResponseWriter) End() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.headSent || w.ended {
		return faulter.Newf("end response", KindMisused, "the response is not open")
	}
	w.ended = true
	return w.writeFrame(frameEnd, nil)
}

// Refuse ends the response, or the request without one, with the reason.
func (w *ResponseWriter) Refuse(refusal Refusal) error {
	payload, err := refusal.encode()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return faulter.Newf("refuse", KindMisused, "the response has ended already")
	}
	w.ended = true
	return w.writeFrame(frameRefusal, payload)
}

// writeFrame writes and flushes a frame. The caller holds mu.
func (w *ResponseWriter) writeFrame(t frameType, payload []byte) error {
	if w.closed {
		return faulter.Newf("write frame", KindMisused, "the request is over")
	}
	header := frameHeader(t, len(payload))
	if _, err := w.http.Write(header[:]); err != nil {
		return faulter.New("write frame", KindBroken, err)
	}
	if len(payload) > 0 {
		if _, err := w.http.Write(payload); err != nil {
			return faulter.New("write frame", KindBroken, err)
		}
	}
	if err := w.control.Flush(); err != nil {
		return faulter.New("write frame", KindBroken, err)
	}
	if !w.ended {
		w.keepAlive.Reset(keepAliveInterval)
	}
	return nil
}

// runKeepAlive sends a keep-alive. After a failure nothing more is sent; the request's
// context ends by itself.
func (w *ResponseWriter) runKeepAlive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && !w.closed {
		_ = w.writeFrame(frameKeepAlive, nil)
	}
}

// limitWrites bounds the time for which writes wait for a client that does not read.
func (w *ResponseWriter) limitWrites() { w.setWriteDeadline(time.Now().Add(lastWriteTimeout)) }

// setWriteDeadline fails only on a connection that is closed, where writes fail too.
func (w *ResponseWriter) setWriteDeadline(at time.Time) { _ = w.control.SetWriteDeadline(at) }

func (w *ResponseWriter) isEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// close makes sure that nothing is written any more.
func (w *ResponseWriter) close() {
	// A keep-alive that waits for a client that does not read must not keep the request.
	limit := time.AfterFunc(lastWriteTimeout, func() { w.setWriteDeadline(time.Now()) })
	defer limit.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.keepAlive.Stop()
}
