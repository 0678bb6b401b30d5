package limiter

import "time"

const (
	// rateWindow is the time over which the rate of service is averaged.
	rateWindow = time.Second
	// rateDecay is the weight of an old window against a new one.
	rateDecay = 0.5
	// Bounds of the time after which to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// startRate measures how fast requests are started.
type startRate struct {
	windowStart time.Time
	count       int
	perSecond   float64
}

func (p *startRate) record(now time.Time, n int) {
	if p.windowStart.IsZero() {
		p.windowStart = now
	}
	if elapsed := now.Sub(p.windowStart); elapsed >= rateWindow {
		rate := float64(p.count) / elapsed.Seconds()
		if p.perSecond == 0 {
			p.perSecond = rate
		} else {
			p.perSecond = rateDecay*p.perSecond + (1-rateDecay)*rate
		}
		p.windowStart, p.count = now, 0
	}
	p.count += n
}

// timeToStart estimates the time until n more requests have been started; without a
// measured pace it is zero.
func (p *startRate) timeToStart(n int) time.Duration {
	if p.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / p.perSecond * float64(time.Second))
}

// clampRetryAfter makes of an estimated wait the time after which to come back.
func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
