// Package placer decides which replica groups to form, repair, drain and
// disband, and from which instances. Groups stay inside one fabric domain.
// Repairs go first; what needs no move is not moved.
//
// # Usage
//
//	p := placer.New()
//	for _, decision := range p.Step(now, placer.View{...}) {
//		commit(decision)
//	}
//
// The decisions become guarded transactions of package grouper, so that a
// decision from an old view is refused by the table.
package placer

import (
	"net/netip"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

//go:generate stringer -type=DecisionKind -linecomment -output=enum_string.go

// Model is what is wanted of one model.
type Model struct {
	Name              string
	Version           string
	InstancesPerGroup int
	Groups            int
}

// Instance is what is known of one instance.
type Instance struct {
	ID           string
	Address      netip.AddrPort
	FabricDomain string
	DataCentre   string
	// Incarnation is the run that was last heard of, or empty.
	Incarnation string
	// Alive says that fresh evidence shows the instance.
	Alive bool
	// ConfirmedLost says that the instance is proved lost, so that no delay is needed.
	ConfirmedLost bool
	// Ready says that the instance's engine can run requests.
	Ready bool
	// Leaving says that the instance is about to stop.
	Leaving bool
	// Idle says that the instance, as a head, has no request in flight.
	Idle bool
}

// Settings weigh the users' measures.
type Settings struct {
	// Spares is how many free instances to keep in each fabric domain while no
	// group is missing.
	Spares int
	// RepairDelay is how long an instance must be lost before it is replaced.
	RepairDelay time.Duration
	// MinDrainTime is how long a group drains at least before it is disbanded.
	MinDrainTime time.Duration
}

// View is all that a step looks at.
type View struct {
	Settings  Settings
	Models    []Model
	Instances []Instance
	Groups    []grouper.Group
}

// DecisionKind is what to do with a group.
type DecisionKind int

// Kinds of decision.
const (
	// Form makes a new group.
	Form DecisionKind = iota // form
	// Replace gives a group other members, or the same in new incarnations.
	Replace // replace
	// Drain stops a group from taking new requests.
	Drain // drain
	// Disband ends a group and frees its instances.
	Disband // disband
)

// Decision is one change of one group.
type Decision struct {
	Kind DecisionKind
	// Group is the group as it shall be; for Drain and Disband only its ID counts.
	Group grouper.Group
	// Reason is for people.
	Reason string
}
