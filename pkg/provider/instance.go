package provider

import "net/netip"

// Instance is one backend server instance as the platform lists it.
type Instance struct {
	ID string `json:"id"`
	// Address is where the instance's model engine listens.
	Address netip.AddrPort `json:"address"`
	// FabricDomain names the set of instances that share a fast network.
	FabricDomain string `json:"fabric_domain"`
	DataCentre   string `json:"data_centre"`
	// Leaving says that the platform is about to take the instance away.
	Leaving bool `json:"leaving,omitempty"`
}
