package limiter

import "time"

const (
	// minBackoff is the wait after the first failure.
	minBackoff = 200 * time.Millisecond
	// maxBackoff bounds the wait, so that the end of the trouble is noticed in time.
	maxBackoff = 3 * time.Second
	// fleetCallsPerSecond is the rate of calls of all callers together to which the waits
	// converge, as far as maxBackoff allows.
	fleetCallsPerSecond = 40
)

// Backoff spaces the calls of one of many callers to a service that fails, so that all
// callers together make a bounded number of calls. The wait doubles with each failure up to
// the number of callers divided by fleetCallsPerSecond. It does no I/O and is not safe for
// concurrent use.
type Backoff struct {
	failures int
	nextAt   time.Time
}

// Fail records a failed call of one of a number of callers. The random number in [0, 1)
// spreads their calls.
func (b *Backoff) Fail(now time.Time, callers int, random float64) {
	longest := min(maxBackoff, max(minBackoff, time.Duration(callers)*time.Second/fleetCallsPerSecond))
	wait := minBackoff
	for n := 0; n < b.failures && wait < longest; n++ {
		wait *= 2
	}
	b.failures++
	b.nextAt = now.Add(time.Duration((0.5 + random/2) * float64(min(wait, longest))))
}

// Succeed records a successful call.
func (b *Backoff) Succeed() { *b = Backoff{} }

// Ready reports whether the next call may be made.
func (b *Backoff) Ready(now time.Time) bool { return !now.Before(b.nextAt) }
