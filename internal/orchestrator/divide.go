package orchestrator

import (
	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/apportioner"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/scheduler"
)

// divide sets the division of a service's instances among its models in the view, if
// there is a source of loads. The caller holds the lock.
func (o *Orchestrator) divide(s *scheduler.Scheduler, view *scheduler.View, loads map[string]estimator.ModelLoad) {
	if o.Loads == nil || view.Idle {
		return
	}
	a := o.apportioners[view.Service]
	if a == nil {
		a = apportioner.New()
		o.apportioners[view.Service] = a
	}
	in := apportioner.Input{Reported: loads != nil, Models: s.Models(*view)}
	domains := make(map[string]int)
	for _, instance := range view.Tracker.Instances() {
		if instance.Service == view.Service && !instance.Leaving && !view.Tracker.IsLost(instance.ID) && !view.Tracker.Evacuated(instance) {
			in.Instances++
			domains[instance.FabricDomain]++
		}
	}
	domainSize := 0
	for _, n := range domains {
		domainSize = max(domainSize, n)
	}
	for i := range in.Models {
		m, load := &in.Models[i], loads[in.Models[i].Name]
		m.Offered, m.Arrived, m.Missed = load.Offered, load.Arrived, load.Missed
		m.UsableShare = estimator.UsableShare(domainSize, m.Size, estimator.UnavailableShare)
	}
	result := a.Divide(clocker.Now(), in)
	view.Wanted, view.Moves = result.Wanted, result.Moves
}
