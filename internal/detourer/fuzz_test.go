package detourer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// encodeFrames returns frames as they are on the wire.
func encodeFrames(f testing.TB, add func(out *bytes.Buffer)) []byte {
	f.Helper()
	var out bytes.Buffer
	add(&out)
	return out.Bytes()
}

// requestBytes returns a request as it is on the wire.
func requestBytes(t testing.TB, e *Envelope) []byte {
	t.Helper()
	encoded, err := e.encode(defaultMaxBodyBytes)
	assert.NilError(t, err)
	return append(bytes.Clone(encoded.head), encoded.body...)
}

// newTestHop returns a hop whose request has been sent and whose response is data.
func newTestHop(data []byte) *hop {
	_, cancel := context.WithCancel(context.Background())
	watch := newWatchdog(patience, cancel)
	return &hop{
		cancel:  cancel,
		watch:   watch,
		request: newRequestBody(&encodedRequest{}, watch),
		body:    io.NopCloser(bytes.NewReader(nil)),
		reader:  bufio.NewReaderSize(iotest.HalfReader(bytes.NewReader(data)), 16),
	}
}

// FuzzFrames checks for any bytes that arrive, as a request or as a response, that they are
// taken within the bounds of memory or refused, that a request that is taken stays the same
// when it is passed on, and that a response ends as complete only with an end frame.
func FuzzFrames(f *testing.F) {
	f.Add(requestBytes(f, envelope()))
	f.Add(requestBytes(f, &Envelope{}))
	head := Head{Status: 200, Delimited: true, Stream: true, Header: envelope().Header, Took: 1e6}
	payload, err := head.encode()
	assert.NilError(f, err)
	refusal := Refusal{Kind: "no_server", Outcome: retrier.NotRun, Text: "none"}
	refusalPayload, err := refusal.encode()
	assert.NilError(f, err)
	f.Add(encodeFrames(f, func(out *bytes.Buffer) {
		appendFrame(out, frameKeepAlive, nil)
		appendFrame(out, frameHead, payload)
		appendFrame(out, frameData, []byte("id: 1\ndata: a\n\n"))
		appendFrame(out, frameKeepAlive, nil)
		appendFrame(out, frameEnd, nil)
	}))
	f.Add(encodeFrames(f, func(out *bytes.Buffer) {
		appendFrame(out, frameHead, payload)
		appendFrame(out, frameRefusal, refusalPayload)
	}))
	f.Add([]byte("\x01\xff\xff\xff\xff"))
	f.Add([]byte("\x01\x00\x00\x00\x04\r\n\r\n\x02\x00\x00\x10\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRequest(t, data)
		checkResponse(t, data)
	})
}

func checkRequest(t *testing.T, data []byte) {
	const maxBody, capacity = 2 << 10, 6 << 10
	e, err := readEnvelope(iotest.HalfReader(bytes.NewReader(data)), maxBody)
	if err != nil {
		return
	}
	assert.Assert(t, cap(e.Body) <= capacity)
	assert.Assert(t, len(e.Body) <= maxBody)
	passedOn, err := e.encode(maxBody)
	if err != nil {
		kind, found := faulter.KindOf[Kind](err)
		assert.Assert(t, found && (kind == KindMalformed || kind == KindTooLarge), "%v", err)
		return
	}
	again, err := readEnvelope(io.MultiReader(bytes.NewReader(passedOn.head), bytes.NewReader(passedOn.body)), maxBody)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, e)
}

func checkResponse(t *testing.T, data []byte) {
	h := newTestHop(data)
	defer h.Close()
	if _, err := h.readHead(); err != nil {
		checkFailure(t, err)
		return
	}
	body, err := io.ReadAll(h)
	assert.Assert(t, len(body) <= len(data))
	if err != nil {
		checkFailure(t, err)
		return
	}
	assert.Assert(t, h.ended.Load())
}

func checkFailure(t *testing.T, err error) {
	kind, found := faulter.KindOf[Kind](err)
	assert.Assert(t, found && (kind == KindBroken || kind == KindRefused), "%v", err)
	_, refused := RefusalOf(err)
	assert.Equal(t, refused, kind == KindRefused)
}
