package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// settledView returns a view of instances in domains of 19 that all serve in groups of 4.
func settledView(instances int) (View, []provider.Instance) {
	const domainSize, groupSize = 19, 4
	model := mapper.Model{Name: "m", Size: groupSize, Pace: 1, Share: 1}
	var list []provider.Instance
	for i := range instances {
		membership := provider.Membership{
			Group: tracker.GroupName("m", fmt.Sprint(i/groupSize)), Epoch: 1, Rank: i % groupSize, State: provider.MemberReady,
		}
		if membership.Rank == 0 {
			membership.State = provider.Serving
		}
		list = append(list, provider.Instance{
			ID: fmt.Sprintf("i%05d", i), Incarnation: "1", Service: "s", FabricDomain: fmt.Sprint(i / domainSize), Slots: 14,
			Membership: membership, Loaded: []string{"m"}, Staged: []string{"m"},
		})
	}
	t := tracker.New()
	t.SetServices(map[string]map[string]int{"s": {"m": groupSize}})
	t.Update(time.Unix(1000, 0), 0, list)
	engine := &mapper.Engine{Models: []mapper.Model{model}, Slots: 14, LoadsAtOnce: 4, LoadsPerSecond: 4}
	return View{Tracker: t, Engine: engine, Service: "s", Demand: map[string]float64{"m": 1}}, list
}

// BenchmarkStep measures one step of a scheduler whose groups all serve.
func BenchmarkStep(b *testing.B) {
	for _, instances := range []int{60, 760, 12_000} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			view, _ := settledView(instances)
			s := New(0)
			now := time.Unix(1001, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(150 * time.Millisecond)
				s.Step(now, view)
			}
		})
	}
}

// BenchmarkTrackerUpdate measures one list of which nothing has changed.
func BenchmarkTrackerUpdate(b *testing.B) {
	for _, instances := range []int{60, 760, 12_000} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			view, list := settledView(instances)
			now := time.Unix(1001, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(600 * time.Millisecond)
				view.Tracker.Update(now, 0, list)
			}
		})
	}
}
