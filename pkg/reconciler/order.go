// Package reconciler computes the orders that bring the model engines to the
// state that the table specifies. It compares the groups of a snapshot with the
// engines' reports. Orders are idempotent.
//
// # Usage
//
//	orders := reconciler.Plan(snapshot, reports)
//
// An order may be sent only while the remaining term of the sender's lease is at
// least the maximum time that an order is in transit; see package leaser.
package reconciler

import "github.com/waxwingmount/waxwingmount/pkg/grouper"

//go:generate stringer -type=Action,Phase -linecomment -output=enum_string.go

// Action is the operation that an order requests of an engine.
type Action int

// Actions of an order.
const (
	// ActionForm requests that the engine load a model as a member of a group.
	ActionForm Action = iota // form
	// ActionRelease requests that the engine leave its group and unload its model.
	ActionRelease // release
)

// Phase is the load state of an engine.
type Phase int

// Phases of an engine.
const (
	// PhaseIdle means that the engine has no model loaded.
	PhaseIdle Phase = iota // idle
	// PhaseLoading means that the engine is loading its model.
	PhaseLoading // loading
	// PhaseReady means that the engine can process requests.
	PhaseReady // ready
)

// Order is an order to one engine.
type Order struct {
	Action   Action `json:"action"`
	Instance string `json:"instance"`
	// Incarnation identifies the run of the engine that the order is for.
	Incarnation  string           `json:"incarnation"`
	Fence        uint64           `json:"fence"`
	Group        string           `json:"group,omitempty"`
	Model        string           `json:"model,omitempty"`
	ModelVersion string           `json:"model_version,omitempty"`
	Members      []grouper.Member `json:"members,omitempty"`
}

// Report is an engine's response to a probe.
type Report struct {
	Instance     string `json:"instance"`
	Incarnation  string `json:"incarnation"`
	Phase        Phase  `json:"phase"`
	Group        string `json:"group,omitempty"`
	Fence        uint64 `json:"fence,omitempty"`
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	// Leaving reports whether the engine is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// InFlight is the number of requests that the engine is processing; it may be
	// out of date.
	InFlight int `json:"in_flight"`
}
