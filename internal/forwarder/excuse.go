package forwarder

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// excuseDelay is how long ago an attempt must have broken to be excused by
	// the loss of its server: two rechecks of the lost instances.
	excuseDelay = time.Second
	// An excuse is checked excuseChecks times, each after excuseCheckInterval.
	excuseChecks        = 3
	excuseCheckInterval = time.Second
)

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
	excused := x.takeBroken(now, x.excusableAttempt(now))
	x.brokenAttempts = append(x.brokenAttempts, brokenAttempt{head: u.head(), at: now})
	return excused
}

// excuseCutOff reports whether one of the broken attempts no longer counts against the
// maximum, because its server is cut off from here.
func (x *exchange) excuseCutOff() bool {
	now := clocker.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	return x.takeBroken(now, slices.IndexFunc(x.brokenAttempts, func(b brokenAttempt) bool { return x.f.isCutOff(b.head) }))
}

// isCutOff reports whether a server can't be reached over a path that is cut, and is not
// known to be lost itself.
func (f *Forwarder) isCutOff(in provider.Instance) bool {
	return f.Observer.PathCut() && f.Observer.AnyLostOrRestarted([]provider.Instance{in}) && !f.Observer.LostForAllOrRestarted(in)
}

// takeBroken forgets the broken attempt with that index, and reports whether there is one.
// The caller holds f.mu.
func (x *exchange) takeBroken(now time.Time, i int) bool {
	if i < 0 {
		return false
	}
	e := excuse{f: x.f, request: x.request.ID, attempt: x.brokenAttempts[i], evidence: x.f.Observer.EndEvidence(x.brokenAttempts[i].head)}
	x.brokenAttempts = slices.Delete(x.brokenAttempts, i, i+1)
	e.log(now)
	go e.run()
	return true
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

// excuse says that an attempt no longer counts, and on what evidence.
type excuse struct {
	f        *Forwarder
	request  string
	attempt  brokenAttempt
	evidence observer.EndEvidence
}

func (e excuse) fields() *log.Entry {
	return log.WithFields(log.Fields{
		logger.FieldRequest: e.request, logger.FieldInstance: e.attempt.head.ID, logger.FieldEvidence: e.evidence.Kind.String(),
		"evidence_age_ms": e.evidence.Age.Milliseconds(), "found_here": e.evidence.FoundHere,
	})
}

func (e excuse) log(now time.Time) {
	e.f.metrics.recordExcuse("excuses", e.evidence.Kind)
	e.fields().WithField("broke_ms", milliseconds(e.attempt.at, now)).Info(logger.LineAttemptExcused)
}

// run looks whether the server turns out to have gone on, so that it counts after all.
func (e excuse) run() {
	for range excuseChecks {
		time.Sleep(excuseCheckInterval)
		if e.f.Observer.EndEvidence(e.attempt.head).Kind == observer.NotEnded {
			e.f.metrics.recordExcuse("excuses_refuted", e.evidence.Kind)
			e.fields().Warn(logger.LineExcuseRefuted)
			return
		}
	}
}
