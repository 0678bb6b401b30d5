package limiter

import "time"

const (
	// rateWindow is the minimum time over which the start rate is measured.
	rateWindow = time.Second
	// rateDecay is the weight of the previous windows in the moving average.
	rateDecay = 0.5
	// minRetryAfter and maxRetryAfter bound the time to retry after.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// startRate measures the rate at which requests start, as a moving average.
type startRate struct {
	windowStart time.Time
	count       int
	perSecond   float64
}

// record counts n requests that start now.
func (r *startRate) record(now time.Time, n int) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	if elapsed := now.Sub(r.windowStart); elapsed >= rateWindow {
		rate := float64(r.count) / elapsed.Seconds()
		if r.perSecond == 0 {
			r.perSecond = rate
		} else {
			r.perSecond = rateDecay*r.perSecond + (1-rateDecay)*rate
		}
		r.windowStart, r.count = now, 0
	}
	r.count += n
}

// timeToStart returns the estimated time until n more requests have started, or 0
// before a rate has been measured.
func (r *startRate) timeToStart(n int) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / r.perSecond * float64(time.Second))
}

// clampRetryAfter bounds an estimated wait to a reasonable time to retry after.
func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
