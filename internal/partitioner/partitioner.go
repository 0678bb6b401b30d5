// Package partitioner divides the memory and the descriptors of a process among its parts, so
// that all of them together stay within the limits of its instance.
//
// # Usage
//
//	parts := partitioner.Divide(partitioner.Resources{MemoryBytes: 284 << 20, Descriptors: 4100})
//	debug.SetMemoryLimit(parts.RuntimeMemory)
//	memory := parts.NewMemory()
//
// Sizes are in bytes. docs/design/caller-limits.md says what each part is for.
package partitioner

import "github.com/waxwingmount/waxwingmount/pkg/bounder"

// Resources are what a process may take. Zero means not known.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

// Parts are what the parts of a process may take.
type Parts struct {
	// RuntimeMemory is the soft limit of the Go runtime, or zero if the memory is not known.
	RuntimeMemory int64
	// Shared is the memory that requests, responses and hops share.
	Shared int64
	// Requests, Responses and Hops are the memory for the requests of callers, for the
	// responses in progress, and for the bodies of requests that peers hand over.
	Requests, Responses, Hops Share
	// Control is the memory for the requests at each other listener.
	Control int64
	// Connections that each listener may have. PeerConnections counts those for calls and for
	// hops, and HopConnections only the latter.
	CallerConnections, DirectoryConnections, ControlConnections, PeerConnections, HopConnections int
}

// Share is a part of a memory that several owners share.
type Share struct {
	// Guaranteed is what the others leave free, and Limit the most that the owner takes.
	Guaranteed, Limit int64
}

// Memory is the memory that requests, responses and hops share.
type Memory struct {
	Requests, Responses, Hops *bounder.Part
}

// NewMemory returns the shared memory, of which nothing is taken.
func (p Parts) NewMemory() Memory {
	pool := bounder.NewPool(p.Shared)
	part := func(s Share) *bounder.Part { return pool.NewPart(s.Guaranteed, s.Limit) }
	return Memory{Requests: part(p.Requests), Responses: part(p.Responses), Hops: part(p.Hops)}
}

// DefaultResponses is the memory for responses if that of the process is not known.
const DefaultResponses = 64 << 20

// Other parts if the memory is not known.
const (
	defaultRequests = 512 << 20
	defaultHops     = 32 << 20
)

const (
	// textMemory is the memory of the program's text and of its threads.
	textMemory = 16 << 20
	// socketMemory is the memory of the operating system's buffers of one connection of a
	// caller, both ways.
	socketMemory = 64 << 10
	// freeFraction is the fraction of the runtime's soft limit that stays free, so that the
	// garbage collector does not run without end.
	freeFraction = 0.1
	// minRuntimeFraction is the least fraction of the memory for the Go runtime.
	minRuntimeFraction = 0.6
	// baseMemory is the memory of the code, the control loops and the state of all instances.
	baseMemory = 32 << 20
	// connectionMemory is the memory of one connection in the Go runtime.
	connectionMemory = 24 << 10
	// memoryPerConnection is the memory of the process for which there may be one connection
	// of a caller.
	memoryPerConnection = 256 << 10
	// memoryPerHop is the memory of the process for which there may be one hop connection.
	memoryPerHop      = 1 << 20
	maxHopConnections = 512

	// Ratios of the memory to the parts of the shared memory.
	responsesDivisor           = 8
	responsesGuaranteedDivisor = 16
	hopsDivisor                = 16
	hopsGuaranteedDivisor      = 64
	// minSharedDivisor is the ratio of the memory to the least shared memory.
	minSharedDivisor = 8
	controlMemory    = 1 << 20

	// fileDescriptors is the number of descriptors that are not for sockets.
	fileDescriptors = 200
	// callersFraction is the fraction of the sockets for callers. Each request needs one more
	// to its backend server.
	callersFraction       = 0.4
	directoryDivisor      = 16
	peersDivisor          = 8
	controlDivisor        = 16
	maxControlConnections = 64
	minConnections        = 8
	// defaultSockets is the number of sockets if the limit on descriptors is not known.
	defaultSockets = 4000
)

// Divide returns what the parts of a process may take.
func Divide(r Resources) Parts {
	sockets := max(r.Descriptors-fileDescriptors, r.Descriptors/2)
	if r.Descriptors <= 0 {
		sockets = defaultSockets
	}
	p := Parts{
		Shared:               defaultRequests + DefaultResponses + defaultHops,
		Requests:             Share{Guaranteed: defaultRequests, Limit: defaultRequests},
		Responses:            Share{Guaranteed: DefaultResponses, Limit: DefaultResponses},
		Hops:                 Share{Guaranteed: defaultHops, Limit: defaultHops},
		Control:              controlMemory,
		CallerConnections:    max(minConnections, int(callersFraction*float64(sockets))),
		DirectoryConnections: max(minConnections, sockets/directoryDivisor),
		ControlConnections:   max(minConnections, min(maxControlConnections, sockets/controlDivisor)),
		PeerConnections:      max(minConnections, sockets/peersDivisor),
		HopConnections:       max(minConnections, min(maxHopConnections, sockets/peersDivisor)),
	}
	if r.MemoryBytes > 0 {
		p.divideMemory(r.MemoryBytes)
	}
	return p
}

func (p *Parts) divideMemory(memory int64) {
	p.CallerConnections = min(p.CallerConnections, max(minConnections, int(memory/memoryPerConnection)))
	p.HopConnections = min(p.HopConnections, max(minConnections, int(memory/memoryPerHop)))
	connections := int64(p.CallerConnections)
	p.RuntimeMemory = max(int64(minRuntimeFraction*float64(memory)), memory-textMemory-socketMemory*connections)
	free := int64(freeFraction * float64(p.RuntimeMemory))
	p.Shared = max(memory/minSharedDivisor, p.RuntimeMemory-free-baseMemory-connectionMemory*connections)
	p.Responses = Share{Guaranteed: memory / responsesGuaranteedDivisor, Limit: memory / responsesDivisor}
	p.Hops = Share{Guaranteed: memory / hopsGuaranteedDivisor, Limit: memory / hopsDivisor}
	p.Requests = Share{Limit: p.Shared - p.Responses.Guaranteed - p.Hops.Guaranteed}
}
