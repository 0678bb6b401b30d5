// Package logger writes log lines without blocking the goroutine that logs. Lines
// go through a bounded queue to one goroutine. Lines that exceed the queue or the
// rate limit are dropped and counted, and the count is logged.
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
	// queueLines is the capacity of the queue in lines: about five seconds at the
	// rate limit.
	queueLines = 1024
	// linesPerSecond limits the log volume: 60 KB per second at 300 bytes a line.
	linesPerSecond = 200
	// burstLines is the number of lines that may be written at once.
	burstLines = 600
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Writer is an [io.Writer] that accepts complete lines and never blocks.
type Writer struct {
	out               io.Writer
	queue             chan []byte
	limiter           *rate.Limiter
	droppedUnreported atomic.Int64
	droppedTotal      atomic.Int64
	done              chan struct{}
}

// New returns a Writer that writes to out. Start must be called once.
func New(out io.Writer) *Writer {
	return &Writer{
		out:     out,
		queue:   make(chan []byte, queueLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		done:    make(chan struct{}),
	}
}

// Start starts the goroutine that writes the lines. It stops when ctx is done,
// after it has written the lines that are queued by then.
func (w *Writer) Start(ctx context.Context) { go w.loop(ctx) }

// Wait waits until the goroutine has stopped, but no longer than the timeout, since
// a blocked reader of the output would block it forever.
func (w *Writer) Wait(timeout time.Duration) {
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.droppedTotal.Load() }

// Write implements [io.Writer]. It queues a copy of the line or drops it, and never
// returns an error.
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

// flush writes the queued lines.
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

// emit writes one line. A line that cannot be written, as when the reader of the
// output has exited, is dropped.
func (w *Writer) emit(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.drop()
		fmt.Fprintln(os.Stderr, "log line not written:", err)
	}
}
