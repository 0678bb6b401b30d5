// Package gatekeeper decides whether a replica group may be sent a request.
// Permission is positive and short-lived: it stands only while fresh evidence
// covers every instance of the group, each in the incarnation and under the
// fence that the group's row names. Missing, old or contradicting evidence
// closes the gate.
//
// # Usage
//
//	keeper := gatekeeper.New(time.Second)
//	keeper.Record(gatekeeper.Evidence{Report: report, ObservedAt: sent})
//	if verdict := keeper.Check(now, group); !verdict.Open() { ... }
//
// A probe's evidence is dated from the probe's sending, and relayed evidence
// from the sending of the question that it answers, less its age there. Both
// err towards old, so that no request begins later than the time to live
// after the loss of an instance, whatever the delays.
package gatekeeper

import (
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

// Evidence is what one probe found out about one instance.
type Evidence struct {
	Report reconciler.Report
	// ObservedAt is a time at or before the moment that the report describes.
	ObservedAt time.Time
	// Lost says that the instance is known to be gone; of the report only
	// Instance counts then.
	Lost bool
}

// Keeper holds the newest evidence for each instance. It does no I/O and is
// not safe for concurrent use.
type Keeper struct {
	ttl      time.Duration
	evidence map[string]Evidence
	// doubts holds when an instance was last doubted; older evidence is stale.
	doubts map[string]time.Time
	// leaving holds the instances that the platform's list says are leaving.
	leaving map[string]bool
}

// New returns a keeper for which evidence counts for ttl.
func New(ttl time.Duration) *Keeper {
	return &Keeper{ttl: ttl, evidence: make(map[string]Evidence), doubts: make(map[string]time.Time)}
}

// SetTTL changes how long evidence counts.
func (k *Keeper) SetTTL(ttl time.Duration) { k.ttl = ttl }

// Record takes in evidence unless newer evidence is there. It reports whether
// the evidence was taken.
func (k *Keeper) Record(e Evidence) bool {
	held, found := k.evidence[e.Report.Instance]
	if found && !e.ObservedAt.After(held.ObservedAt) {
		return false
	}
	k.evidence[e.Report.Instance] = e
	return true
}

// Doubt makes all evidence for the instance that is not newer than at stale. It
// is for failures that may mean its loss, such as a connection that broke off.
func (k *Keeper) Doubt(instance string, at time.Time) { k.doubts[instance] = at }

// SetLeaving replaces the instances that are leaving by the platform's list.
func (k *Keeper) SetLeaving(leaving map[string]bool) { k.leaving = leaving }

// Forget drops the evidence for instances for which keep says no.
func (k *Keeper) Forget(keep func(instance string) bool) {
	for instance := range k.evidence {
		if !keep(instance) {
			delete(k.evidence, instance)
			delete(k.doubts, instance)
		}
	}
}

// Evidence returns the newest evidence for an instance.
func (k *Keeper) Evidence(instance string) (Evidence, bool) {
	e, found := k.evidence[instance]
	return e, found
}

// Fresh reports whether there is evidence for the instance younger than age.
func (k *Keeper) Fresh(now time.Time, instance string, age time.Duration) bool {
	e, found := k.evidence[instance]
	return found && now.Sub(e.ObservedAt) < age
}

// Reports returns the fresh reports of instances that are not lost.
func (k *Keeper) Reports(now time.Time) map[string]reconciler.Report {
	reports := make(map[string]reconciler.Report, len(k.evidence))
	for instance, e := range k.evidence {
		if !e.Lost && now.Sub(e.ObservedAt) < k.ttl {
			reports[instance] = e.Report
		}
	}
	return reports
}

// Check says whether the group may be sent a request now. The worst verdict
// over all members counts.
func (k *Keeper) Check(now time.Time, group grouper.Group) Verdict {
	worst := Open
	for _, member := range group.Members {
		worst = max(worst, k.checkMember(now, group, member))
	}
	if worst == Open && group.Draining {
		return Draining
	}
	return worst
}

func (k *Keeper) checkMember(now time.Time, group grouper.Group, member grouper.Member) Verdict {
	e, found := k.evidence[member.Instance]
	switch {
	case !found:
		return Unseen
	case e.Lost:
		return Lost
	case e.Report.Incarnation != member.Incarnation:
		return Reborn
	case e.Report.Group != group.ID || e.Report.Fence != group.Fence:
		return Elsewhere
	case now.Sub(e.ObservedAt) >= k.ttl, !e.ObservedAt.After(k.doubts[member.Instance]):
		return Stale
	case e.Report.Phase != reconciler.PhaseReady:
		return NotReady
	case e.Report.Leaving, k.leaving[member.Instance]:
		return Leaving
	}
	return Open
}
