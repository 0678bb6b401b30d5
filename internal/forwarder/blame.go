package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const (
	// strikeDelay is how long the check of a head takes that broke a connection;
	// a busy machine may take strikeChecks times as long.
	strikeDelay  = 200 * time.Millisecond
	strikeChecks = 5
	// goneFor is how long a server must have been gone to excuse a try: two
	// rechecks of those held for lost.
	goneFor = time.Second
)

// blame keeps this request off a lane that failed it, has the members checked,
// and counts a strike if the head has crashed.
func (x *exchange) blame(l *lane, err error) retrier.Event {
	event := retrier.Event{Kind: retrier.Interrupted}
	if x.ctx.Err() != nil {
		return event
	}
	x.failed[l.name] = true
	x.failure = err
	moved := errors.IsAny(err, errLost, errStalled)
	// A try may have begun to run before its first event came, so that it
	// counts against the attempts.
	event.RefundAttempt = x.excuse(clocker.Now())
	x.fallen = append(x.fallen, fallen{head: l.head(), at: clocker.Now()})
	if !moved {
		x.f.Observer.Doubt(context.WithoutCancel(x.ctx), l.at().members)
	}
	log.WithFields(log.Fields{
		logger.FieldRequest: x.request.ID, logger.FieldUpstream: l.name, logger.FieldInstance: l.head().ID, "delivered": x.delivered, "excused": event.RefundAttempt,
	}).WithError(err).Info(logger.LineAttemptFailed)
	return event
}

// fallen is a head whose try broke.
type fallen struct {
	head provider.Instance
	at   time.Time
}

// excuse reports whether an earlier try no longer counts against the attempts,
// since the server that ran it has been gone for a while. What is found gone
// just now may answer again.
func (x *exchange) excuse(now time.Time) bool {
	i := slices.IndexFunc(x.fallen, func(t fallen) bool {
		return now.Sub(t.at) >= goneFor && x.f.Observer.Gone([]provider.Instance{t.head})
	})
	if i < 0 {
		return false
	}
	x.fallen = slices.Delete(x.fallen, i, i+1)
	return true
}

// runStrike counts a crash of a head against the request that it ran, if the
// check of the head shows that it is gone.
func (x *exchange) runStrike(l *lane) {
	for range strikeChecks {
		time.Sleep(strikeDelay)
		if x.f.Observer.Gone(l.at().members[:1]) {
			x.strike(l)
			return
		}
	}
}

// strike counts a crash against the request and tells the peers.
func (x *exchange) strike(l *lane) {
	strike := quarantiner.Strike{Fingerprint: x.fingerprint, Site: l.head().ID + "/" + l.head().Incarnation}
	x.f.mu.Lock()
	news := x.f.quarantine.RecordStrike(clocker.Now(), strike)
	x.f.mu.Unlock()
	if !news {
		return
	}
	log.WithFields(log.Fields{logger.FieldRequest: x.request.ID, logger.FieldInstance: l.head().ID}).Warn(logger.LineServerCrashed)
	x.f.Peers.TellStrikes(context.WithoutCancel(x.ctx), []quarantiner.Strike{strike})
}
