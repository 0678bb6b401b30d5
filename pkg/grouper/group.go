// Package grouper defines replica groups and builds the guarded transactions
// that change them. A group's row and the assignment rows of all its instances
// change in one transaction, which is guarded by the versions of all those rows.
// An instance is therefore never assigned to two groups, even if several processes
// change groups at once or the reply to a commit is lost.
//
// # Usage
//
//	snapshot, err := grouper.Load(ctx, table)
//	tx, err := grouper.Form(snapshot, grouper.Group{...}, operationID)
//	outcome, err := table.Commit(ctx, tx)
//
// The functions that build transactions do no I/O.
package grouper

import (
	"net/netip"
)

// Member is one instance of a group, as it was when it was assigned to the group.
type Member struct {
	Instance string `json:"instance"`
	// Incarnation identifies one run of the instance's engine; it changes with
	// every restart.
	Incarnation string         `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
}

// Group is a replica group: the instances that together hold one copy of a model.
type Group struct {
	ID string `json:"id"`
	// Fence is the fencing token of the group's last change of members. Every change
	// of any group increases the highest fence, and engines can refuse orders with a
	// lower fence than that of the last order that they accepted.
	Fence        uint64 `json:"fence"`
	Model        string `json:"model"`
	ModelVersion string `json:"model_version"`
	FabricDomain string `json:"fabric_domain"`
	DataCentre   string `json:"data_centre"`
	// Members holds the instances of the group, the head first.
	Members []Member `json:"members"`
	// Draining is set when the group accepts no new requests.
	Draining bool `json:"draining,omitempty"`
	// Pinned is set when an operator created the group. The control loop neither
	// moves nor disbands a pinned group.
	Pinned bool `json:"pinned,omitempty"`
}

// Head returns the member that receives the group's requests.
func (g Group) Head() Member { return g.Members[0] }

// HasMember reports whether the instance is a member.
func (g Group) HasMember(instance string) bool {
	for _, m := range g.Members {
		if m.Instance == instance {
			return true
		}
	}
	return false
}
