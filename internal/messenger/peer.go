package messenger

import (
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/evacuator"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/permitter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// PeerService is the name of the RPC service that offers the methods below.
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
	MethodCollect  = PeerService + ".Collect"
	MethodLosses   = PeerService + ".Losses"
	MethodNews     = PeerService + ".News"
	MethodPermit   = PeerService + ".Permit"
	MethodProbe    = PeerService + ".Probe"
)

// Empty is the argument or reply of a method that needs none.
type Empty struct{}

// ExchangeMessage is a gossip digest with the newest versions that its sender
// has.
type ExchangeMessage struct {
	Digest gossiper.Digest
	// Uptime is how long the sender's process has run.
	Uptime time.Duration
	// Head is the version of the configuration in force at the sender.
	Head configurer.Head
	// Evacuations holds the evacuated data centres that the sender knows of, or is nil.
	Evacuations *evacuator.Report
	// Fence is the highest fencing token of the groups that the sender knows.
	Fence uint64
}

// RelayedEvidence is evidence from a peer's own probe. It carries an age instead
// of a time, since clocks differ between machines.
type RelayedEvidence struct {
	Report reconciler.Report
	Age    time.Duration
	Lost   bool
}

// EvidenceArguments names the groups for whose members evidence is requested.
type EvidenceArguments struct {
	Groups []string
}

// EvidenceReply is the evidence from a peer's own probes of the requested
// members.
type EvidenceReply struct {
	Evidence []RelayedEvidence
}

// StrikeMessage reports requests that crashed backend servers, and parts of prompts that
// do not crash them. The reply holds the strikes that the receiver knows against the same
// fingerprints.
type StrikeMessage struct {
	Strikes    []quarantiner.Strike
	Clearances []quarantiner.Clearance
	// Rumor identifies a message that its receivers pass on, or is empty.
	Rumor string
}

// ConfigReply is the configuration in force at a peer.
type ConfigReply struct {
	Head    configurer.Head
	Content configurer.Content
}

// GroupsReply holds the rows of a peer's snapshot of the groups.
type GroupsReply struct {
	Rows []provider.Row
}

// QuotaArguments requests a quota from the owner of an organisation.
type QuotaArguments struct {
	Organisation string
	Demand       limiter.Demand
}

// QuotaReply is a quota in requests per second, with its time to live.
type QuotaReply struct {
	PerSecond float64
	TTL       time.Duration
}

// LoadMessage reports the work in progress at its sender.
type LoadMessage struct {
	From string
	// DataCentre is set if Works is the total of that data centre.
	DataCentre string
	// Works holds the work in progress, by the name of the backend that runs it.
	Works map[string]estimator.Work
	// Pools holds the reports on the requests to each pool, by its name. Instances before
	// it send none.
	Pools map[string]estimator.PoolReport
	// Limits holds the limits that the sender knows, by backend server.
	Limits map[string]permitter.Statement
	// WantRemote asks a collector for the work of the other data centres.
	WantRemote bool
}

// CollectReply answers a LoadMessage at a collector of the sender's data centre.
type CollectReply struct {
	// Works is the work in progress of the other entry instances of the data centre, and
	// Remote that of all other data centres, if the sender asked for it.
	Works  map[string]estimator.Work
	Remote map[string]estimator.Work
	// Pools and RemotePools are the same for the reports on the requests to each pool.
	Pools       map[string]estimator.PoolReport
	RemotePools map[string]estimator.PoolReport
	// Limits holds the limits that the collector knows, by backend server.
	Limits map[string]permitter.Statement
}

// Loss identifies an instance by its ID and incarnation.
type Loss struct {
	Instance    string
	Incarnation string
}

// ProbeReply says whether an instance that does not respond to the caller responds to the
// peer.
type ProbeReply struct {
	Testimony tracker.Testimony
}

// LossesMessage reports lost instances, instances that were reported lost but have
// answered (Found), and instances that have said that they leave.
type LossesMessage struct {
	Losses  []Loss
	Found   []Loss
	Leaving []Loss
	// Rumor identifies a message that its receivers pass on, or is empty.
	Rumor string
}

// ChangesArguments holds the state that the caller has: a revision within an
// epoch of the peer's list of instances, and a version of the configuration.
type ChangesArguments struct {
	Epoch         uint64
	Revision      uint64
	ConfigVersion uint64
	// AcceptsPacked says that the caller understands ChangesReply.Packed.
	AcceptsPacked bool
	// AcceptsPackedConfig says that it understands ChangesReply.PackedConfig.
	AcceptsPackedConfig bool
}

// ChangesReply holds the changes since the caller's state. Ages are as of the
// time of the reply.
type ChangesReply struct {
	Epoch    uint64
	Revision uint64
	ListAge  time.Duration
	// Era is the era of the platform's table in which the list was read.
	Era uint64
	// EraSettled reports whether that era is known to have lasted for so long that
	// nobody has to write anything again.
	EraSettled bool
	// Whole means that Changed, or Packed, holds all instances.
	Whole   bool
	Changed []provider.Instance
	// Packed replaces Changed where the caller accepts it. It is the result of
	// Pack.
	Packed  []byte
	Removed []string

	ConfigVersion uint64
	ConfigAge     time.Duration
	// ConfigRewritten reports whether the configuration is known to have been
	// written in Era.
	ConfigRewritten bool
	// Config is set if the caller has an older version.
	Config *mapper.Config
	// PackedConfig replaces Config where the caller accepts it. It is the result of Pack.
	PackedConfig []byte

	// Evacuations holds the evacuated data centres. It is nil if the peer does not know them,
	// or is of a build that does not tell.
	Evacuations *evacuator.Report
}
