package bodychecker

import (
	"io"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestGatedBody closes the gate before and after the first byte of a body. A
// body whose gate is closed before counts as never sent.
func TestGatedBody(t *testing.T) {
	var open atomic.Bool
	body := New([]byte("body"), open.Load)
	_, err := body.Read(make([]byte, 2))
	assert.Equal(t, err, ErrNotAllowed)
	assert.Assert(t, !body.Sent())

	open.Store(true)
	n, err := body.Read(make([]byte, 2))
	assert.NilError(t, err)
	assert.Equal(t, n, 2)
	assert.Assert(t, body.Sent())

	open.Store(false)
	rest, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "dy")
}
