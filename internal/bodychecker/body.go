// Package bodychecker holds back the body of a request until the moment of sending,
// and tells whether any of it left.
//
// # Usage
//
//	body := bodychecker.New(data, func() bool { return stillOpen() })
//	request.Body = body
//	...
//	if !body.Sent() { the back end cannot have begun }
package bodychecker

import (
	"bytes"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrNotAllowed says that the gate closed before the request was sent.
var ErrNotAllowed = errors.New("the gate closed before the request was sent")

// Body is a request body that asks the gate again at the moment at which its
// first byte is about to leave. A body that was never read proves that the
// back end cannot have begun. It has no way to be read twice, so that a
// transport can never send it again by itself.
type Body struct {
	reader  *bytes.Reader
	allowed func() bool
	sent    atomic.Bool
}

// New returns the body with that content and gate.
func New(data []byte, allowed func() bool) *Body {
	return &Body{reader: bytes.NewReader(data), allowed: allowed}
}

// Check asks the gate now, for a request without a body.
func (b *Body) Check() bool {
	if !b.allowed() {
		return false
	}
	b.sent.Store(true)
	return true
}

// Sent reports whether anything may have left.
func (b *Body) Sent() bool { return b.sent.Load() }

// Read implements [io.Reader].
func (b *Body) Read(p []byte) (int, error) {
	if !b.sent.Load() && !b.Check() {
		return 0, ErrNotAllowed
	}
	return b.reader.Read(p)
}

// Close implements [io.Closer].
func (b *Body) Close() error { return nil }
