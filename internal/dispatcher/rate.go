package dispatcher

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
)

// rateLimit bounds an organisation's requests at this entry instance.
type rateLimit struct {
	limiter *rate.Limiter
	// requests counts the requests since the last demand was told.
	requests int
}

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

// burstDuration is how long an organisation may save its rate up.
const burstDuration = time.Second

func (d *Dispatcher) organisationLimit(o configurer.Organisation) *rateLimit {
	l, found := d.rates[o.Name]
	if !found {
		l = &rateLimit{limiter: rate.NewLimiter(rate.Limit(o.RequestsPerSecond), burst(o.RequestsPerSecond))}
		d.rates[o.Name] = l
	}
	return l
}

func burst(perSecond float64) int {
	return max(1, int(perSecond*burstDuration.Seconds()))
}

// SetRate bounds an organisation's requests at this entry instance.
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

// TakeRequestCount returns how many requests an organisation has sent to this entry
// instance since the last call.
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
