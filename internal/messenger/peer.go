package messenger

import (
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

// PeerService is the name under which the methods below are called.
const PeerService = "Peer"

// Methods of the peer service.
const (
	MethodExchange = PeerService + ".Exchange"
	MethodEvidence = PeerService + ".Evidence"
	MethodStrike   = PeerService + ".Strike"
	MethodConfig   = PeerService + ".Config"
	MethodGroups   = PeerService + ".Groups"
	MethodAllot    = PeerService + ".Allot"
	MethodStrikes  = PeerService + ".Strikes"
	MethodLeave    = PeerService + ".Leave"
	MethodLoad     = PeerService + ".Load"
	MethodLosses   = PeerService + ".Losses"
	MethodNews     = PeerService + ".News"
)

// Empty is an empty argument.
type Empty struct{}

// ExchangeMessage is a digest with the newest versions that its sender knows.
type ExchangeMessage struct {
	Digest gossiper.Digest
	// Uptime is how long the sender's process has run.
	Uptime time.Duration
	// Head is the configuration that the sender runs.
	Head configurer.Head
	// Fence is the highest fence of the groups that the sender knows.
	Fence uint64
}

// RelayedEvidence is evidence from a peer's own probe. It carries an age in
// place of a time, since clocks differ.
type RelayedEvidence struct {
	Report reconciler.Report
	Age    time.Duration
	Lost   bool
}

// EvidenceArguments names the groups for whose members evidence is wanted.
type EvidenceArguments struct {
	Groups []string
}

// EvidenceReply is the evidence from a peer's own probes of those members.
type EvidenceReply struct {
	Evidence []RelayedEvidence
}

// StrikeMessage tells of requests that crash back ends. The reply holds what
// the receiver knows of the same fingerprints.
type StrikeMessage struct {
	Strikes []quarantiner.Strike
}

// ConfigReply is the configuration that a peer runs.
type ConfigReply struct {
	Head    configurer.Head
	Content configurer.Content
}

// GroupsReply is the snapshot of the groups that a peer has.
type GroupsReply struct {
	Rows []provider.Row
}

// AllotArguments asks an organisation's home for a part of its rate.
type AllotArguments struct {
	Organisation string
	Demand       limiter.Demand
}

// AllotReply is that part, with its time to live.
type AllotReply struct {
	PerSecond float64
	TTL       time.Duration
}

// LoadMessage tells what its sender has under way.
type LoadMessage struct {
	From string
	// DataCentre is set if Works is the sum of that data centre.
	DataCentre string
	// Works holds what is under way, by the name of where it runs.
	Works map[string]estimator.Work
}

// Loss names one run of an instance that is gone.
type Loss struct {
	Instance    string
	Incarnation string
}

// LossesMessage tells of instances that are gone, and of those that were held
// for gone and answer.
type LossesMessage struct {
	Losses []Loss
	Found  []Loss
}

// NewsArguments tells what the asker knows: a revision of an epoch of the peer's
// list of instances, and a version of the configuration.
type NewsArguments struct {
	Epoch         uint64
	Revision      uint64
	ConfigVersion uint64
}

// NewsReply is what the asker lacks. Ages are those at the time of the answer.
type NewsReply struct {
	Epoch    uint64
	Revision uint64
	ListAge  time.Duration
	// Whole says that Changed holds all instances.
	Whole   bool
	Changed []provider.Instance
	Removed []string

	ConfigVersion uint64
	ConfigAge     time.Duration
	// Config is set if the asker has an older version.
	Config *mapper.Config
}
