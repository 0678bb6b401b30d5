package introducer

import (
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// clockInterval is the time between two log lines on one peer's clock. Steady
// clocks drift by far less than the way of a message in that time.
const clockInterval = 30 * time.Second

// compareClocks logs now and then what a peer's clock showed halfway through a
// call that began at that time.
func (in *Introducer) compareClocks(peer gossiper.Member, began time.Time, uptime time.Duration) {
	trip := clocker.Since(began)
	in.mu.Lock()
	due := peer.Epoch != 0 && clocker.Since(in.compared[peer.ID]) >= clockInterval
	if due {
		in.compared[peer.ID] = clocker.Now()
	}
	in.mu.Unlock()
	if !due {
		return
	}
	log.WithFields(log.Fields{
		logger.FieldPeer: peer.ID, logger.FieldPeerRun: logger.RunID(peer.Epoch), logger.FieldPeerUptime: milliseconds(uptime),
		logger.FieldLocalUptime: milliseconds(began.Add(trip / 2).Sub(in.started)), logger.FieldRoundTrip: milliseconds(trip),
	}).Info(logger.LinePeerClock)
}

// milliseconds keeps the part below one, since ways are shorter.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
