package reconciler

import (
	"maps"
	"slices"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

// Plan returns the orders that bring engines from what they report to what
// the snapshot says, in order of instance. Engines that did not report get
// none, nor does an engine whose incarnation is not the group's (its group must
// first be changed in the table) or that obeyed a later fence than the
// snapshot knows (the snapshot is old).
func Plan(snapshot grouper.Snapshot, reports map[string]Report) []Order {
	var orders []Order
	for _, instance := range slices.Sorted(maps.Keys(reports)) {
		report := reports[instance]
		group, assigned := snapshot.Groups[snapshot.GroupOf(instance)]
		switch {
		case assigned:
			orders = append(orders, formOrders(group, report)...)
		case report.Group != "" && report.Fence <= snapshot.Fence:
			orders = append(orders, releaseOrder(snapshot.Fence, report))
		}
	}
	return orders
}

func formOrders(group grouper.Group, report Report) []Order {
	if report.Group == group.ID && report.Fence == group.Fence {
		return nil
	}
	if incarnationOf(group, report.Instance) != report.Incarnation {
		return nil
	}
	return []Order{{
		Action:       ActionForm,
		Instance:     report.Instance,
		Incarnation:  report.Incarnation,
		Fence:        group.Fence,
		Group:        group.ID,
		Model:        group.Model,
		ModelVersion: group.ModelVersion,
		Members:      group.Members,
	}}
}

func releaseOrder(fence uint64, report Report) Order {
	return Order{
		Action:      ActionRelease,
		Instance:    report.Instance,
		Incarnation: report.Incarnation,
		Fence:       fence,
	}
}

func incarnationOf(group grouper.Group, instance string) string {
	for _, m := range group.Members {
		if m.Instance == instance {
			return m.Incarnation
		}
	}
	return ""
}
