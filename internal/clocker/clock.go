// Package clocker reads a monotonic clock that also advances while the instance is
// suspended. Leases, deadlines and the age of evidence are measured on it: the
// wall clock can jump, and Go's monotonic clock, which [time.Since] uses, stops
// during a suspension.
//
// # Usage
//
//	began := clocker.Now()
//	age := clocker.Now().Sub(began)
//
// The times are comparable only within one boot of one instance.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance was booted, as an offset from the Unix
// epoch.
func Now() time.Time {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Every kernel that Go supports has this clock. Without it no lease or
		// deadline would hold, so there is no fallback.
		panic(err)
	}
	return time.Unix(at.Sec, at.Nsec)
}

// Since returns the time elapsed since a time that Now returned.
func Since(then time.Time) time.Duration { return Now().Sub(then) }
