// Package configurer holds the operators' configuration: its types, the
// check of a base file with a site's overlay, and the chain of accepted
// versions that never goes back.
//
// # Usage
//
//	config, err := configurer.Check(base, overlay)
//
// The error names every mistake with file, line, section, key and what is
// accepted. A [VersionTracker] decides which accepted version an entry instance runs.
package configurer

import (
	"net/netip"
	"time"
)

// Config is one whole accepted configuration of a site.
type Config struct {
	Deployment    string
	Gate          Gate
	Admission     Admission
	Capacity      Capacity
	Models        map[string]Model
	Services      map[string]Service
	Routes        []Route
	Classes       map[string]Class
	Organisations map[string]Organisation

	nameByKeyHash map[string]string
}

// OrganisationByKey returns the organisation whose bearer key has this SHA-256
// hash, in hexadecimal.
func (c *Config) OrganisationByKey(hash string) (Organisation, bool) {
	name, found := c.nameByKeyHash[hash]
	return c.Organisations[name], found
}

// Gate says how the wholeness of replica groups is watched.
type Gate struct {
	// ProbeInterval is the time between two probes of one instance.
	ProbeInterval time.Duration
	// EvidenceTTL is how long a probe's answer counts, from its sending.
	EvidenceTTL time.Duration
	// ProbersPerGroup is how many entry instances probe each group.
	ProbersPerGroup int
}

// Admission bounds what an entry instance takes on.
type Admission struct {
	// MaxInFlight is how many requests one group runs at once from one entry.
	MaxInFlight int
	// QueueLength is how many requests an entry lets wait.
	QueueLength int
	// RetryRatio is how many retries are allowed for each request, on average.
	RetryRatio float64
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int
}

// Capacity says how replica groups are formed.
type Capacity struct {
	// ManageGroups is whether the system forms and repairs groups by itself.
	ManageGroups bool
	// Spares is how many free instances to keep in each fabric domain while no
	// group is missing. More of them shorten downtime and strand accelerators.
	Spares int
	// RepairDelay is how long an instance must be lost before it is replaced.
	RepairDelay time.Duration
}

// Model is one model that groups carry.
type Model struct {
	Name              string
	Version           string
	InstancesPerGroup int
	Groups            int
	Policy            string
	// FencingEnforced says whether the engines refuse orders with an old fence.
	FencingEnforced bool
}

// Service is a plain service beside the model engines.
type Service struct {
	Name      string
	Addresses []netip.AddrPort
}

// Route sends a path prefix to a plain service.
type Route struct {
	Name       string
	PathPrefix string
	Service    string
	// IdempotentMethods are the HTTP methods whose calls may be repeated.
	IdempotentMethods []string
}

// Class is a class of requests.
type Class struct {
	Name string
	// Priority orders classes; the lowest number goes first.
	Priority int
	// Deadline bounds a request unless its caller asks for less.
	Deadline time.Duration
}

// Organisation is a customer whose members call the system.
type Organisation struct {
	Name string
	// KeySHA256 is the hash of the bearer key, in hexadecimal.
	KeySHA256         string
	Class             string
	RequestsPerSecond float64
	Weight            int
}
