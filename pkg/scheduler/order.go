package scheduler

import (
	"slices"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

//go:generate stringer -type=OrderKind,Outcome,Readiness,Conflict -linecomment -output=enum_string.go

// OrderKind is the operation that an order requests of an instance.
type OrderKind int

// Kinds of order.
const (
	// Join makes the instance a member of a group.
	Join OrderKind = iota // join
	// Open makes the head of a group accept requests.
	Open // open
	// Close makes the head stop accepting requests and finish those in flight.
	Close // close
	// Leave makes the instance leave its group immediately.
	Leave // leave
)

// Outcome is the result of sending an order.
type Outcome int

// Outcomes of an order.
const (
	// Unknown means that no response arrived; the order may still be carried out.
	Unknown Outcome = iota // unknown
	// Accepted means that the order has begun.
	Accepted // accepted
	// Satisfied means that the instance is in the state that the order asks for, whether or
	// not the order was carried out.
	Satisfied // satisfied
	// Conflicting means that the instance had carried out another number of orders than the
	// order is conditional on, or that the order does not fit its state.
	Conflicting // conflicting
	// Refused means that the instance rejected the order for good.
	Refused // refused
	// Misdirected means that another server responded at the instance's address.
	Misdirected // misdirected
	// Withheld means that the order was not sent, since a report did not show a state that
	// it is for.
	Withheld // withheld
)

// Order is an order to one instance.
type Order struct {
	Kind     OrderKind
	Instance provider.Instance
	Group    string
	Epoch    uint64
	Model    string
	// Members holds the IDs of the group's members, the head first.
	Members []string
	// Orders is the number of orders that the instance had carried out when the order was
	// prepared, as far as known. If Conditional is set, the instance carries the order out
	// only if that is still the number.
	Orders      uint64
	Conditional bool
}

// membership returns the membership that a Join order results in.
func (o Order) membership() provider.Membership {
	return provider.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.Instance.ID), State: provider.Joining}
}
