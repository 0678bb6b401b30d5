// Package reconciler decides which orders to send to model engines so that they
// come to be what the table says. It compares the groups of a snapshot with
// what the engines report of themselves; sending an order twice is harmless.
//
// # Usage
//
//	orders := reconciler.Plan(snapshot, reports)
//
// An order is sent only while the sender's lease has at least the longest
// flight of an order left; see package leaser.
package reconciler

import "github.com/waxwingmount/waxwingmount/pkg/grouper"

//go:generate stringer -type=Action,Phase -linecomment -output=enum_string.go

// Action is what an order asks of an engine.
type Action int

// Actions of an order.
const (
	// ActionForm asks the engine to load a model as a member of a group.
	ActionForm Action = iota // form
	// ActionRelease asks the engine to drop its model and be free.
	ActionRelease // release
)

// Phase is how far an engine has come.
type Phase int

// Phases of an engine.
const (
	// PhaseIdle says that the engine holds no model.
	PhaseIdle Phase = iota // idle
	// PhaseLoading says that the engine is loading its model.
	PhaseLoading // loading
	// PhaseReady says that the engine can run requests.
	PhaseReady // ready
)

// Order is one order to one engine.
type Order struct {
	Action   Action `json:"action"`
	Instance string `json:"instance"`
	// Incarnation is the run of the engine that the order is meant for.
	Incarnation  string           `json:"incarnation"`
	Fence        uint64           `json:"fence"`
	Group        string           `json:"group,omitempty"`
	Model        string           `json:"model,omitempty"`
	ModelVersion string           `json:"model_version,omitempty"`
	Members      []grouper.Member `json:"members,omitempty"`
}

// Report is what an engine says of itself when it is probed.
type Report struct {
	Instance     string `json:"instance"`
	Incarnation  string `json:"incarnation"`
	Phase        Phase  `json:"phase"`
	Group        string `json:"group,omitempty"`
	Fence        uint64 `json:"fence,omitempty"`
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	// Leaving says that the engine is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// InFlight counts the requests that the engine holds; it may lag.
	InFlight int `json:"in_flight"`
}
