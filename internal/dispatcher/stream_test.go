package dispatcher

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReadLine reads lines that are shorter, as long and longer than the
// reader's buffer, and a last one that breaks off.
func TestReadLine(t *testing.T) {
	lines := []string{"short\n"}
	for _, length := range []int{streamBuffer - 1, streamBuffer, 5 * streamBuffer} {
		lines = append(lines, strings.Repeat("x", length)+"\n")
	}
	reader := bufio.NewReaderSize(strings.NewReader(strings.Join(lines, "")+"broken"), streamBuffer)
	for _, want := range lines {
		got, err := readLine(reader)
		assert.NilError(t, err)
		assert.Equal(t, string(got), want)
	}
	_, err := readLine(reader)
	assert.Equal(t, err, io.EOF)
}

// TestGatedBody closes the gate before and after the first byte of a body. A
// body whose gate is closed before counts as never sent.
func TestGatedBody(t *testing.T) {
	var open, sent atomic.Bool
	body := &gatedBody{reader: bytes.NewReader([]byte("body")), open: open.Load, sent: &sent}
	_, err := body.Read(make([]byte, 2))
	assert.Equal(t, err, errGateClosed)
	assert.Assert(t, !sent.Load())

	open.Store(true)
	n, err := body.Read(make([]byte, 2))
	assert.NilError(t, err)
	assert.Equal(t, n, 2)
	assert.Assert(t, sent.Load())

	open.Store(false)
	rest, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "dy")
}
