// Package grouper defines replica groups and builds the guarded transactions
// that change them. A group's row and the rows of all its instances change
// together, and each instance's row is guarded, so that no instance can be
// assigned to two groups whoever races and whichever reply is lost.
//
// # Usage
//
//	snapshot, err := grouper.Load(ctx, table)
//	tx, err := grouper.Form(snapshot, grouper.Spec{...}, operationID)
//	outcome, err := table.Commit(ctx, tx)
//
// The functions that build transactions do no I/O.
package grouper

import (
	"net/netip"
)

// Member is one instance of a group, as it was when the group was formed.
type Member struct {
	Instance string `json:"instance"`
	// Incarnation names one run of the instance's engine; a restart has a new one.
	Incarnation string         `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
}

// Group is a replica group: the instances that together hold one copy of a model.
type Group struct {
	ID string `json:"id"`
	// Fence rises with every change of any group; engines can refuse lower ones.
	Fence        uint64 `json:"fence"`
	Model        string `json:"model"`
	ModelVersion string `json:"model_version"`
	FabricDomain string `json:"fabric_domain"`
	DataCentre   string `json:"data_centre"`
	// Members holds the head first.
	Members []Member `json:"members"`
	// Draining says that the group takes no new requests.
	Draining bool `json:"draining,omitempty"`
	// Pinned says that an operator made the group, so that the control loop
	// neither moves nor disbands it.
	Pinned bool `json:"pinned,omitempty"`
}

// Head returns the member that takes the group's requests.
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
