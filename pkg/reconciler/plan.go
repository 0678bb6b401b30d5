package reconciler

import (
	"maps"
	"slices"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

// Plan returns the orders that bring the engines from their reported state to
// that of the snapshot, sorted by instance. It returns no order for an engine
// that did not report, that runs in another incarnation than its group records
// (the table must be updated first), or that is to be released but has accepted
// a higher fence than the snapshot's (the snapshot is out of date).
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

// formOrders returns the order that makes an engine a member of the group, or
// nothing if the engine already is one or runs in another incarnation.
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
