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
	// FieldAt is the time since the process started, in milliseconds, on a clock
	// that does not jump.
	FieldAt = "at_ms"
)

// RunName is how the life of a process with that epoch is named in its lines.
func RunName(epoch uint64) string { return strconv.FormatUint(epoch, 36) }

// Stamp returns a handler that adds to each line which process wrote it and
// when, on the process's steady clock.
func Stamp(next log.Handler, entry string, epoch uint64, started time.Time) log.Handler {
	run := RunName(epoch)
	return log.HandlerFunc(func(e *log.Entry) error {
		// The fields of an entry that is being handled are its own.
		e.Fields[FieldEntry], e.Fields[FieldRun] = entry, run
		e.Fields[FieldAt] = clocker.Since(started).Milliseconds()
		return next.HandleLog(e)
	})
}
