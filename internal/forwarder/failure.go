package forwarder

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const (
	// crashCheckInterval is how long it takes to check a head that broke a
	// connection. On a busy machine the check may take maxCrashChecks times as
	// long.
	crashCheckInterval = 200 * time.Millisecond
	maxCrashChecks     = 5
)

// excludeUpstream excludes an upstream that failed this request from its
// further attempts and has the upstream's members probed. It returns the event
// for the retry machine.
func (x *exchange) excludeUpstream(u *upstream, err error) retrier.Event {
	event := retrier.Event{Kind: retrier.Interrupted}
	if x.ctx.Err() != nil {
		return event
	}
	x.failedUpstreams[u.name] = true
	x.lastErr = err
	canceledHere := errors.IsAny(err, errMemberLost, errStalled, errBlocked, errReplaced)
	// An attempt may have run before its first event arrived, so it counts
	// against the maximum. Only an earlier attempt may be excused.
	event.RefundAttempt = x.excuseEarlier(u)
	if !canceledHere && !u.isPeer() {
		x.f.Observer.Suspect(context.WithoutCancel(x.ctx), u.state().members)
	}
	fields := log.Fields{
		logger.FieldRequest: x.request.ID, logger.FieldUpstream: u.name, logger.FieldInstance: u.head().ID, "delivered": x.deliveredEvents, "excused": event.RefundAttempt,
		"canceled_here": canceledHere,
	}
	x.f.addSilence(fields, x, u)
	log.WithFields(fields).WithError(err).Info(logger.LineAttemptFailed)
	return event
}

// addSilence adds for how long an upstream has sent nothing, to any request and to this
// one's caller.
func (f *Forwarder) addSilence(fields log.Fields, x *exchange, u *upstream) {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	fields["upstream_silent_ms"] = milliseconds(u.lastProgress, now)
	if !x.lastEventAt.IsZero() {
		fields["stream_silent_ms"] = milliseconds(x.lastEventAt, now)
	}
}

// canRetry reports whether the request would get another attempt if the current one
// broke now. The caller holds f.mu.
func (x *exchange) canRetry(now time.Time) bool {
	return x.retryMachine.CanRetry(now, x.excusableAttempt() >= 0)
}

// crashEvidence describes an attempt that the server broke.
type crashEvidence struct {
	upstream *upstream
	// firstEventAt is when the first event of a stream arrived, or zero.
	firstEventAt time.Time
	brokeAt      time.Time
	// sound says that the request had shown before that it does not crash the server.
	sound bool
}

// streamed returns how long the attempt's stream had lasted when it broke.
func (e crashEvidence) streamed() time.Duration {
	if e.firstEventAt.IsZero() {
		return 0
	}
	return e.brokeAt.Sub(e.firstEventAt)
}

// runCrashCheck records a strike against the request if one of maxCrashChecks
// checks shows that the head is lost or has restarted, and reports whether one did.
func (x *exchange) runCrashCheck(e crashEvidence) bool {
	for range maxCrashChecks {
		time.Sleep(crashCheckInterval)
		if x.f.Observer.LostForAllOrRestarted(e.upstream.head()) {
			x.recordStrike(e)
			return true
		}
	}
	return false
}

// recordStrike records that the request crashed the upstream's head and reports
// it to the peers.
func (x *exchange) recordStrike(e crashEvidence) {
	head := e.upstream.head()
	now := clocker.Now()
	strike := quarantiner.Strike{Fingerprint: x.fingerprint, Site: head.ID + "/" + head.Incarnation, Age: now.Sub(e.brokeAt)}
	x.f.mu.Lock()
	if !e.sound {
		strike.Parts = x.f.parts.Suspects(e.brokeAt, x.request.PromptParts)
	}
	added := x.f.quarantine.RecordStrike(now, strike)
	if added {
		x.f.parts.RecordStrike(now, strike)
	}
	x.f.mu.Unlock()
	if !added {
		return
	}
	x.f.metrics.strikes.Inc(1)
	log.WithFields(log.Fields{
		logger.FieldRequest: x.request.ID, logger.FieldInstance: head.ID, logger.FieldParts: partNames(x.request.PromptParts), logger.FieldSuspects: partNames(strike.Parts),
		"started": !e.firstEventAt.IsZero(), "streamed_ms": e.streamed().Milliseconds(),
	}).Warn(logger.LineServerCrashed)
	x.f.Peers.BroadcastStrikes(context.WithoutCancel(x.ctx), []quarantiner.Strike{strike})
}
