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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one line of an entry instance's log.
type Line struct {
	Entry string `json:"entry"`
	// Run is one life of the entry instance's process.
	Run string `json:"run"`
	// Uptime is how long the process had run.
	Uptime time.Duration `json:"uptime"`
	// At is the same moment since the first line of all, on one clock.
	At time.Duration `json:"at"`
	// Wall is the time of day as the instance had it.
	Wall    time.Time      `json:"wall"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// process is one life of one entry instance.
type process struct{ entry, run string }

func (l Line) process() process { return process{l.Entry, l.Run} }

// text returns a field that holds text, or nothing.
func (l Line) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// number returns a field that holds a number, or zero.
func (l Line) number(field string) float64 {
	number, _ := l.Fields[field].(float64)
	return number
}

// Read reads the lines of one log. What is before the first brace of a line,
// such as a collector's own mark, is skipped; so is what is no line of an entry
// instance, and counted.
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
