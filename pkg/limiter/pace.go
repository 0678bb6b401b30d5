package limiter

import "time"

const (
	// paceWindow is the time over which the rate of service is averaged.
	paceWindow = time.Second
	// paceDecay is the weight of an old window against a new one.
	paceDecay = 0.5
	// Bounds of the time after which to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// pace measures how fast requests are started.
type pace struct {
	windowStart time.Time
	count       int
	perSecond   float64
}

func (p *pace) served(now time.Time, n int) {
	if p.windowStart.IsZero() {
		p.windowStart = now
	}
	if elapsed := now.Sub(p.windowStart); elapsed >= paceWindow {
		rate := float64(p.count) / elapsed.Seconds()
		if p.perSecond == 0 {
			p.perSecond = rate
		} else {
			p.perSecond = paceDecay*p.perSecond + (1-paceDecay)*rate
		}
		p.windowStart, p.count = now, 0
	}
	p.count += n
}

// wait estimates the time until n more requests have been started; without a
// measured pace it is zero.
func (p *pace) wait(n int) time.Duration {
	if p.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / p.perSecond * float64(time.Second))
}

// retryAfter makes of an estimated wait the time after which to come back.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
