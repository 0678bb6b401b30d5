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
	crashCheckInterval = 200 * time.Millisecond
	maxCrashChecks     = 5
	// goneFor is how long a server must have been gone to excuse a try: two
	// rechecks of those held for lost.
	minGoneTime = time.Second
)

// blame keeps this request off a lane that failed it, has the members checked,
// and counts a strike if the head has crashed.
func (x *exchange) excludeUpstream(u *upstream, err error) retrier.Event {
	event := retrier.Event{Kind: retrier.Broke}
	if x.ctx.Err() != nil {
		return event
	}
	x.failedUpstreams[u.name] = true
	x.lastErr = err
	canceledHere := errors.IsAny(err, errMemberLost, errStalled)
	// A try may have begun to run before its first event came, so that it
	// counts against the attempts.
	event.Excused = x.excuseEarlier(clocker.Now())
	x.brokenAttempts = append(x.brokenAttempts, brokenAttempt{head: u.head(), at: clocker.Now()})
	if !canceledHere {
		x.f.Observer.Doubt(context.WithoutCancel(x.ctx), u.state().members)
	}
	log.WithFields(log.Fields{
		logger.FieldRequest: x.request.ID, logger.FieldLane: u.name, logger.FieldInstance: u.head().ID, "delivered": x.deliveredEvents, "excused": event.Excused,
	}).WithError(err).Info(logger.LineBroke)
	return event
}

// fallen is a head whose try broke.
type brokenAttempt struct {
	head provider.Instance
	at   time.Time
}

// excuse reports whether an earlier try no longer counts against the attempts,
// since the server that ran it has been gone for a while. What is found gone
// just now may answer again.
func (x *exchange) excuseEarlier(now time.Time) bool {
	i := slices.IndexFunc(x.brokenAttempts, func(b brokenAttempt) bool {
		return now.Sub(b.at) >= minGoneTime && x.f.Observer.Gone([]provider.Instance{b.head})
	})
	if i < 0 {
		return false
	}
	x.brokenAttempts = slices.Delete(x.brokenAttempts, i, i+1)
	return true
}

// runStrike counts a crash of a head against the request that it ran, if the
// check of the head shows that it is gone.
func (x *exchange) awaitCrash(u *upstream) {
	for range maxCrashChecks {
		time.Sleep(crashCheckInterval)
		if x.f.Observer.Gone(u.state().members[:1]) {
			x.recordStrike(u)
			return
		}
	}
}

// strike counts a crash against the request and tells the peers.
func (x *exchange) recordStrike(u *upstream) {
	strike := quarantiner.Strike{Fingerprint: x.fingerprint, Site: u.head().ID + "/" + u.head().Incarnation}
	x.f.mu.Lock()
	added := x.f.quarantine.Strike(clocker.Now(), strike)
	x.f.mu.Unlock()
	if !added {
		return
	}
	log.WithFields(log.Fields{logger.FieldRequest: x.request.ID, logger.FieldInstance: u.head().ID}).Warn(logger.LineCrash)
	x.f.Peers.BroadcastStrikes(context.WithoutCancel(x.ctx), []quarantiner.Strike{strike})
}
