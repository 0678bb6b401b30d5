// Package gatekeeper decides whether a replica group may be sent a request. A
// group's gate is open only while fresh evidence covers every instance of the
// group, each in the incarnation and with the group and fence that the group's
// row names. Missing, expired or contradicting evidence closes the gate.
//
// # Usage
//
//	gates := gatekeeper.New(time.Second)
//	gates.Record(gatekeeper.Evidence{Report: report, ObservedAt: sent})
//	if verdict := gates.Check(now, group); !verdict.Open() { ... }
//
// The evidence of a probe is dated from when the probe was sent. Relayed
// evidence is dated from when the query to the relaying peer was sent, less its
// age at that peer. Neither date is later than the observation. After the loss
// of an instance, requests are therefore sent to its group for no longer than the
// TTL of evidence, however long messages are delayed.
package gatekeeper

import (
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

// Evidence is the result of one probe of one instance.
type Evidence struct {
	Report reconciler.Report
	// ObservedAt is a time at or before the moment that the report describes.
	ObservedAt time.Time
	// Lost is set when the instance is known to have stopped. Only the Instance
	// field of the report is used then.
	Lost bool
}

// Gatekeeper holds the newest evidence for each instance. It does no I/O and is
// not safe for concurrent use.
type Gatekeeper struct {
	ttl      time.Duration
	evidence map[string]Evidence
	// suspectedAt holds when an instance was last suspected; evidence that is not
	// newer is stale.
	suspectedAt map[string]time.Time
	// leaving holds the instances that the platform lists as leaving.
	leaving map[string]bool
}

// New returns a Gatekeeper whose evidence expires after ttl.
func New(ttl time.Duration) *Gatekeeper {
	return &Gatekeeper{ttl: ttl, evidence: make(map[string]Evidence), suspectedAt: make(map[string]time.Time)}
}

// SetTTL changes the time after which evidence expires.
func (g *Gatekeeper) SetTTL(ttl time.Duration) { g.ttl = ttl }

// Record stores evidence unless the stored evidence for the instance is as new
// or newer. It reports whether the evidence was stored.
func (g *Gatekeeper) Record(e Evidence) bool {
	current, found := g.evidence[e.Report.Instance]
	if found && !e.ObservedAt.After(current.ObservedAt) {
		return false
	}
	g.evidence[e.Report.Instance] = e
	return true
}

// Suspect makes all evidence for the instance that is not newer than at stale.
// It is for failures that may mean that the instance is lost, such as a broken
// connection.
func (g *Gatekeeper) Suspect(instance string, at time.Time) { g.suspectedAt[instance] = at }

// SetLeaving replaces the set of instances that the platform lists as leaving.
func (g *Gatekeeper) SetLeaving(leaving map[string]bool) { g.leaving = leaving }

// Retain removes the evidence for the instances for which keep returns false.
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

// HasFreshEvidence reports whether there is evidence for the instance that is
// younger than age.
func (g *Gatekeeper) HasFreshEvidence(now time.Time, instance string, age time.Duration) bool {
	e, found := g.evidence[instance]
	return found && now.Sub(e.ObservedAt) < age
}

// Reports returns the unexpired reports of the instances that are not lost, by
// instance ID.
func (g *Gatekeeper) Reports(now time.Time) map[string]reconciler.Report {
	reports := make(map[string]reconciler.Report, len(g.evidence))
	for instance, e := range g.evidence {
		if !e.Lost && now.Sub(e.ObservedAt) < g.ttl {
			reports[instance] = e.Report
		}
	}
	return reports
}

// Check returns whether the group may be sent a request now: the worst verdict
// over all its members, or Draining if all members are available but the group
// is being drained.
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

// checkMember returns the verdict for one member of the group.
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
	case e.Report.Phase != reconciler.PhaseReady:
		return NotReady
	case e.Report.Leaving, g.leaving[member.Instance]:
		return Leaving
	}
	return Open
}
