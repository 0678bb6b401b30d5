package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// newSpreadScheduler returns a scheduler with open groups of two members, each
// across two domains.
func newSpreadScheduler(groups int) (*Scheduler, View, inventory) {
	model := mapper.Model{Name: "m", Size: 2}
	s, inv := New(0), newInventory()
	for i := range groups {
		g := &group{name: fmt.Sprintf("m~%d", i), model: model, opened: true}
		for side := range model.Size {
			domain := fmt.Sprintf("d%d", (i+side)%groups)
			g.members = append(g.members, provider.Instance{ID: fmt.Sprintf("%d-%d", i, side), FabricDomain: domain})
			inv.addHolder(model.Name, domain)
		}
		s.groups[g.name] = g
	}
	return s, View{Engine: &mapper.Engine{Models: []mapper.Model{model}}}, inv
}

// TestCompactionScalesWithGroupCount guards against compaction that is too slow
// after many losses have left groups across domains. The number of groups drained
// at a time must grow with the number of groups, but never exceed a small fraction
// of them.
func TestCompactionScalesWithGroupCount(t *testing.T) {
	for open, maxDraining := range map[int]int{6: maxGroupsPerReplacement, 15: maxGroupsPerReplacement, 48: 6, 96: 12} {
		s, v, inv := newSpreadScheduler(open)
		now := time.Unix(1_800_000_000, 0)
		for range open {
			s.compact(now, v, inv)
		}
		_, ending := s.countOpenAndEnding("m")
		assert.Assert(t, ending > 0 && ending <= maxDraining, "%d open, %d draining at once", open, ending)
		assert.Assert(t, open < 48 || ending > maxGroupsPerReplacement, "%d open, %d draining at once", open, ending)
	}
}
