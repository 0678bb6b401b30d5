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
	// excuseDelay is how long a server must have been lost for an attempt at it to be excused:
	// two rechecks of the lost instances, and longer than a sound server falls silent.
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
	excused := x.takeBroken(now, x.excusableAttempt())
	x.brokenAttempts = append(x.brokenAttempts, brokenAttempt{head: u.head(), at: now})
	return excused
}

// excuseEnded reports whether one of the broken attempts no longer counts against the maximum
// by now.
func (x *exchange) excuseEnded() bool {
	now := clocker.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	return x.takeBroken(now, x.excusableAttempt())
}

// hasEnded reports whether the requests at a server have ended with it, or can't be reached
// from here any more. A loss and a cut are beliefs, which a slow entry instance comes to
// wrongly, so they are confirmed first.
func (f *Forwarder) hasEnded(in provider.Instance) bool {
	evidence := f.Observer.EndEvidence(in)
	if evidence.Kind == observer.Restarted {
		return true
	}
	if !mayHaveEnded(evidence) || !f.Observer.Silent(in) {
		return false
	}
	return evidence.Kind == observer.CutOff || evidence.Age >= excuseDelay
}

// mayHaveEnded reports whether it will soon be known if the requests at a server have ended.
func mayHaveEnded(e observer.EndEvidence) bool {
	switch e.Kind {
	case observer.NotEnded:
		return false
	case observer.LostForAll:
		return e.Age >= excuseDelay-verdictWait
	}
	return true
}

// awaitsVerdict reports whether one of the broken attempts may soon be known not to count. The
// caller holds f.mu.
func (x *exchange) awaitsVerdict() bool {
	return slices.ContainsFunc(x.brokenAttempts, func(b brokenAttempt) bool {
		return !x.isReplaced(b) && mayHaveEnded(x.f.Observer.EndEvidence(b.head))
	})
}

// isReplaced reports whether a broken attempt is the one that is being replaced, and so goes
// on.
func (x *exchange) isReplaced(b brokenAttempt) bool {
	return x.counted != nil && x.counted.head().ID == b.head.ID
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

// excusableAttempt returns the index of a broken attempt that need not count against the
// maximum, because its server has ended or is cut off from here, or -1. The caller holds f.mu.
func (x *exchange) excusableAttempt() int {
	return slices.IndexFunc(x.brokenAttempts, func(b brokenAttempt) bool { return !x.isReplaced(b) && x.f.hasEnded(b.head) })
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
