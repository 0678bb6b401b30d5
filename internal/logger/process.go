package logger

import (
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
)

// Fields that identify the process that wrote a line, and the time.
const (
	// FieldEntry is the name of the entry instance, FieldRun the run of its process.
	FieldEntry = "entry"
	FieldRun   = "run"
	// FieldUptime is the time since the process started, in milliseconds, on a
	// monotonic clock.
	FieldUptime = "at_ms"
)

// RunID returns the value of FieldRun for a process with that epoch.
func RunID(epoch uint64) string { return strconv.FormatUint(epoch, 36) }

// Process identifies one run of an entry instance's process.
type Process struct {
	Entry string
	// Epoch increases with every start of the instance.
	Epoch uint64
	// Started is the start time of this run on the monotonic clock.
	Started time.Time
}

// NewProcess returns the identity of a run that starts now.
func NewProcess(entry string) Process {
	return Process{Entry: entry, Epoch: uint64(time.Now().UnixNano()), Started: clocker.Now()}
}

// WrapHandler returns a handler that adds the entry instance, the run and the
// uptime to each line and passes the line to next.
func (p Process) WrapHandler(next log.Handler) log.Handler {
	run := RunID(p.Epoch)
	return log.HandlerFunc(func(e *log.Entry) error {
		// The logger gives each entry its own map of fields, so it may be changed here.
		e.Fields[FieldEntry], e.Fields[FieldRun] = p.Entry, run
		e.Fields[FieldUptime] = clocker.Since(p.Started).Milliseconds()
		return next.HandleLog(e)
	})
}
