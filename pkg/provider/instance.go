package provider

import (
	"net/netip"
	"time"
)

//go:generate stringer -type=MemberState -linecomment -output=member_state_string.go

// MemberState is the state that an instance reports for its membership of a
// replica group.
type MemberState int

// States of a member.
const (
	// Unattached means that the instance is in no group.
	Unattached MemberState = iota // unattached
	// Joining means that the instance is loading the model's weights.
	Joining // joining
	// MemberReady means that the instance has loaded its part of the model.
	MemberReady // ready
	// Serving means that the instance is the head of a group that admits requests.
	Serving // serving
	// Closing means that the head admits no new requests and finishes those in
	// progress.
	Closing // closing
	// Broken means that the head has given up on its group.
	Broken // broken
)

// Membership is the replica group that an instance belongs to and its state in
// the group, as the instance reports it.
type Membership struct {
	Group string `json:"group,omitempty"`
	// Epoch distinguishes groups of the same name; it increases with every join.
	Epoch uint64 `json:"epoch,omitempty"`
	// Rank is the index in the group's list of members; the head has rank 0.
	Rank  int         `json:"rank,omitempty"`
	State MemberState `json:"state,omitempty"`
}

// MaxSlots and MaxRank are the largest number of requests that an instance may state to run at
// once, and the highest rank in a group that it may state. An entry with a larger number names
// no instance.
const (
	MaxSlots = 1 << 20
	MaxRank  = 1 << 16
)

// Instance is a backend server instance as listed by the platform.
type Instance struct {
	ID string `json:"id"`
	// Incarnation distinguishes the runs of one instance; it changes with every
	// restart.
	Incarnation string `json:"incarnation,omitempty"`
	// Sequence increases with every report of one incarnation, or is zero if the
	// platform does not count them.
	Sequence uint64 `json:"sequence,omitempty"`
	// Service is the name of the service that the instance belongs to.
	Service string `json:"service,omitempty"`
	// Address is the listen address of the instance's model engine.
	Address netip.AddrPort `json:"address"`
	// FabricDomain is the name of the set of instances that share a fast network.
	FabricDomain string `json:"fabric_domain"`
	DataCentre   string `json:"data_centre"`
	// Leaving is set when the platform is about to remove the instance.
	Leaving bool `json:"leaving,omitempty"`
	// Slots is the number of requests that the instance can run concurrently.
	Slots int `json:"slots,omitempty"`
	// Loaded lists the models whose weights are in the accelerator's memory.
	Loaded []string `json:"loaded,omitempty"`
	// Staged lists the models whose weights are in the host's memory.
	Staged     []string   `json:"staged,omitempty"`
	Membership Membership `json:"membership,omitzero"`
	// WarmupStated reports whether the instance's report says how long it is still cold, and
	// WarmupLeft is that time as of the report. A list that peers send holds the time of an
	// earlier report, unless the instance has become cold or warm since.
	WarmupStated bool          `json:"warmup_stated,omitempty"`
	WarmupLeft   time.Duration `json:"warmup_left,omitempty"`
}
