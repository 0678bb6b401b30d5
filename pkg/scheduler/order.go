package scheduler

import "github.com/waxwingmount/waxwingmount/pkg/provider"

//go:generate stringer -type=OrderKind,Outcome -linecomment -output=enum_string.go

// OrderKind is what an instance is told to do.
type OrderKind int

// Kinds of order.
const (
	// Join makes the instance a member of a group.
	Join OrderKind = iota // join
	// Open makes the head of a group take requests.
	Open // open
	// Close makes the head take no more requests and end those it has.
	Close // close
	// Leave makes the instance leave its group at once.
	Leave // leave
)

// Outcome is what became of an order.
type Outcome int

// Outcomes of an order.
const (
	// Unknown says that no answer came; the order may still be carried out.
	Unknown Outcome = iota // unknown
	// Accepted says that the order has begun or is done.
	Accepted // accepted
	// Refused says that the instance will not carry the order out.
	Refused // refused
)

// Order is one order to one instance.
type Order struct {
	Kind     OrderKind
	Instance provider.Instance
	Group    string
	Epoch    uint64
	Model    string
	// Members are the ids of the group's members, the head first.
	Members []string
}
