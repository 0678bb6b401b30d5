package gossiper

import (
	"net/netip"
	"time"
)

// Member is the membership record that an entry instance publishes.
type Member struct {
	ID string `json:"id"`
	// Epoch increases with every start of the instance's process.
	Epoch uint64 `json:"epoch"`
	// Revision increases with every change of the fields below.
	Revision uint64 `json:"revision"`
	// Caller is the address on which the instance accepts client connections.
	Caller netip.AddrPort `json:"caller"`
	// Peer is the address on which it accepts connections of other entry instances.
	Peer       netip.AddrPort `json:"peer"`
	DataCentre string         `json:"data_centre"`
	// Leaving is set while the instance shuts down and accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// ConfigVersion is the version of the configuration that is in force there.
	ConfigVersion uint64 `json:"config_version"`
	// PathCut is set while the instance's path is cut to most of the backend servers that
	// its peers reach.
	PathCut bool `json:"path_cut,omitempty"`
}

// Version orders the records of one member and carries its heartbeat.
type Version struct {
	Epoch    uint64
	Revision uint64
	// Beat is the heartbeat counter, which increases while the member is alive.
	Beat uint64
	// Age is how long before the digest was made the member sent that heartbeat.
	// It is set in digests only.
	Age time.Duration
}

// sameRecordAs reports whether v and other identify the same record content.
func (v Version) sameRecordAs(other Version) bool {
	return v.Epoch == other.Epoch && v.Revision == other.Revision
}

// supersedes reports whether the record content of v replaces that of other.
func (v Version) supersedes(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch > other.Epoch
	}
	return v.Revision > other.Revision
}
