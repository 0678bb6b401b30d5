package dispatcher

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
)

// rateLimit limits the request rate of one organisation at this entry instance.
type rateLimit struct {
	limiter *rate.Limiter
	// requests counts the requests since the last call of TakeRequestCount.
	requests int
}

// reserve counts a request and reports whether it is allowed now; if not, it
// returns the delay after which to retry.
func (l *rateLimit) reserve(now time.Time) (time.Duration, bool) {
	l.requests++
	reservation := l.limiter.ReserveN(now, 1)
	if !reservation.OK() {
		return noBackendRetryDelay, false
	}
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return wait, false
	}
	return 0, true
}

// burstDuration is how long an organisation accumulates unused rate.
const burstDuration = time.Second

func (d *Dispatcher) organisationLimit(o configurer.Organisation) *rateLimit {
	l, found := d.rates[o.Name]
	if !found {
		l = &rateLimit{limiter: rate.NewLimiter(rate.Limit(o.RequestsPerSecond), burst(o.RequestsPerSecond))}
		d.rates[o.Name] = l
	}
	return l
}

// burst returns the number of requests that may start at once at a rate.
func burst(perSecond float64) int {
	return max(1, int(perSecond*burstDuration.Seconds()))
}

// SetRate sets an organisation's limit at this entry instance, in requests per
// second.
func (d *Dispatcher) SetRate(organisation string, perSecond float64) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	l, found := d.rates[organisation]
	if !found {
		l = &rateLimit{limiter: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
		d.rates[organisation] = l
		return
	}
	l.limiter.SetLimitAt(now, rate.Limit(perSecond))
	l.limiter.SetBurstAt(now, burst(perSecond))
}

// TakeRequestCount returns the number of requests that an organisation has sent
// to this entry instance since the last call, and resets it.
func (d *Dispatcher) TakeRequestCount(organisation string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, found := d.rates[organisation]
	if !found {
		return 0
	}
	requests := l.requests
	l.requests = 0
	return requests
}
