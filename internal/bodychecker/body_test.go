package bodychecker

import (
	"io"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRetractedCheckRunsAgain guards against a request that counts as sent because a
// connection was found broken when its first byte was to be written.
func TestRetractedCheckRunsAgain(t *testing.T) {
	var allowed atomic.Bool
	allowed.Store(true)
	body := New(nil, allowed.Load)
	assert.Assert(t, body.Check() && body.Sent())
	body.Retract()
	assert.Assert(t, !body.Sent())
	allowed.Store(false)
	assert.Assert(t, !body.Check() && !body.Sent())
}

// TestBody withdraws the permission before and after the first byte of a body. A
// body that is not allowed before its first byte counts as never sent; one that
// is not allowed any more after it is still read to its end.
func TestBody(t *testing.T) {
	var allowed atomic.Bool
	body := New([]byte("body"), allowed.Load)
	_, err := body.Read(make([]byte, 2))
	assert.Equal(t, err, ErrNotAllowed)
	assert.Assert(t, !body.Sent())

	allowed.Store(true)
	n, err := body.Read(make([]byte, 2))
	assert.NilError(t, err)
	assert.Equal(t, n, 2)
	assert.Assert(t, body.Sent())

	allowed.Store(false)
	rest, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "dy")
}
