// Package mapper holds the operator's routes, services and organisations, and
// maps a request to the route and the organisation that it belongs to.
//
// # Usage
//
//	routes := mapper.New(config)
//	route, found := routes.Route(host, path)
//	organisation, found := routes.Organisation(key)
//	service := route.Choose(random)
//
// A [RouteTable] does not change; a newer configuration makes a new one.
package mapper

import "time"

//go:generate stringer -type=Repeat -linecomment -output=repeat_string.go

// Repeat says what may be done twice with the requests of a route.
type Repeat int

// Kinds of route.
const (
	// Once allows at most one run.
	Once Repeat = iota // once
	// Idempotent allows any number of runs.
	Idempotent // idempotent
	// Streaming answers with events and allows one run, unless the route is
	// resumable.
	Streaming // streaming
)

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route is where requests of one host and path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets holds at least one service.
	Targets []Target
	Repeat  Repeat
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event,
	// within which the answer has its full worth.
	Objective time.Duration
	// GapObjective is the longest pause between events with full worth.
	GapObjective time.Duration
	// MaxAttempts bounds how many backend servers one request is sent to.
	MaxAttempts int
	// Priority is the route's rank; 0 goes first.
	Priority int
	// Anonymous says that requests carry no key.
	Anonymous bool
	// Resumable says that a broken stream may go on at another backend server.
	Resumable bool
}

// Model is one model that the instances of a service can load.
type Model struct {
	Name string
	// Size is how many instances make a replica group.
	Size int
	// Pace is the factor of the model on all times of a group.
	Pace float64
	// Share is the model's part of the work when the system starts.
	Share float64
	// Load is the time to load the weights from the weight store, Warm from
	// the host's memory.
	Load time.Duration
	Warm time.Duration
}

// Engine is how the model engines of a service work.
type Engine struct {
	Models []Model
	// Slots is how many requests a replica group runs at once.
	Slots int
	// Step is the time of one token step with no request.
	Step time.Duration
	// StepPerRequest is added to a step for each request that writes.
	StepPerRequest time.Duration
	// Stride is how many steps a pass with writers takes.
	Stride int
	// ReadPerSecond is how many prompt tokens are read a second, Chunk the
	// most in a step.
	ReadPerSecond float64
	Chunk         int
	// PerMillionPairs is the time to read for each million pairs of a token
	// and one before it.
	PerMillionPairs time.Duration
	// SpreadFactor is how much slower a group is whose members are not all in
	// one fabric domain.
	SpreadFactor float64
	// UsualAnswer is the mean length of an answer in tokens.
	UsualAnswer int
	// LoadsPerSecond bounds how many loads from the weight store may begin.
	LoadsPerSecond float64
	// LoadsAtOnce is how many loads run at full speed together.
	LoadsAtOnce int
}

// Model returns the model of that name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Organisation is a customer whose requests carry one of its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority is the organisation's rank; it goes before the route's.
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
	// BodyBytes is the longest body; zero says nothing.
	BodyBytes int64
}

// Config is one version of what the operator wants.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
