package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of an entry instance's log.
type Line struct {
	Entry string `json:"entry"`
	// Run identifies one run of the entry instance's process.
	Run string `json:"run"`
	// Uptime is the time since the start of the process.
	Uptime time.Duration `json:"uptime"`
	// At is the time since the first line of all logs, on the common clock.
	At time.Duration `json:"at"`
	// Wall is the time of day by the clock of the instance.
	Wall    time.Time      `json:"wall"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// process identifies one run of an entry instance's process.
type process struct{ entry, run string }

func (l Line) process() process { return process{l.Entry, l.Run} }

// text returns the value of a string field, or the empty string.
func (l Line) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// number returns the value of a numeric field, or zero.
func (l Line) number(field string) float64 {
	number, _ := l.Fields[field].(float64)
	return number
}

// Read reads the lines of one log. It ignores any text before the first brace of a
// line, such as the prefix of a log collector. Lines that no entry instance wrote
// are skipped and counted. An error of KindInput means that r could not be read.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, faulter.New("read log", KindInput, err)
	}
	return lines, skipped, nil
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var decoded struct {
		Message   string         `json:"message"`
		Timestamp time.Time      `json:"timestamp"`
		Fields    map[string]any `json:"fields"`
	}
	if json.Unmarshal(text[start:], &decoded) != nil || decoded.Message == "" {
		return Line{}, false
	}
	line := Line{Wall: decoded.Timestamp, Message: decoded.Message, Fields: decoded.Fields}
	line.Entry, line.Run = line.text(logger.FieldEntry), line.text(logger.FieldRun)
	line.Uptime = milliseconds(line.number(logger.FieldUptime))
	for _, field := range []string{logger.FieldEntry, logger.FieldRun, logger.FieldUptime} {
		delete(line.Fields, field)
	}
	return line, line.Entry != ""
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
