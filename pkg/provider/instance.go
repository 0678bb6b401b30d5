package provider

import "net/netip"

//go:generate stringer -type=MemberState -linecomment -output=member_state_string.go

// MemberState is what an instance says of its part in a replica group.
type MemberState int

// States of a member.
const (
	// Unattached says that the instance is in no group.
	Unattached MemberState = iota // unattached
	// Joining says that the instance loads the model's weights.
	Joining // joining
	// MemberReady says that the instance holds its part of the model.
	MemberReady // ready
	// Serving says that the instance is the head of a group that takes requests.
	Serving // serving
	// Closing says that the head takes no new requests and ends the old ones.
	Closing // closing
	// Broken says that the head has given its group up.
	Broken // broken
)

// Membership is an instance's part in a replica group, as it reports it.
type Membership struct {
	Group string `json:"group,omitempty"`
	// Epoch tells groups of one name apart; it rises with every join.
	Epoch uint64 `json:"epoch,omitempty"`
	// Rank is the position in the group's list of members; the head has 0.
	Rank  int         `json:"rank,omitempty"`
	State MemberState `json:"state,omitempty"`
}

// Instance is one backend server instance as the platform lists it.
type Instance struct {
	ID string `json:"id"`
	// Incarnation tells the runs of one instance apart; a restart has another.
	Incarnation string `json:"incarnation,omitempty"`
	// Service names the service that the instance belongs to.
	Service string `json:"service,omitempty"`
	// Address is where the instance's model engine listens.
	Address netip.AddrPort `json:"address"`
	// FabricDomain names the set of instances that share a fast network.
	FabricDomain string `json:"fabric_domain"`
	DataCentre   string `json:"data_centre"`
	// Leaving says that the platform is about to take the instance away.
	Leaving bool `json:"leaving,omitempty"`
	// Slots is how many requests the instance runs at once.
	Slots int `json:"slots,omitempty"`
	// Loaded names the models whose weights are in the accelerator's memory.
	Loaded []string `json:"loaded,omitempty"`
	// Staged names the models whose weights are in the host's memory.
	Staged     []string   `json:"staged,omitempty"`
	Membership Membership `json:"membership,omitzero"`
}
