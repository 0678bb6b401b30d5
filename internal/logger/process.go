package logger

import (
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
)

// Fields that tell from where and when a line is.
const (
	// FieldEntry is the entry instance, FieldRun one life of its process.
	FieldEntry = "entry"
	FieldRun   = "run"
	// FieldUptime is the time since the process started, in milliseconds, on a clock
	// that does not jump.
	FieldUptime = "at_ms"
)

// RunID is how the life of a process with that epoch is named in its lines.
func RunID(epoch uint64) string { return strconv.FormatUint(epoch, 36) }

// Process is one life of an entry instance's process.
type Process struct {
	Entry string
	// Epoch rises with every start of the instance.
	Epoch uint64
	// Started is when this life began, on the steady clock.
	Started time.Time
}

// NewProcess returns the life that begins now.
func NewProcess(entry string) Process {
	return Process{Entry: entry, Epoch: uint64(time.Now().UnixNano()), Started: clocker.Now()}
}

// WrapHandler returns a handler that adds to each line which process wrote it and
// when, on the process's steady clock.
func (p Process) WrapHandler(next log.Handler) log.Handler {
	run := RunID(p.Epoch)
	return log.HandlerFunc(func(e *log.Entry) error {
		// The fields of an entry that is being handled are its own.
		e.Fields[FieldEntry], e.Fields[FieldRun] = p.Entry, run
		e.Fields[FieldUptime] = clocker.Since(p.Started).Milliseconds()
		return next.HandleLog(e)
	})
}
