package partitioner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPartsFit guards against parts that together exceed the memory or the descriptors of a
// process, also on the smallest instances.
func TestPartsFit(t *testing.T) {
	const (
		mb           = 1 << 20
		largestBody  = 4 * mb
		socketBuffer = 64 << 10 // what the kernel makes of 32 KB
	)
	for _, r := range []Resources{
		{184 * mb, 4100}, {284 * mb, 4100}, {424 * mb, 10250}, {536 * mb, 8192}, {4096 * mb, 1 << 20},
	} {
		t.Run(fmt.Sprintf("%d MB, %d", r.MemoryBytes/mb, r.Descriptors), func(t *testing.T) {
			p := Divide(r)
			used := baseMemory + p.Responses + p.Requests + p.Hops + connectionMemory*int64(p.CallerConnections)
			assert.Check(t, used <= p.RuntimeMemory-int64(freeFraction*float64(p.RuntimeMemory)), "%d MB of %d MB", used/mb, p.RuntimeMemory/mb)
			sockets := int64(p.CallerConnections) * socketBuffer
			assert.Check(t, p.RuntimeMemory+sockets <= r.MemoryBytes, "%d MB and %d MB in sockets", p.RuntimeMemory/mb, sockets/mb)
			// A body that grows is counted twice, and a quarter of the memory is for small ones.
			assert.Check(t, 2*largestBody <= p.Requests*3/4, "%d MB for requests", p.Requests/mb)
			all := 2*p.CallerConnections + p.DirectoryConnections + 2*p.ControlConnections + p.PeerConnections
			assert.Check(t, all <= r.Descriptors-fileDescriptors, "%d of %d", all, r.Descriptors)
		})
	}
}

// TestUnknownResources guards against parts of zero, which would refuse everything.
func TestUnknownResources(t *testing.T) {
	for _, r := range []Resources{{}, {MemoryBytes: 1}, {Descriptors: 1}} {
		p := Divide(r)
		assert.Check(t, p.CallerConnections > 0 && p.DirectoryConnections > 0 && p.ControlConnections > 0 && p.PeerConnections > 0 && p.HopConnections > 0)
		assert.Check(t, r.MemoryBytes > 0 || p.Requests > 0 && p.Responses > 0 && p.Hops > 0)
	}
}
