package relayer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
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
	unpacked, err := messenger.Unpack[[]provider.Instance](reply.Packed)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(unpacked, state.all()))
	reply = state.changesSince(time.Unix(1000, 0), messenger.ChangesArguments{})
	assert.Equal(t, len(reply.Changed), 760)
	_, err = messenger.Unpack[[]provider.Instance](reply.Packed)
	assert.Assert(t, err != nil)
}

// testRoutes returns a configuration with that many routes with random names.
func testRoutes(n int) mapper.Config {
	random := rand.New(rand.NewPCG(1, 2))
	name := func() string { return strconv.FormatUint(random.Uint64()>>30, 36) }
	config := mapper.Config{Version: 9}
	for range n {
		config.Routes = append(config.Routes, mapper.Route{
			Name: "r-" + name(), Host: name() + ".example", Prefix: "/" + name() + "/" + name() + "/",
			Targets: []mapper.Target{{Service: "engines", Weight: 1}}, Repeat: mapper.Streaming, Resumable: true,
			Timeout: 6 * time.Second, Objective: 300 * time.Millisecond, GapObjective: 200 * time.Millisecond, MaxAttempts: 2,
		})
	}
	return config
}

// TestPackedConfig guards against a configuration that fills the link of the entry instance
// which distributes it, so that its probes of backend servers time out: 1,500 routes must
// take half the bytes or less, and be the same once they are unpacked. A peer that does not
// accept the packed form gets the other one.
func TestPackedConfig(t *testing.T) {
	config := mapper.New(testRoutes(1500))
	state := newVersionedState(1)
	state.updateConfig(time.Unix(1000, 0), "", config, true)
	reply := state.changesSince(time.Unix(1000, 0), newVersionedState(2).arguments())
	var plain bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&plain).Encode(config.Config))
	assert.Assert(t, reply.Config == nil && len(reply.PackedConfig) > 0)
	assert.Assert(t, 2*len(reply.PackedConfig) <= plain.Len(), "%d of %d bytes", len(reply.PackedConfig), plain.Len())
	assert.NilError(t, reply.Unpack())
	assert.Assert(t, reflect.DeepEqual(*reply.Config, config.Config))

	reply = state.changesSince(time.Unix(1000, 0), messenger.ChangesArguments{AcceptsPacked: true})
	assert.Assert(t, reply.Config != nil && reply.PackedConfig == nil)
	reply = state.changesSince(time.Unix(1000, 0), state.arguments())
	assert.Assert(t, reply.Config == nil && reply.PackedConfig == nil)
	damaged := messenger.ChangesReply{PackedConfig: []byte{1, 2, 3}}
	assert.Assert(t, damaged.Unpack() != nil)
}

// BenchmarkPackedConfig measures the packing and unpacking of a configuration, and its size
// beside the plain one.
func BenchmarkPackedConfig(b *testing.B) {
	for _, n := range []int{1500, 12_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			config := testRoutes(n)
			var plain bytes.Buffer
			assert.NilError(b, gob.NewEncoder(&plain).Encode(config))
			size := 0
			for b.Loop() {
				packed, err := messenger.Pack(config)
				assert.NilError(b, err)
				_, err = messenger.Unpack[mapper.Config](packed)
				assert.NilError(b, err)
				size = len(packed)
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(plain.Len()), "plain_bytes")
		})
	}
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
