package mapper

import (
	"math/rand/v2"
	"strings"
	"time"
)

// RouteTable answers questions about one configuration. It is safe for concurrent use.
type RouteTable struct {
	Config
	routes             map[routeKey]Route
	services           map[string]Service
	organisationsByKey map[string]Organisation
}

// routeKey is what selects a route.
type routeKey struct {
	host   string
	prefix string
}

// New returns the map of a configuration.
func New(config Config) *RouteTable {
	m := &RouteTable{
		Config:             config,
		routes:             make(map[routeKey]Route, len(config.Routes)),
		services:           make(map[string]Service, len(config.Services)),
		organisationsByKey: make(map[string]Organisation),
	}
	for _, r := range config.Routes {
		m.routes[routeKey{r.Host, r.Prefix}] = r
	}
	for _, s := range config.Services {
		m.services[s.Name] = s
	}
	for _, o := range config.Organisations {
		for _, key := range o.Keys {
			m.organisationsByKey[key] = o
		}
	}
	return m
}

// Route returns the route with the longest prefix of the path. Prefixes begin
// and end with a slash.
func (m *RouteTable) Route(host, path string) (Route, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := m.routes[routeKey{host, path[:end+1]}]; found {
			return r, true
		}
	}
	return Route{}, false
}

// Organisation returns the holder of a key.
func (m *RouteTable) Organisation(key string) (Organisation, bool) {
	o, found := m.organisationsByKey[key]
	return o, found
}

// Service returns the service of that name.
func (m *RouteTable) Service(name string) (Service, bool) {
	s, found := m.services[name]
	return s, found
}

// RequiresKey reports whether requests must carry keys.
func (m *RouteTable) RequiresKey() bool { return len(m.Organisations) > 0 }

// PickService returns one of the route's services, by weight.
func (r Route) PickService(random *rand.Rand) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	draw := random.IntN(total)
	for _, t := range r.Targets {
		if draw -= t.Weight; draw < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// AllowsService reports whether the route may send requests to a service.
func (r Route) AllowsService(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// Retryable reports whether a request may run again after a run that failed.
func (r Route) Retryable() bool {
	return r.Repeat == Idempotent || r.Repeat == Streaming && r.Resumable
}

// CallerTimeout returns how long a caller waits for the first or the next event of
// a stream before it leaves.
func (r Route) CallerTimeout() time.Duration {
	return max(minCallerTimeout, objectiveTimeoutFactor*r.Objective, gapTimeoutFactor*r.GapObjective)
}

// The users' pages say after what pause callers leave a stream.
const (
	minCallerTimeout       = 2 * time.Second
	objectiveTimeoutFactor = 4
	gapTimeoutFactor       = 8
)
