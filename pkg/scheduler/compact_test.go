package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// scattered returns a former with open groups of two, each across two domains.
func scattered(groups int) (*Scheduler, View, inventory) {
	model := mapper.Model{Name: "m", Size: 2}
	f, s := New(0), newInventory()
	for i := range groups {
		g := &group{name: fmt.Sprintf("m~%d", i), model: model, opened: true}
		for side := range model.Size {
			domain := fmt.Sprintf("d%d", (i+side)%groups)
			g.members = append(g.members, provider.Instance{ID: fmt.Sprintf("%d-%d", i, side), FabricDomain: domain})
			s.addHolder(model.Name, domain)
		}
		f.groups[g.name] = g
	}
	return f, View{Engine: &mapper.Engine{Models: []mapper.Model{model}}}, s
}

// TestCompactionGoesWithTheSize is an installation whose groups lie scattered
// after many losses: the larger it is, the more groups may be ended at a time,
// and never many of them.
func TestCompactionGoesWithTheSize(t *testing.T) {
	for open, most := range map[int]int{6: maxGroupsPerReplacement, 15: maxGroupsPerReplacement, 48: 6, 96: 12} {
		f, v, s := scattered(open)
		now := time.Unix(1_800_000_000, 0)
		for range open {
			f.compact(now, v, s)
		}
		_, ending := f.countOpenAndEnding("m")
		assert.Assert(t, ending > 0 && ending <= most, "%d open, %d ended at a time", open, ending)
		assert.Assert(t, open < 48 || ending > maxGroupsPerReplacement, "%d open, %d ended at a time", open, ending)
	}
}
