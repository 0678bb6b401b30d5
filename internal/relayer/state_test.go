package relayer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// TestScripts runs scripts in which one instance fetches changes from three
// readers, each with a state of its own. Times are in milliseconds; a reply
// takes no time unless "took" is set.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		readers := map[string]*versionedState{"r1": newVersionedState(1), "r2": newVersionedState(2), "r3": newVersionedState(4)}
		client := New(Dependencies{Epoch: 3})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at, took, version, storeVersion, era := 0, 0, 0, 0, uint64(0)
			d.MaybeScanArgs(t, "era", &era)
			reader := "r1"
			d.ScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "took", &took)
			d.MaybeScanArgs(t, "version", &version)
			d.MaybeScanArgs(t, "store_version", &storeVersion)
			d.MaybeScanArgs(t, "reader", &reader)
			now := start.Add(time.Duration(at) * time.Millisecond)
			switch d.Cmd {
			case "read":
				var listed []provider.Instance
				for _, word := range strings.Fields(d.Input) {
					id, zone, _ := strings.Cut(word, "=")
					listed = append(listed, provider.Instance{ID: id, DataCentre: zone})
				}
				reading := InstancesReading{At: now, Era: era, Version: uint64(storeVersion), Followed: d.HasArg("followed"), Instances: listed}
				for _, argument := range d.CmdArgs {
					if argument.Key == "removed" {
						reading.Removed = argument.Vals
					}
				}
				readers[reader].updateList(reading)
				if version > 0 {
					readers[reader].updateConfig(now, "", mapper.New(mapper.Config{Version: uint64(version)}), d.HasArg("rewritten"))
				}
				return ""
			case "fetch":
				reply := readers[reader].changesSince(now.Add(time.Duration(took)*time.Millisecond), client.state.arguments())
				assert.NilError(t, reply.Unpack())
				client.applyReply(now, reader, reply)
				return fmt.Sprintf("whole=%t changed=%d removed=%d config=%t\n", reply.Whole, len(reply.Changed), len(reply.Removed), reply.Config != nil) + show(client, now)
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func show(r *Relayer, now time.Time) string {
	s := r.state.snapshot()
	var names []string
	for _, in := range s.Instances {
		names = append(names, in.ID+"="+in.DataCentre)
	}
	slices.Sort(names)
	version := uint64(0)
	if s.Config != nil {
		version = s.Config.Version
	}
	return fmt.Sprintf("%s; list %d ms old, version %d confirmed %d ms ago\n", strings.Join(names, " "),
		now.Sub(s.ListedAt).Milliseconds(), version, now.Sub(s.ConfirmedAt).Milliseconds())
}
