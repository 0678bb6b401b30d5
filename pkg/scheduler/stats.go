package scheduler

import "github.com/waxwingmount/waxwingmount/pkg/tracker"

// ModelStats counts a model's groups by how far they are.
type ModelStats struct {
	Forming int
	Open    int
	// Spread counts the open groups that are not in one fabric domain.
	Spread int
	Ending int
	// Ready and Loading count the instances in no group, with the model's
	// weights and on the way to them.
	Ready   int
	Loading int
}

// Stats counts the groups of each model.
func (f *Scheduler) Stats() map[string]ModelStats {
	tallies := make(map[string]ModelStats)
	for _, g := range f.groups {
		t := tallies[g.model.Name]
		switch {
		case !g.brokenSince.IsZero() || !g.drainingSince.IsZero():
			t.Ending++
		case g.opened:
			t.Open++
			if (tracker.Group{Members: g.members}).Spread() {
				t.Spread++
			}
		default:
			t.Forming++
		}
		tallies[g.model.Name] = t
	}
	for model, n := range f.readyCounts {
		t := tallies[model]
		t.Ready = n
		tallies[model] = t
	}
	for _, l := range f.loading {
		t := tallies[l.model]
		t.Loading++
		tallies[l.model] = t
	}
	return tallies
}
