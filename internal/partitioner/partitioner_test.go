package partitioner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const mb = 1 << 20

// instances are those of the users' sites, the smallest one first.
var instances = []Resources{{184 * mb, 4100}, {284 * mb, 4100}, {424 * mb, 10250}, {536 * mb, 8192}, {4096 * mb, 1 << 20}}

// TestPartsFit guards against parts that together exceed the memory or the descriptors of a
// process, also on the smallest instances.
func TestPartsFit(t *testing.T) {
	for _, r := range instances {
		t.Run(fmt.Sprintf("%d MB, %d", r.MemoryBytes/mb, r.Descriptors), func(t *testing.T) {
			p := Divide(r)
			used := baseMemory + p.Shared + connectionMemory*int64(p.CallerConnections)
			assert.Check(t, used <= p.RuntimeMemory-int64(freeFraction*float64(p.RuntimeMemory)), "%d MB of %d MB", used/mb, p.RuntimeMemory/mb)
			sockets := int64(p.CallerConnections) * socketMemory
			assert.Check(t, p.RuntimeMemory+sockets+textMemory <= r.MemoryBytes, "%d MB and %d MB in sockets", p.RuntimeMemory/mb, sockets/mb)
			all := 2*p.CallerConnections + p.DirectoryConnections + 2*p.ControlConnections + p.PeerConnections
			assert.Check(t, all <= r.Descriptors-fileDescriptors, "%d of %d", all, r.Descriptors)
		})
	}
}

// TestLargestRequestsFit guards against a part that a single body of the largest legal size, or
// the longest response, does not fit in while others use what they are guaranteed.
func TestLargestRequestsFit(t *testing.T) {
	const (
		largestBody     = 4 * mb
		largestResponse = 8 * mb
	)
	for _, r := range instances {
		t.Run(fmt.Sprintf("%d MB", r.MemoryBytes/mb), func(t *testing.T) {
			memory := Divide(r).NewMemory()
			// The old buffer is free only after the copy, and an eighth is for small requests.
			assert.Check(t, largestBody*3/2 <= memory.Requests.Room()*7/8, "%d MB for requests", memory.Requests.Room()/mb)
			assert.Check(t, largestResponse*3/2 <= memory.Responses.Room(), "%d MB for responses", memory.Responses.Room()/mb)
			memory.Requests.Use(memory.Requests.Room())
			assert.Check(t, largestResponse <= memory.Responses.Room(), "%d MB for responses beside requests", memory.Responses.Room()/mb)
		})
	}
}

// TestUnknownResources guards against parts of zero, which would refuse everything.
func TestUnknownResources(t *testing.T) {
	for _, r := range []Resources{{}, {MemoryBytes: 1}, {Descriptors: 1}} {
		p := Divide(r)
		assert.Check(t, p.CallerConnections > 0 && p.DirectoryConnections > 0 && p.ControlConnections > 0 && p.PeerConnections > 0 && p.HopConnections > 0)
		assert.Check(t, r.MemoryBytes > 0 || p.Requests.Limit > 0 && p.Responses.Limit > 0 && p.Hops.Limit > 0)
	}
}
