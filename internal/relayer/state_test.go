package relayer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// TestScripts guards against a list or configuration that is older than what is known, that
// counts as more recent than it is, or that is not sent to a peer that lacks it. It runs
// scripts in which one instance fetches changes from three readers, each with a state of its
// own. Times are in milliseconds; a reply takes no time unless "took" is set. A reply to
// "ask" arrives with "arrive". "show" shows the state of a reader or the client. An instance is written as
// its ID, data centre, the number of its reports if it counts them, and the time for which it is
// still cold if it states that.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		client := New(Dependencies{Epoch: 3})
		s := &script{client: client, readers: map[string]*versionedState{
			"r1": newVersionedState(1), "r2": newVersionedState(2), "r3": newVersionedState(4), "client": client.state,
		}}
		datadriven.RunTest(t, path, s.run)
	})
}

// script is the state of one script.
type script struct {
	readers map[string]*versionedState
	client  *Relayer
	// reply is the reply to the client's last "ask", at askedAt.
	reply   messenger.ChangesReply
	askedAt time.Time
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	at, took, storeVersion, era := 0, 0, uint64(0), uint64(0)
	name := "r1"
	d.ScanArgs(t, "at", &at)
	d.MaybeScanArgs(t, "took", &took)
	d.MaybeScanArgs(t, "store_version", &storeVersion)
	d.MaybeScanArgs(t, "era", &era)
	d.MaybeScanArgs(t, "reader", &name)
	now, reader := time.Unix(1000, 0).Add(time.Duration(at)*time.Millisecond), s.readers[name]
	switch d.Cmd {
	case "read":
		readScripted(t, d, reader, InstancesReading{At: now, Era: era, Version: storeVersion, Followed: d.HasArg("followed")})
		return ""
	case "confirm":
		reader.confirmList(now, storeVersion)
		return ""
	case "settle":
		reader.settleEra(era)
		return ""
	case "show":
		return fmt.Sprintf("revision=%d content=%d settled=%t rewritten=%t\n", reader.revision, reader.content, !reader.eraIsNew(now), reader.configRewritten) + show(reader, now)
	case "ask", "fetch":
		reply := reader.changesSince(now.Add(time.Duration(took)*time.Millisecond), s.client.state.arguments())
		assert.NilError(t, reply.Unpack())
		if d.Cmd == "ask" {
			s.reply, s.askedAt = reply, now
			return ""
		}
		s.client.applyReply(now, name, reply)
		return fmt.Sprintf("whole=%t changed=%d removed=%d config=%t\n", reply.Whole, len(reply.Changed), len(reply.Removed), reply.Config != nil) + show(s.client.state, now)
	case "arrive":
		s.client.applyReply(s.askedAt, name, s.reply)
		return show(s.client.state, now)
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

// readScripted applies a reading of the list, whose instances are the command's input, and
// of the configuration.
func readScripted(t *testing.T, d *datadriven.TestData, reader *versionedState, reading InstancesReading) {
	t.Helper()
	reader.firstStart = reader.firstStart || d.HasArg("first_start")
	for _, word := range strings.Fields(d.Input) {
		id, zone, _ := strings.Cut(word, "=")
		zone, left, stated := strings.Cut(zone, "~")
		zone, number, _ := strings.Cut(zone, "#")
		sequence, err := strconv.ParseUint("0"+number, 10, 64)
		assert.NilError(t, err)
		warmup, err := strconv.Atoi("0" + left)
		assert.NilError(t, err)
		reading.Instances = append(reading.Instances, provider.Instance{
			ID: id, DataCentre: zone, Sequence: sequence, WarmupStated: stated, WarmupLeft: time.Duration(warmup) * time.Millisecond,
		})
	}
	for _, argument := range d.CmdArgs {
		if argument.Key == "removed" {
			reading.Removed = argument.Vals
		}
	}
	reader.updateList(reading)
	version := uint64(0)
	d.MaybeScanArgs(t, "version", &version)
	switch {
	case d.HasArg("no_config"):
		reader.updateConfig(reading.At, "", nil, false)
	case version > 0:
		reader.updateConfig(reading.At, "", mapper.New(mapper.Config{Version: version}), d.HasArg("rewritten"))
	}
}

func show(v *versionedState, now time.Time) string {
	s := v.snapshot()
	var names []string
	for _, in := range s.Instances {
		name := in.ID + "=" + in.DataCentre
		if in.Sequence > 0 {
			name += fmt.Sprint("#", in.Sequence)
		}
		if in.WarmupStated {
			name += fmt.Sprint("~", in.WarmupLeft.Milliseconds())
		}
		names = append(names, name)
	}
	slices.Sort(names)
	version := uint64(0)
	if s.Config != nil {
		version = s.Config.Version
	}
	return fmt.Sprintf("%s; list %d ms old, version %d confirmed %d ms ago\n", strings.Join(names, " "),
		now.Sub(s.ListedAt).Milliseconds(), version, now.Sub(s.ConfirmedAt).Milliseconds())
}

// TestRemovedHistoryIsBounded guards against a memory of removed instances that grows without
// bound, and against a peer that is not told of those that were forgotten.
func TestRemovedHistoryIsBounded(t *testing.T) {
	for _, test := range []struct {
		count, remembered int
		whole             bool
	}{{count: maxRemoved, remembered: maxRemoved}, {count: maxRemoved + 1, whole: true}} {
		at := time.Unix(1000, 0)
		state := newVersionedState(1)
		reading := InstancesReading{At: at}
		for i := range test.count {
			reading.Instances = append(reading.Instances, provider.Instance{ID: fmt.Sprint(i)})
		}
		state.updateList(reading)
		peer := newVersionedState(2)
		reply := state.changesSince(at, peer.arguments())
		assert.NilError(t, reply.Unpack())
		peer.applyReply(at, reply)
		assert.Equal(t, len(peer.all()), test.count)
		state.updateList(InstancesReading{At: at.Add(time.Second)})
		assert.Equal(t, len(state.removed), test.remembered)
		reply = state.changesSince(at, peer.arguments())
		assert.NilError(t, reply.Unpack())
		assert.Equal(t, reply.Whole, test.whole)
		peer.applyReply(at.Add(time.Second), reply)
		assert.Equal(t, len(peer.all()), 0)
	}
}
