package server

import (
	stdlog "log"
	"strings"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// errorLinesPerSecond bounds the log lines of one server about errors of its connections, which
// clients can cause in any number.
const errorLinesPerSecond = 2

// errorWriter logs the lines of an HTTP server.
type errorWriter struct {
	lines *rate.Limiter
}

// NewErrorLog returns the log for errors of an HTTP server's connections.
func NewErrorLog() *stdlog.Logger {
	return stdlog.New(&errorWriter{lines: rate.NewLimiter(errorLinesPerSecond, errorLinesPerSecond)}, "", 0)
}

// Write implements [io.Writer].
func (w *errorWriter) Write(line []byte) (int, error) {
	if w.lines.Allow() {
		log.WithField("error", strings.TrimSpace(string(line))).Warn("connection failed")
	}
	return len(line), nil
}
