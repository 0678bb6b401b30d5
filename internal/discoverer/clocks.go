package discoverer

import (
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// clockLogInterval is the minimum time between two log lines on one peer's
// clock. In that time monotonic clocks drift by far less than a message's
// latency.
const clockLogInterval = 30 * time.Second

// logPeerClock logs, at most every clockLogInterval, the peer's uptime halfway
// through a call that began at that time.
func (d *Discoverer) logPeerClock(peer gossiper.Member, began time.Time, uptime time.Duration) {
	roundTrip := clocker.Since(began)
	d.mu.Lock()
	due := peer.Epoch != 0 && clocker.Since(d.clockLoggedAt[peer.ID]) >= clockLogInterval
	if due {
		d.clockLoggedAt[peer.ID] = clocker.Now()
	}
	d.mu.Unlock()
	if !due {
		return
	}
	log.WithFields(log.Fields{
		logger.FieldPeer: peer.ID, logger.FieldPeerRun: logger.RunID(peer.Epoch), logger.FieldPeerUptime: milliseconds(uptime),
		logger.FieldLocalUptime: milliseconds(began.Add(roundTrip / 2).Sub(d.started)), logger.FieldRoundTrip: milliseconds(roundTrip),
	}).Info(logger.LinePeerClock)
}

// milliseconds returns d in milliseconds with a fraction, since latencies can be
// below one millisecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
