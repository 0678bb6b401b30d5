package caller

import (
	"bufio"
	"bytes"
	"io"
)

const streamBuffer = 64 << 10

var (
	eventPrefix = []byte("data: ")
	doneEvent   = []byte("[DONE]")
	errorPrefix = []byte(`{"error":`)
)

// readStream reads a stream of events to its end. A stream without its
// terminal mark is cut, and never a whole answer.
func readStream(body io.Reader, r Request, result *Result) error {
	result.Outcome = OutcomeTruncated
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, streamBuffer), maxEventBytes)
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
	// A connection that breaks off is a cut stream, as Outcome says.
	return nil
}

// maxEventBytes bounds one event.
const maxEventBytes = 4 << 20
