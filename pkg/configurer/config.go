// Package configurer defines the operators' configuration, parses it from a base
// file and a site's overlay, and tracks its accepted versions, which never
// decrease.
//
// # Usage
//
//	config, err := configurer.Parse(base, overlay)
//
// The error lists schema errors with file, line, section, key and accepted
// values. A [VersionTracker] decides which accepted version an entry instance
// runs.
package configurer

import (
	"net/netip"
	"time"
)

// Config is the merged configuration of a site.
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

// Gate configures the probes that establish whether a replica group is intact.
type Gate struct {
	// ProbeInterval is the time between two probes of one instance.
	ProbeInterval time.Duration
	// EvidenceTTL is how long the response to a probe is valid, from the time
	// that the probe was sent.
	EvidenceTTL time.Duration
	// ProbersPerGroup is how many entry instances probe each group.
	ProbersPerGroup int
}

// Admission bounds the requests that an entry instance admits.
type Admission struct {
	// MaxInFlight is the maximum number of concurrent requests from one entry
	// instance to one group.
	MaxInFlight int
	// QueueLength is the maximum number of queued requests.
	QueueLength int
	// RetryRatio is the maximum average number of retries per request.
	RetryRatio float64
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int
}

// Capacity configures how replica groups are formed.
type Capacity struct {
	// ManageGroups reports whether the system forms and repairs groups automatically.
	ManageGroups bool
	// Spares is how many unassigned instances to keep in each fabric domain while
	// no group is missing. More spares shorten downtime but leave accelerators
	// idle.
	Spares int
	// RepairDelay is how long an instance must be lost before it is replaced.
	RepairDelay time.Duration
}

// Model is a model that replica groups serve.
type Model struct {
	Name              string
	Version           string
	InstancesPerGroup int
	Groups            int
	Policy            string
	// FencingEnforced reports whether the engines reject orders with an old fence.
	FencingEnforced bool
}

// Service is a plain HTTP service, with no model engine.
type Service struct {
	Name      string
	Addresses []netip.AddrPort
}

// Route sends a path prefix to a plain service.
type Route struct {
	Name       string
	PathPrefix string
	Service    string
	// IdempotentMethods are the HTTP methods whose requests may be retried.
	IdempotentMethods []string
}

// Class is a service class of requests.
type Class struct {
	Name string
	// Priority is the order in which classes are served, lowest number first.
	Priority int
	// Deadline is the maximum duration of a request; its caller may ask for less.
	Deadline time.Duration
}

// Organisation is a customer, whose requests carry its bearer key.
type Organisation struct {
	Name string
	// KeySHA256 is the hash of the bearer key, in hexadecimal.
	KeySHA256         string
	Class             string
	RequestsPerSecond float64
	Weight            int
}
