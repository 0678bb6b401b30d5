package relayer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// testList returns a list of instances in groups of 4, with IDs as a platform gives them.
func testList(n int) []provider.Instance {
	random := rand.New(rand.NewPCG(1, 2))
	list := make([]provider.Instance, n)
	for i := range list {
		list[i] = provider.Instance{
			ID: fmt.Sprintf("i-%010x", random.Uint64()>>24), Incarnation: fmt.Sprint(1_800_000_000_000 + random.Int64N(100_000)), Service: "dele69a",
			Address:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 5), byte(i / 250), byte(i % 250)}), 8389),
			FabricDomain: fmt.Sprint("dom-", i/19), DataCentre: fmt.Sprint("hall-", i%5), Slots: 14, Staged: []string{"daka510000"}, Loaded: []string{"daka510000"},
			Membership: provider.Membership{Group: fmt.Sprint("daka510000~", 2097152+i/4), Epoch: uint64(2097152 + i/4), Rank: i % 4, State: provider.MemberReady},
		}
	}
	return list
}

// BenchmarkReply measures a reply with the whole list and one without changes.
func BenchmarkReply(b *testing.B) {
	for _, n := range []int{60, 760, 12_000} {
		state := newVersionedState(1)
		now := time.Unix(1000, 0)
		state.updateList(InstancesReading{At: now, Version: 100, Instances: testList(n)})
		for name, arguments := range map[string]messenger.ChangesArguments{"whole": {AcceptsPacked: true}, "changes": state.arguments()} {
			b.Run(fmt.Sprint(name, " ", n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					state.changesSince(now, arguments)
				}
				b.ReportMetric(float64(len(state.packedList())), "bytes")
			})
		}
	}
}

// TestPackedList guards against a list that takes longer to send than peers wait for it
// when many instances start together: at 760 servers ten of them must get it over a link
// of 20 Mbit/s within a second, and unpack what was packed.
func TestPackedList(t *testing.T) {
	const (
		linkBitsPerSecond = 20_000_000
		receivers         = 10
	)
	state := newVersionedState(1)
	state.updateList(InstancesReading{At: time.Unix(1000, 0), Version: 100, Instances: testList(760)})
	reply := state.changesSince(time.Unix(1000, 0), messenger.ChangesArguments{AcceptsPacked: true})
	assert.Assert(t, reply.Whole && len(reply.Changed) == 0)
	assert.Assert(t, receivers*8*len(reply.Packed) <= linkBitsPerSecond, "%d bytes", len(reply.Packed))
	unpacked, err := messenger.UnpackInstances(reply.Packed)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(unpacked, state.all()))
	reply = state.changesSince(time.Unix(1000, 0), messenger.ChangesArguments{})
	assert.Equal(t, len(reply.Changed), 760)
	_, err = messenger.UnpackInstances(reply.Packed)
	assert.Assert(t, err != nil)
}

// TestListIsPackedOnce guards against a list that is packed anew for each of many instances
// that start together.
func TestListIsPackedOnce(t *testing.T) {
	state := newVersionedState(1)
	state.updateList(InstancesReading{At: time.Unix(1000, 0), Version: 100, Instances: testList(8)})
	first := state.packedList()
	assert.Assert(t, &first[0] == &state.packedList()[0])
	state.updateList(InstancesReading{At: time.Unix(1001, 0), Version: 101, Instances: testList(9)})
	assert.Assert(t, &first[0] != &state.packedList()[0])
}
