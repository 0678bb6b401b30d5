// Package mapper defines the configuration of routes, services and organisations,
// and maps a request to its route and organisation.
//
// # Usage
//
//	routes := mapper.New(config)
//	route, found := routes.Route(host, path)
//	organisation, found := routes.Organisation(key)
//	service := route.PickService(random)
//
// A [RouteTable] is immutable; build a new one for each configuration version.
package mapper

import "time"

//go:generate stringer -type=Repeat -linecomment -output=repeat_string.go

// Repeat says how often the requests of a route may run.
type Repeat int

// Values of Repeat.
const (
	// Once allows one run at most.
	Once Repeat = iota // once
	// Idempotent allows any number of runs.
	Idempotent // idempotent
	// Streaming is for responses that are event streams. It allows one run,
	// or more if the route is resumable.
	Streaming // streaming
)

// Target is a service that receives a weighted share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says where requests for one host and path prefix are sent, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets has at least one element.
	Targets []Target
	Repeat  Repeat
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for the first
	// event of a stream.
	Objective time.Duration
	// GapObjective is the latency objective for the time between two events of
	// a stream.
	GapObjective time.Duration
	// MaxAttempts is the maximum number of backend servers that one request is
	// sent to.
	MaxAttempts int
	// Priority ranks routes; the lowest number is served first.
	Priority int
	// Anonymous reports whether requests need no API key.
	Anonymous bool
	// Resumable reports whether an interrupted stream may resume at another
	// backend server.
	Resumable bool
}

// Model is a model that the instances of a service can load.
type Model struct {
	Name string
	// Size is the number of instances in a replica group.
	Size int
	// Pace is the model's multiplier for all times of a group.
	Pace float64
	// Share is the model's expected share of the work at startup.
	Share float64
	// Load is the time to load the weights from the weight store; Warm is the
	// time to load them from the host's memory.
	Load time.Duration
	Warm time.Duration
}

// Engine holds the performance parameters of a service's model engines.
type Engine struct {
	Models []Model
	// Slots is the number of requests that a replica group runs concurrently.
	Slots int
	// Step is the duration of one token step of an empty batch.
	Step time.Duration
	// StepPerRequest is added to a step for each request that decodes.
	StepPerRequest time.Duration
	// Stride is the number of steps in an iteration with decoding requests.
	Stride int
	// ReadPerSecond is the prefill rate in prompt tokens per second; Chunk is
	// the maximum number of prompt tokens prefilled in one step.
	ReadPerSecond float64
	Chunk         int
	// PerMillionPairs is the prefill time for each million pairs of a token and
	// a token before it, which is the cost of attention.
	PerMillionPairs time.Duration
	// SpreadFactor multiplies all times of a group whose members are in several
	// fabric domains.
	SpreadFactor float64
	// UsualAnswer is the mean length of a response in tokens.
	UsualAnswer int
	// LoadsPerSecond is the maximum rate of loads started from the weight store.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of concurrent loads that run at full speed.
	LoadsAtOnce int
}

// Model returns the model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// Engine is nil for a service that runs no models.
	Engine *Engine
	// WarmUp is how long a server is cold after it starts during traffic, and WarmUpRate
	// the rate of requests that a cold server tolerates from all entry instances together;
	// zero means that there is no limit.
	WarmUp     time.Duration
	WarmUpRate float64
	// HealthPath is the path of a GET request that a server answers with its ID.
	HealthPath string
}

// Organisation is a customer; its requests carry one of its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority ranks organisations and takes precedence over the route's.
	Priority int
}

// Limits are the limits on requests.
type Limits struct {
	// BodyBytes is the maximum length of a body in bytes, and HeaderBytes that of a head; 0
	// means not set.
	BodyBytes   int64
	HeaderBytes int
	// HeadTimeout is the time within which the head of a request must arrive, and IdleTimeout
	// that for which a connection without a request is kept; 0 means not set.
	HeadTimeout, IdleTimeout time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
