package forwarder

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/screener"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// noteStatements records what a server says of itself in a response, whatever else is
// wrong with it. Another server at the address speaks for itself only.
func (f *Forwarder) noteStatements(in provider.Instance, metadata ResponseMetadata) {
	if metadata.Misdirected {
		return
	}
	if metadata.Leaving {
		f.Observer.HandleLeaving(in)
	}
	if metadata.Leaving || metadata.Verified || metadata.NotRun {
		f.mu.Lock()
		f.screener.NoteAnswer(clocker.Now(), limitKey(in), metadata.Leaving)
		f.mu.Unlock()
	}
	if metadata.DeferralErr != nil {
		log.WithField(logger.FieldInstance, in.ID).WithError(metadata.DeferralErr).Warn("time to wait of a server ignored")
	}
	if metadata.Deferral <= 0 || !metadata.NotRun {
		return
	}
	f.mu.Lock()
	changed := f.screener.Defer(clocker.Now(), limitKey(in), metadata.Deferral)
	f.mu.Unlock()
	if changed {
		f.metrics.deferrals.Inc(1)
		log.WithFields(log.Fields{logger.FieldInstance: in.ID, "wait_ms": metadata.Deferral.Milliseconds()}).Info(logger.LineServerDeferral)
	}
}

// screen returns whether the head of an upstream may be sent a request, and until when
// not. The caller holds f.mu.
func (f *Forwarder) screen(now time.Time, u *upstream) (screener.Verdict, time.Time) {
	head := u.head()
	return f.screener.Screen(now, limitKey(head), screener.Evidence{
		EjectedUntil: u.ejectedUntil, NoPermit: f.permits.lacks(now, head), Cold: !f.warmUps.warmer.Allowed(now, limitKey(head)),
	})
}

// confirmServer waits a short time for a newer list if the one that names the head of an
// upstream is so old that the head may have begun to leave, unless the head itself has
// answered since. What is known of the evacuations is confirmed likewise, since the server
// does not know of them. Without newer state the request is sent all the same.
func (f *Forwarder) confirmServer(ctx context.Context, u *upstream) {
	if ttl := f.settings.Load().EvacuationTTL; ttl > 0 {
		f.Observer.AwaitEvacuations(ctx, time.Duration(viewAgeFraction*float64(ttl)), viewPatience)
	}
	maxAge := time.Duration(viewAgeFraction * float64(f.settings.Load().LeavingTTL))
	if maxAge <= 0 {
		return
	}
	f.mu.Lock()
	answered := f.screener.HasAnswered(clocker.Now(), limitKey(u.head()), maxAge)
	f.mu.Unlock()
	if !answered {
		f.Observer.AwaitList(ctx, maxAge, viewPatience)
	}
}

// isDeferred reports whether the head of an upstream wants nothing at this moment.
func (f *Forwarder) isDeferred(u *upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	verdict, _ := f.screener.Screen(clocker.Now(), limitKey(u.head()), screener.Evidence{})
	return verdict == screener.Deferred
}

// deferredUntil returns the earliest time at which a server of a pool wants requests
// again, if all that could be sent one want none until then.
func (f *Forwarder) deferredUntil(config *mapper.RouteTable, key poolKey) (time.Time, bool) {
	destinations := f.destinations(config, key)
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var earliest time.Time
	for _, d := range destinations {
		verdict, until := f.screen(now, f.upstreamFor(now, d))
		if verdict != screener.Deferred {
			return time.Time{}, false
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest, len(destinations) > 0
}

// verdicts counts the servers of a pool by the verdict on them, for the log of a request
// that found none.
func (f *Forwarder) verdicts(key poolKey) map[string]int {
	var instances []provider.Instance
	lost, evacuated := make(map[string]bool), make(map[string]bool)
	f.Observer.WithTracker(func(t *tracker.Tracker) {
		for _, in := range t.Instances() {
			if in.Service == key.service && (key.model == "" || leads(in, key.model)) {
				instances = append(instances, in)
				lost[in.ID], evacuated[in.ID] = t.IsLost(in.ID), t.Evacuated(in)
			}
		}
	})
	counts := make(map[string]int)
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, in := range instances {
		e := screener.Evidence{
			Lost: lost[in.ID], Leaving: in.Leaving, Evacuated: evacuated[in.ID], NoPermit: f.permits.lacks(now, in),
			Cold: !f.warmUps.warmer.Allowed(now, limitKey(in)),
		}
		if u, found := f.upstreams[upstreamName(in, key)]; found {
			e.EjectedUntil = u.ejectedUntil
		}
		verdict, _ := f.screener.Screen(now, limitKey(in), e)
		counts[verdict.String()]++
	}
	return counts
}

// leads reports whether an instance is the head of a group of a model.
func leads(in provider.Instance, model string) bool {
	m := in.Membership
	return m.Group != "" && m.Rank == 0 && m.State == provider.Serving && tracker.ModelOf(m.Group) == model
}

// upstreamName returns the name of the upstream that an instance serves in a pool.
func upstreamName(in provider.Instance, key poolKey) string {
	if key.model != "" {
		return in.Membership.Group
	}
	return in.ID
}
