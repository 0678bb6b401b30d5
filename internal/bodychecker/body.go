// Package bodychecker provides a request body that checks, immediately before
// it is sent, whether the request may still be sent. It also reports whether any
// of the body may have been sent.
//
// # Usage
//
//	body := bodychecker.New(data, func() bool { return mayBeSent() })
//	request.Body = body
//	...
//	if !body.Sent() { the backend server cannot have started the request }
package bodychecker

import (
	"bytes"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrNotAllowed says that the request was no longer allowed when it was about to
// be sent.
var ErrNotAllowed = errors.New("request is no longer allowed to be sent")

// Body is a request body that repeats the check when its first byte is about to
// be sent. If the body was never read, the backend server cannot have started
// the request. It cannot be rewound, so that an [net/http.Transport] never sends
// it again by itself.
type Body struct {
	reader  *bytes.Reader
	allowed func() bool
	sent    atomic.Bool
}

// New returns a body with the content data that is sent only if allowed returns
// true.
func New(data []byte, allowed func() bool) *Body {
	return &Body{reader: bytes.NewReader(data), allowed: allowed}
}

// Check reports whether the request may be sent now, and if so marks it as sent.
// It is for requests with an empty body, which transports never read, and for callers that
// see when the header is about to be written.
func (b *Body) Check() bool {
	if !b.allowed() {
		return false
	}
	b.sent.Store(true)
	return true
}

// Retract records that nothing of the request has been written after all.
func (b *Body) Retract() { b.sent.Store(false) }

// Sent reports whether any of the request may have been sent.
func (b *Body) Sent() bool { return b.sent.Load() }

// Read implements [io.Reader]. It returns [ErrNotAllowed] if the request may not
// be sent any more; later reads are not checked again.
func (b *Body) Read(p []byte) (int, error) {
	if !b.sent.Load() && !b.Check() {
		return 0, ErrNotAllowed
	}
	return b.reader.Read(p)
}

// Close implements [io.Closer]; it does nothing.
func (b *Body) Close() error { return nil }
