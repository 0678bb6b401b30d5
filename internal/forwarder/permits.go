package forwarder

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// permits holds what an entry instance knows of the backend servers that limit
// the rate of their requests.
type permits struct {
	mu     sync.Mutex
	limits *limiter.ServerLimits
}

func newPermits() *permits { return &permits{limits: limiter.NewServerLimits()} }

// limitKey returns the name under which a server's limit is known. A restarted
// server has a new one.
func limitKey(in provider.Instance) string { return in.ID + "/" + in.Incarnation }

// observe records the limit that a server states, or omits, in a response to a
// request that was sent at that time.
func (p *permits) observe(in provider.Instance, sentAt time.Time, metadata ResponseMetadata) {
	if metadata.LimitErr != nil {
		log.WithField(logger.FieldInstance, in.ID).WithError(metadata.LimitErr).Warn("server limit ignored")
		return
	}
	p.mu.Lock()
	previous, changed := p.limits.Observe(clocker.Now(), sentAt, limitKey(in), metadata.Limit)
	p.mu.Unlock()
	if !changed {
		return
	}
	log.WithFields(log.Fields{
		logger.FieldInstance: in.ID, "limited": metadata.Limit.Limited, "per_second": metadata.Limit.PerSecond,
		"was_limited": previous.Limited, "was_per_second": previous.PerSecond,
	}).Info(logger.LineServerLimit)
}
