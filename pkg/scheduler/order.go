package scheduler

import "github.com/waxwingmount/waxwingmount/pkg/provider"

//go:generate stringer -type=OrderKind,Outcome -linecomment -output=enum_string.go

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
	// Accepted means that the order was carried out or is in progress.
	Accepted // accepted
	// Refused means that the instance rejected the order.
	Refused // refused
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
}
