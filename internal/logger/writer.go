// Package logger writes log lines without ever holding up who logs. Lines go
// through a bounded ring to one goroutine; what does not fit, or comes faster
// than the limit, is dropped and counted, and the count is logged.
//
// # Usage
//
//	writer := logger.New(os.Stdout)
//	writer.Start(ctx)
//	log.SetHandler(json.New(writer))
package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines is how many lines may wait: a few seconds at the limit.
	queueLines = 1024
	// linesPerSecond bounds the volume: at 300 bytes a line, 60 KB a second.
	linesPerSecond = 200
	// burstLines may come at once.
	burstLines = 600
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Writer is an [io.Writer] of whole lines that never blocks.
type Writer struct {
	out     io.Writer
	queue    chan []byte
	limiter   *rate.Limiter
	droppedUnreported atomic.Int64
	droppedTotal   atomic.Int64
	done   chan struct{}
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	return &Writer{
		out:   out,
		queue:  make(chan []byte, queueLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		done: make(chan struct{}),
	}
}

// Start begins the duty; it ends with ctx, after the lines that wait then.
func (w *Writer) Start(ctx context.Context) { go w.loop(ctx) }

// Wait returns when the duty has ended, or after the time for which a reader
// that has stopped may hold it up.
func (w *Writer) Wait(timeout time.Duration) {
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// Dropped returns how many lines have been dropped since the start.
func (w *Writer) Dropped() int64 { return w.droppedTotal.Load() }

// Write implements [io.Writer]. It takes a copy of the line.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.droppedUnreported.Add(1)
	w.droppedTotal.Add(1)
}

func (w *Writer) loop(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case line := <-w.queue:
			w.emit(line)
		case <-ticker.C:
			if n := w.droppedUnreported.Swap(0); n > 0 {
				w.emit(fmt.Appendf(nil, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"lines\":%d}}\n", n))
			}
		}
	}
}

// flush writes what waits.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.queue:
			w.emit(line)
		default:
			return
		}
	}
}

// emit writes one line; a reader that has gone costs the line only.
func (w *Writer) emit(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.drop()
		fmt.Fprintln(os.Stderr, "log line not written:", err)
	}
}
