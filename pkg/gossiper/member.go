package gossiper

import "net/netip"

// Member is what an entry instance tells of itself.
type Member struct {
	ID string `json:"id"`
	// Epoch rises with every start of the instance's process.
	Epoch uint64 `json:"epoch"`
	// Revision rises with every change of the fields below.
	Revision uint64 `json:"revision"`
	// Caller is where callers connect.
	Caller netip.AddrPort `json:"caller"`
	// Peer is where other entry instances connect.
	Peer       netip.AddrPort `json:"peer"`
	DataCentre string         `json:"data_centre"`
	// Leaving says that the instance takes no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// ConfigVersion is the configuration that the instance runs.
	ConfigVersion uint64 `json:"config_version"`
}

// Version orders what is known of one member.
type Version struct {
	Epoch    uint64
	Revision uint64
	// Beat rises while the member is alive.
	Beat uint64
}

// sameRecordAs reports whether both stand for the same content.
func (v Version) sameRecordAs(other Version) bool {
	return v.Epoch == other.Epoch && v.Revision == other.Revision
}

// supersedes reports whether v's content replaces that of other.
func (v Version) supersedes(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch > other.Epoch
	}
	return v.Revision > other.Revision
}
