package discoverer

import (
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// clockLogInterval is the time between two log lines on one peer's clock. Steady
// clocks drift by far less than the way of a message in that time.
const clockLogInterval = 30 * time.Second

// logPeerClock logs now and then what a peer's clock showed halfway through a
// call that began at that time.
func (in *Discoverer) logPeerClock(peer gossiper.Member, began time.Time, uptime time.Duration) {
	trip := clocker.Since(began)
	in.mu.Lock()
	due := peer.Epoch != 0 && clocker.Since(in.clockLoggedAt[peer.ID]) >= clockLogInterval
	if due {
		in.clockLoggedAt[peer.ID] = clocker.Now()
	}
	in.mu.Unlock()
	if !due {
		return
	}
	log.WithFields(log.Fields{
		logger.FieldPeer: peer.ID, logger.FieldPeerRun: logger.RunName(peer.Epoch), logger.FieldPeerAt: milliseconds(uptime),
		logger.FieldOwnAt: milliseconds(began.Add(trip / 2).Sub(in.started)), logger.FieldRoundTrip: milliseconds(trip),
	}).Info(logger.LineClock)
}

// milliseconds keeps the part below one, since ways are shorter.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
