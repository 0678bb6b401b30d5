package scheduler

import (
	"math"
	"slices"

	"github.com/waxwingmount/waxwingmount/pkg/apportioner"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// ModelStats counts a model's groups by state, and its instances in no group.
type ModelStats struct {
	Forming int
	Open    int
	// Evacuated counts the groups that would be open, but their heads are in evacuated data
	// centres.
	Evacuated int
	// Spread counts the open groups that span several fabric domains.
	Spread int
	// Ending counts the groups that drain or are broken.
	Ending int
	// Ready counts the instances in no group that hold the model's weights.
	Ready int
	// Loading counts the instances in no group that load the model's weights.
	Loading int
	// Lent counts the instances that have yet to load the model in place of another.
	Lent int
}

// Stats returns the counts of each model, by model name.
func (s *Scheduler) Stats() map[string]ModelStats {
	stats := make(map[string]ModelStats)
	for _, g := range s.groups {
		m := stats[g.model.Name]
		switch {
		case !g.brokenSince.IsZero() || !g.drainingSince.IsZero():
			m.Ending++
		case g.opened && g.evacuated:
			m.Evacuated++
		case g.opened:
			m.Open++
			if (tracker.Group{Members: g.members}).Spread() {
				m.Spread++
			}
		default:
			m.Forming++
		}
		stats[g.model.Name] = m
	}
	for model, n := range s.readyCounts {
		m := stats[model]
		m.Ready = n
		stats[model] = m
	}
	for _, l := range s.loading {
		m := stats[l.model]
		m.Loading++
		stats[l.model] = m
	}
	for model := range stats {
		m := stats[model]
		m.Lent = s.countLent(model)
		stats[model] = m
	}
	return stats
}

// Models returns the groups of each model for an [apportioner.Input], without their
// load. An open group across domains counts by its speed; a group counts as forming as
// soon as enough instances load its weights or are to do so.
func (s *Scheduler) Models(v View) []apportioner.Model {
	stats := s.Stats()
	var models []apportioner.Model
	for _, m := range v.Engine.Models {
		state := stats[m.Name]
		models = append(models, apportioner.Model{
			Name: m.Name, Size: m.Size, Load: m.Load, Warm: m.Warm,
			Open:    state.Open - state.Spread + int(math.Ceil(float64(state.Spread)/max(1, v.Engine.SpreadFactor))),
			Forming: state.Forming + (state.Ready+state.Loading+state.Lent)/max(1, m.Size),
			Staged:  countStagedElsewhere(v, m.Name),
		})
	}
	return models
}

// countStagedElsewhere counts the instances that are in a group of another model and
// whose hosts have a model's weights.
func countStagedElsewhere(v View, model string) int {
	count := 0
	for _, in := range v.Tracker.Instances() {
		group := in.Membership.Group
		if in.Service == v.Service && !in.Leaving && !v.Tracker.IsLost(in.ID) && !v.Tracker.Evacuated(in) && group != "" && tracker.ModelOf(group) != model && slices.Contains(in.Staged, model) {
			count++
		}
	}
	return count
}
