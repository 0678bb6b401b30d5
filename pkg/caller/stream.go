package caller

import (
	"bufio"
	"bytes"
	"io"
)

const streamBufferBytes = 64 << 10

var (
	eventPrefix = []byte("data: ")
	doneEvent   = []byte("[DONE]")
	errorPrefix = []byte(`{"error":`)
)

// readStream reads a stream of events to its end. A stream that ends without
// the [DONE] event is truncated, never complete.
func readStream(body io.Reader, r Request, result *Result) error {
	result.Outcome = OutcomeTruncated
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, streamBufferBytes), maxEventBytes)
	for scanner.Scan() {
		event, found := bytes.CutPrefix(scanner.Bytes(), eventPrefix)
		switch {
		case !found:
		case bytes.Equal(event, doneEvent):
			result.Outcome = OutcomeComplete
			return nil
		case bytes.HasPrefix(event, errorPrefix):
			result.applyError(event)
		default:
			result.Events++
			if r.OnEvent != nil {
				r.OnEvent(event)
			}
		}
	}
	// A read error is not returned: the outcome already says that the stream is
	// incomplete.
	return nil
}

// maxEventBytes bounds the size of one event, in bytes.
const maxEventBytes = 4 << 20
