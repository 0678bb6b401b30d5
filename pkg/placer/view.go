// Package placer decides which replica groups to form, repair, drain and
// disband, and assigns instances to them. All members of a group are in one
// fabric domain. Repairs take precedence over new groups, and members are moved
// only where a repair requires it.
//
// # Usage
//
//	p := placer.New()
//	for _, decision := range p.Step(now, placer.View{...}) {
//		commit(decision)
//	}
//
// Package grouper turns the decisions into guarded transactions, so that the
// table rejects a decision based on an outdated view.
package placer

import (
	"net/netip"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

//go:generate stringer -type=DecisionKind -linecomment -output=enum_string.go

// Model is the desired state of one model.
type Model struct {
	Name              string
	Version           string
	InstancesPerGroup int
	Groups            int
}

// Instance is the observed state of one instance.
type Instance struct {
	ID           string
	Address      netip.AddrPort
	FabricDomain string
	DataCentre   string
	// Incarnation is the incarnation last reported, or empty.
	Incarnation string
	// Alive reports whether there is recent evidence that the instance runs.
	Alive bool
	// ConfirmedLost reports whether the instance is known to be lost, so that it
	// is replaced without waiting for RepairDelay.
	ConfirmedLost bool
	// Ready reports whether the instance's engine can process requests.
	Ready bool
	// Leaving reports whether the instance is about to stop.
	Leaving bool
	// Idle reports whether the instance, as a head, has no request in flight.
	Idle bool
}

// Settings configures the trade-off between capacity, stability and repair time.
type Settings struct {
	// Spares is the number of unassigned instances to keep in each fabric domain
	// as long as no group is missing.
	Spares int
	// RepairDelay is how long an instance must be lost before it is replaced.
	RepairDelay time.Duration
	// MinDrainTime is the minimum time for which a group drains before it is
	// disbanded.
	MinDrainTime time.Duration
}

// View is the input of [Placer.Step].
type View struct {
	Settings  Settings
	Models    []Model
	Instances []Instance
	Groups    []grouper.Group
}

// DecisionKind is the operation to apply to a group.
type DecisionKind int

// Kinds of decision.
const (
	// Form creates a group.
	Form DecisionKind = iota // form
	// Replace changes the members of a group or updates their incarnations.
	Replace // replace
	// Drain stops a group from taking new requests.
	Drain // drain
	// Disband deletes a group and releases its instances.
	Disband // disband
)

// Decision is one change to one group.
type Decision struct {
	Kind DecisionKind
	// Group is the desired state of the group; Drain and Disband use only its ID.
	Group grouper.Group
	// Reason explains the decision in logs.
	Reason string
}
