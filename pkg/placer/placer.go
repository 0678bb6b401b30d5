package placer

import (
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

// Placer holds the times since which instances have been lost and groups have
// been draining. It does no I/O and is not safe for concurrent use.
type Placer struct {
	lostSince     map[string]time.Time
	drainingSince map[string]time.Time
}

// New returns a placer without recorded losses or drains.
func New() *Placer {
	return &Placer{lostSince: make(map[string]time.Time), drainingSince: make(map[string]time.Time)}
}

// Step returns the changes to make now. It returns none if so many instances
// are lost that the observer itself is probably partitioned.
func (p *Placer) Step(now time.Time, view View) []Decision {
	p.updateTimers(now, view)
	if !enoughAlive(view) {
		return nil
	}
	s := &step{placer: p, now: now, view: view, instances: make(map[string]Instance)}
	s.indexInstances()
	s.repair()
	for _, model := range view.Models {
		s.reconcileModel(model)
	}
	s.removeUnconfigured()
	return s.decisions
}

// maxLostShare is the fraction of lost instances above which the observer is
// assumed to be partitioned.
const maxLostShare = 0.5

// enoughAlive reports whether enough instances are alive for the view to be
// acted on. Group members that are not listed count as lost.
func enoughAlive(view View) bool {
	listed := make(map[string]bool, len(view.Instances))
	total, lost := len(view.Instances), 0
	for _, in := range view.Instances {
		listed[in.ID] = true
		if !in.Alive {
			lost++
		}
	}
	for _, g := range view.Groups {
		for _, m := range g.Members {
			if !listed[m.Instance] {
				total++
				lost++
			}
		}
	}
	return float64(lost) <= maxLostShare*float64(total)
}

// updateTimers records when losses and drains were first observed, and removes
// those that have ended. A group with a leaving member counts as draining.
func (p *Placer) updateTimers(now time.Time, view View) {
	lost := make(map[string]time.Time)
	for _, in := range view.Instances {
		if in.Alive {
			continue
		}
		since, known := p.lostSince[in.ID]
		if !known {
			since = now
		}
		lost[in.ID] = since
	}
	draining := make(map[string]time.Time)
	for _, g := range view.Groups {
		if !g.Draining && !hasLeavingMember(view, g) {
			continue
		}
		since, known := p.drainingSince[g.ID]
		if !known {
			since = now
		}
		draining[g.ID] = since
	}
	p.lostSince, p.drainingSince = lost, draining
}

// hasLeavingMember reports whether a member of the group is about to stop.
func hasLeavingMember(view View, g grouper.Group) bool {
	for _, in := range view.Instances {
		if in.Leaving && g.HasMember(in.ID) {
			return true
		}
	}
	return false
}

// step is the working state of one call of [Placer.Step].
type step struct {
	placer    *Placer
	now       time.Time
	view      View
	instances map[string]Instance
	// unassigned holds the instances available for groups, sorted by ID, by fabric
	// domain.
	unassigned map[string][]Instance
	decisions  []Decision
}

// indexInstances fills instances and unassigned.
func (s *step) indexInstances() {
	assigned := make(map[string]bool)
	for _, g := range s.view.Groups {
		for _, m := range g.Members {
			assigned[m.Instance] = true
		}
	}
	s.unassigned = make(map[string][]Instance)
	for _, in := range s.view.Instances {
		s.instances[in.ID] = in
		if !assigned[in.ID] && in.Alive && !in.Leaving {
			s.unassigned[in.FabricDomain] = append(s.unassigned[in.FabricDomain], in)
		}
	}
	for _, instances := range s.unassigned {
		slices.SortFunc(instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	}
}

func (s *step) addDecision(kind DecisionKind, g grouper.Group, reason string) {
	s.decisions = append(s.decisions, Decision{Kind: kind, Group: g, Reason: reason})
}

// takeUnassigned removes an instance of a domain from unassigned and returns it.
func (s *step) takeUnassigned(domain string) (Instance, bool) {
	instances := s.unassigned[domain]
	if len(instances) == 0 {
		return Instance{}, false
	}
	s.unassigned[domain] = instances[1:]
	return instances[0], true
}

func newMember(in Instance) grouper.Member {
	return grouper.Member{Instance: in.ID, Incarnation: in.Incarnation, Address: in.Address}
}
