// Package partitioner divides the memory and the descriptors of a process among its parts, so
// that all of them together stay within the limits of its instance.
//
// # Usage
//
//	parts := partitioner.Divide(partitioner.Resources{MemoryBytes: 284 << 20, Descriptors: 4100})
//	debug.SetMemoryLimit(parts.RuntimeMemory)
//
// Sizes are in bytes. docs/design/caller-limits.md says what each part is for.
package partitioner

// Resources are what a process may take. Zero means not known.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

// Parts are what the parts of a process may take.
type Parts struct {
	// RuntimeMemory is the soft limit of the Go runtime, or zero if the memory is not known.
	RuntimeMemory int64
	// Responses is the memory for the responses in progress, Requests that for the requests of
	// callers, Hops that for the bodies of requests that peers hand over, and Control that for
	// each other listener.
	Responses, Requests, Hops, Control int64
	// Connections that each listener may have. PeerConnections counts those for calls and for
	// hops, and HopConnections only the latter.
	CallerConnections, DirectoryConnections, ControlConnections, PeerConnections, HopConnections int
}

// DefaultResponses is the memory for responses if that of the process is not known.
const DefaultResponses = 64 << 20

// Other parts if the memory is not known.
const (
	defaultRequests = 512 << 20
	defaultHops     = 32 << 20
)

const (
	// runtimeFraction is the fraction of the memory that is the soft limit of the Go runtime;
	// the rest is for sockets, the program's text and threads.
	runtimeFraction = 0.6
	// freeFraction is the fraction of the soft limit that stays free, so that the garbage
	// collector does not run without end.
	freeFraction = 0.1
	// baseMemory is the memory of the code, the control loops and the state of all instances.
	baseMemory = 32 << 20
	// connectionMemory is the memory of one connection in the Go runtime.
	connectionMemory = 24 << 10
	// memoryPerConnection is the memory of the process for which there may be one connection
	// of a caller: with its share of the runtime, full buffers in the kernel both ways, and
	// room for all else.
	memoryPerConnection = 256 << 10
	// memoryPerHop is the memory of the process for which there may be one hop connection.
	memoryPerHop      = 1 << 20
	maxHopConnections = 512

	responsesDivisor = 8
	hopsDivisor      = 16
	// minRequestsDivisor is the ratio of the memory to the least part for requests.
	minRequestsDivisor = 16
	controlMemory      = 1 << 20

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
)

// Divide returns what the parts of a process may take.
func Divide(r Resources) Parts {
	sockets := max(r.Descriptors-fileDescriptors, r.Descriptors/2)
	if r.Descriptors <= 0 {
		sockets = defaultSockets
	}
	p := Parts{
		Responses: DefaultResponses, Requests: defaultRequests, Hops: defaultHops, Control: controlMemory,
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

// defaultSockets is the number of sockets if the limit on descriptors is not known.
const defaultSockets = 4000

func (p *Parts) divideMemory(memory int64) {
	p.CallerConnections = min(p.CallerConnections, max(minConnections, int(memory/memoryPerConnection)))
	p.HopConnections = min(p.HopConnections, max(minConnections, int(memory/memoryPerHop)))
	p.RuntimeMemory = int64(runtimeFraction * float64(memory))
	p.Responses = memory / responsesDivisor
	p.Hops = memory / hopsDivisor
	used := baseMemory + p.Responses + p.Hops + connectionMemory*int64(p.CallerConnections)
	free := int64(freeFraction * float64(p.RuntimeMemory))
	p.Requests = max(memory/minRequestsDivisor, p.RuntimeMemory-free-used)
}
