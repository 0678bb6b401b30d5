package scheduler

import "github.com/waxwingmount/waxwingmount/pkg/tracker"

// ModelStats counts a model's groups by state, and its instances in no group.
type ModelStats struct {
	Forming int
	Open    int
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
