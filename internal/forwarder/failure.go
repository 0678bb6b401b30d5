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
	// crashCheckInterval is how long it takes to check a head that broke a
	// connection. On a busy machine the check may take maxCrashChecks times as
	// long.
	crashCheckInterval = 200 * time.Millisecond
	maxCrashChecks     = 5
	// excuseDelay is how long ago an attempt must have broken to be excused by
	// the loss of its server: two rechecks of the lost instances.
	excuseDelay = time.Second
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

// brokenAttempt is an attempt that broke, and the head that ran it.
type brokenAttempt struct {
	head provider.Instance
	at   time.Time
}

// excuseEarlier records an attempt that broke at an upstream, and reports whether an
// earlier one no longer counts against the maximum. An attempt that was replaced is
// recorded already.
func (x *exchange) excuseEarlier(u *upstream) bool {
	now := clocker.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	if x.counted == u {
		x.counted = nil
		return false
	}
	excused := x.takeBroken(x.excusableAttempt(now))
	x.brokenAttempts = append(x.brokenAttempts, brokenAttempt{head: u.head(), at: now})
	return excused
}

// excuseCutOff reports whether one of the broken attempts no longer counts against the
// maximum, because its server is cut off from here.
func (x *exchange) excuseCutOff() bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	return x.takeBroken(slices.IndexFunc(x.brokenAttempts, func(b brokenAttempt) bool { return x.f.isCutOff(b.head) }))
}

// isCutOff reports whether a server can't be reached over a path that is cut, and is not
// known to be lost itself.
func (f *Forwarder) isCutOff(in provider.Instance) bool {
	return f.Observer.PathCut() && f.Observer.AnyLostOrRestarted([]provider.Instance{in}) && !f.Observer.LostForAllOrRestarted(in)
}

// takeBroken forgets the broken attempt with that index, and reports whether there is one.
// The caller holds f.mu.
func (x *exchange) takeBroken(i int) bool {
	if i >= 0 {
		x.brokenAttempts = slices.Delete(x.brokenAttempts, i, i+1)
	}
	return i >= 0
}

// excusableAttempt returns the index of a broken attempt that need not count against
// the maximum, because its server is cut off from here, or because it broke at least
// excuseDelay ago and its server is lost or has restarted, or -1. A server that was marked
// lost only just now may respond again. The caller holds f.mu.
func (x *exchange) excusableAttempt(now time.Time) int {
	return slices.IndexFunc(x.brokenAttempts, func(b brokenAttempt) bool {
		if x.counted != nil && x.counted.head().ID == b.head.ID {
			// The attempt that is being replaced goes on.
			return false
		}
		return x.f.isCutOff(b.head) || now.Sub(b.at) >= excuseDelay && x.f.Observer.LostForAllOrRestarted(b.head)
	})
}

// canRetry reports whether the request would get another attempt if the current one
// broke now. The caller holds f.mu.
func (x *exchange) canRetry(now time.Time) bool {
	return x.retryMachine.CanRetry(now, x.excusableAttempt(now) >= 0)
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
