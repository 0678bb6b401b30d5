package mapper

import (
	"math/rand/v2"
	"strings"
	"time"
)

// RouteTable is an immutable index of one configuration. It is safe for
// concurrent use.
type RouteTable struct {
	Config
	routes             map[routeKey]Route
	services           map[string]Service
	organisationsByKey map[string]Organisation
	// priorities are those that requests can have, sorted.
	priorities []int
	// ranked holds the services of which the routes differ in priority.
	ranked map[string]bool
}

// routeKey selects a route.
type routeKey struct {
	host   string
	prefix string
}

// New returns the route table of a configuration.
func New(config Config) *RouteTable {
	t := &RouteTable{
		Config:             config,
		routes:             make(map[routeKey]Route, len(config.Routes)),
		services:           make(map[string]Service, len(config.Services)),
		organisationsByKey: make(map[string]Organisation),
	}
	for _, r := range config.Routes {
		t.routes[routeKey{r.Host, r.Prefix}] = r
	}
	for _, s := range config.Services {
		t.services[s.Name] = s
	}
	for _, o := range config.Organisations {
		for _, key := range o.Keys {
			t.organisationsByKey[key] = o
		}
	}
	t.priorities = config.priorities()
	t.ranked = config.rankedServices()
	return t
}

// Route returns the route of the host with the longest matching path prefix.
// Prefixes begin and end with a slash.
func (t *RouteTable) Route(host, path string) (Route, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := t.routes[routeKey{host, path[:end+1]}]; found {
			return r, true
		}
	}
	return Route{}, false
}

// Organisation returns the organisation that an API key belongs to.
func (t *RouteTable) Organisation(key string) (Organisation, bool) {
	o, found := t.organisationsByKey[key]
	return o, found
}

// Service returns the service with the given name.
func (t *RouteTable) Service(name string) (Service, bool) {
	s, found := t.services[name]
	return s, found
}

// RequiresKey reports whether requests must carry an API key: they must if any
// organisation is configured.
func (t *RouteTable) RequiresKey() bool { return len(t.Organisations) > 0 }

// PickService returns a random service of the route, weighted by its targets.
// Without positive weights it returns the first.
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

// AllowsService reports whether the service is a target of the route with a
// positive weight.
func (r Route) AllowsService(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// Retryable reports whether a request may run again after a failed attempt.
func (r Route) Retryable() bool {
	return r.Repeat == Idempotent || r.Repeat == Streaming && r.Resumable
}

// CallerTimeout returns how long a caller waits for the first or the next event
// of a stream before it disconnects.
func (r Route) CallerTimeout() time.Duration {
	return max(minCallerTimeout, objectiveTimeoutFactor*r.Objective, gapTimeoutFactor*r.GapObjective)
}

// Parameters of [Route.CallerTimeout], from the users' documentation of when
// callers disconnect. The factors multiply the route's objectives.
const (
	minCallerTimeout       = 2 * time.Second
	objectiveTimeoutFactor = 4
	gapTimeoutFactor       = 8
)
