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
	"github.com/waxwingmount/waxwingmount/pkg/orderer"
)

// Evidence is what one probe found out about one instance.
type Evidence struct {
	Report orderer.Report
	// ObservedAt is a time at or before the moment that the report describes.
	ObservedAt time.Time
	// Lost says that the instance is known to be gone; of the report only
	// Instance counts then.
	Lost bool
}

// Gatekeeper holds the newest evidence for each instance. It does no I/O and is
// not safe for concurrent use.
type Gatekeeper struct {
	ttl      time.Duration
	evidence map[string]Evidence
	// suspectedAt holds when an instance was last doubted; older evidence is stale.
	suspectedAt map[string]time.Time
	// leaving holds the instances that the platform's list says are leaving.
	leaving map[string]bool
}

// New returns a keeper for which evidence counts for ttl.
func New(ttl time.Duration) *Gatekeeper {
	return &Gatekeeper{ttl: ttl, evidence: make(map[string]Evidence), suspectedAt: make(map[string]time.Time)}
}

// SetTTL changes how long evidence counts.
func (g *Gatekeeper) SetTTL(ttl time.Duration) { g.ttl = ttl }

// Record takes in evidence unless newer evidence is there. It reports whether
// the evidence was taken.
func (g *Gatekeeper) Record(e Evidence) bool {
	current, found := g.evidence[e.Report.Instance]
	if found && !e.ObservedAt.After(current.ObservedAt) {
		return false
	}
	g.evidence[e.Report.Instance] = e
	return true
}

// Suspect makes all evidence for the instance that is not newer than at stale. It
// is for failures that may mean its loss, such as a connection that broke off.
func (g *Gatekeeper) Suspect(instance string, at time.Time) { g.suspectedAt[instance] = at }

// SetLeaving replaces the instances that are leaving by the platform's list.
func (g *Gatekeeper) SetLeaving(leaving map[string]bool) { g.leaving = leaving }

// Retain drops the evidence for instances for which keep says no.
func (g *Gatekeeper) Retain(keep func(instance string) bool) {
	for instance := range g.evidence {
		if !keep(instance) {
			delete(g.evidence, instance)
			delete(g.suspectedAt, instance)
		}
	}
}

// Evidence returns the newest evidence for an instance.
func (g *Gatekeeper) Evidence(instance string) (Evidence, bool) {
	e, found := g.evidence[instance]
	return e, found
}

// HasFreshEvidence reports whether there is evidence for the instance younger than age.
func (g *Gatekeeper) HasFreshEvidence(now time.Time, instance string, age time.Duration) bool {
	e, found := g.evidence[instance]
	return found && now.Sub(e.ObservedAt) < age
}

// Reports returns the fresh reports of instances that are not lost.
func (g *Gatekeeper) Reports(now time.Time) map[string]orderer.Report {
	reports := make(map[string]orderer.Report, len(g.evidence))
	for instance, e := range g.evidence {
		if !e.Lost && now.Sub(e.ObservedAt) < g.ttl {
			reports[instance] = e.Report
		}
	}
	return reports
}

// Check says whether the group may be sent a request now. The worst verdict
// over all members counts.
func (g *Gatekeeper) Check(now time.Time, group grouper.Group) Verdict {
	worst := Open
	for _, member := range group.Members {
		worst = max(worst, g.checkMember(now, group, member))
	}
	if worst == Open && group.Draining {
		return Draining
	}
	return worst
}

func (g *Gatekeeper) checkMember(now time.Time, group grouper.Group, member grouper.Member) Verdict {
	e, found := g.evidence[member.Instance]
	switch {
	case !found:
		return Unseen
	case e.Lost:
		return Lost
	case e.Report.Incarnation != member.Incarnation:
		return Restarted
	case e.Report.Group != group.ID || e.Report.Fence != group.Fence:
		return GroupMismatch
	case now.Sub(e.ObservedAt) >= g.ttl, !e.ObservedAt.After(g.suspectedAt[member.Instance]):
		return Stale
	case e.Report.Phase != orderer.PhaseReady:
		return NotReady
	case e.Report.Leaving, g.leaving[member.Instance]:
		return Leaving
	}
	return Open
}
