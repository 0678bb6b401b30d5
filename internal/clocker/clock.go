// Package clocker tells the time on a clock that only moves forward and that
// also counts while the instance is suspended. Leases, deadlines and bounds of
// freshness are kept on it: the wall clock jumps, and the clock behind
// [time.Now] stands still during a suspension.
//
// # Usage
//
//	began := clocker.Now()
//	age := clocker.Now().Sub(began)
//
// The times are comparable within one run of one instance only.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance was started, as a time.
func Now() time.Time {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// The clock exists on every kernel that runs Go; without it no bound holds.
		panic(err)
	}
	return time.Unix(at.Sec, at.Nsec)
}

// Since returns the time that has passed since then.
func Since(then time.Time) time.Duration { return Now().Sub(then) }
