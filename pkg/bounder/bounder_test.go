package bounder

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// endless is a response that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func kindOf(t *testing.T, err error) Kind {
	t.Helper()
	kind, found := faulter.KindOf[Kind](err)
	assert.Assert(t, found, "%v", err)
	return kind
}

// TestReadAll guards against a response that is cut, or read beyond its limit.
func TestReadAll(t *testing.T) {
	for _, length := range []int{0, 1, firstRead - 1, firstRead, firstRead + 1, 70_000} {
		text := strings.Repeat("x", length)
		budget := NewBudget(1 << 20)
		share := budget.Open()
		for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
			data, err := ReadAll(r, int64(length), share)
			assert.NilError(t, err)
			assert.Equal(t, string(data), text)
		}
		assert.Assert(t, budget.Used() >= int64(length))
		share.Close()
		share.Close()
		assert.Equal(t, budget.Used(), int64(0))
		if length > 0 {
			_, err := ReadAll(strings.NewReader(text), int64(length)-1, nil)
			assert.Equal(t, kindOf(t, err), KindTooLong)
		}
	}
	_, err := ReadAll(iotest.TimeoutReader(bytes.NewReader(make([]byte, 9000))), 1<<20, nil)
	assert.Equal(t, err, iotest.ErrTimeout)
}

// TestBudget guards against endless responses that take more memory together than the
// process has: the response that grows gives way, and others go on.
func TestBudget(t *testing.T) {
	budget := NewBudget(64 << 10)
	kept := budget.Open()
	assert.NilError(t, kept.Resize(20<<10))
	growing := budget.Open()
	_, err := ReadAll(endless{}, 1<<30, growing)
	assert.Equal(t, kindOf(t, err), KindNoMemory)
	assert.Assert(t, budget.Used() <= 64<<10)
	growing.Close()
	assert.Equal(t, budget.Used(), int64(20<<10))
	assert.NilError(t, kept.Resize(60<<10))
	assert.NilError(t, kept.Resize(1<<10))
}

// TestSmallResponsesBesideEndlessOnes guards against endless responses that take the whole
// budget: the answer of a sound server, which has run the request, was lost.
func TestSmallResponsesBesideEndlessOnes(t *testing.T) {
	const capacity = 23 << 20
	budget := NewBudget(capacity)
	fill := func(size int64) {
		for err := error(nil); err == nil; {
			err = budget.Open().Resize(size)
		}
	}
	for size := int64(8 << 20); size > smallShare; size /= 2 {
		fill(size)
	}
	for range 40 {
		data, err := ReadAll(strings.NewReader(strings.Repeat("x", smallShare/2-1)), 8<<20, budget.Open())
		assert.NilError(t, err)
		assert.Equal(t, len(data), smallShare/2-1)
	}
	fill(firstRead)
	assert.Assert(t, budget.Used() <= capacity)
}

// TestBufferFollowsWhatArrives guards against a length that is only announced, or a limit far
// above what comes, taking memory; and against a buffer of nearly twice the limit.
func TestBufferFollowsWhatArrives(t *testing.T) {
	for _, test := range []struct {
		sent      int
		limit     int64
		atMost    int64
		wantError bool
	}{
		{sent: 100, limit: 8 << 20, atMost: firstRead},
		{sent: 100, limit: 100, atMost: 101},
		{sent: 0, limit: 0, atMost: 1},
		{sent: 1, limit: 0, atMost: 1, wantError: true},
		{sent: 5000, limit: 8 << 20, atMost: 4 * firstRead},
		{sent: 1 << 20, limit: 1 << 20, atMost: 1<<20 + 1},
		{sent: 1<<20 + 1, limit: 1 << 20, atMost: 1<<20 + 1, wantError: true},
	} {
		budget := NewBudget(16 << 20)
		share := budget.Open()
		data, err := ReadAll(strings.NewReader(strings.Repeat("x", test.sent)), test.limit, share)
		assert.Equal(t, err != nil, test.wantError)
		assert.Assert(t, int64(cap(data)) <= test.atMost, "%d bytes", cap(data))
		assert.Assert(t, budget.Used() <= test.atMost, "%d bytes", budget.Used())
	}
}

// FuzzReadAll checks for any chunks of any response that the result is the whole response
// or an error, and that the budget gets everything back.
func FuzzReadAll(f *testing.F) {
	f.Add([]byte("data: x\n\n"), uint16(4), uint16(100))
	f.Add(bytes.Repeat([]byte("y"), 9000), uint16(8999), uint16(1))
	f.Fuzz(func(t *testing.T, data []byte, limit, capacity uint16) {
		budget := NewBudget(int64(capacity))
		share := budget.Open()
		read, err := ReadAll(iotest.HalfReader(bytes.NewReader(data)), int64(limit), share)
		assert.Assert(t, budget.Used() <= int64(capacity))
		if err == nil {
			assert.Assert(t, bytes.Equal(read, data) && len(data) <= int(limit))
		}
		share.Close()
		assert.Equal(t, budget.Used(), int64(0))
	})
}
