package tracker

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

var memberStates = map[string]provider.MemberState{
	"joining": provider.Joining, "ready": provider.MemberReady, "serving": provider.Serving, "closing": provider.Closing, "broken": provider.Broken,
}

var identities = map[string]Identity{"unidentified": Unidentified, "confirmed": Confirmed, "denied": Denied}

// parseInstance parses a line "id incarnation group epoch rank state [sequence=N]
// [in=DATACENTRE] [service=NAME] [port=PORT] [leaving]". A dash stands for no incarnation or
// no group, and the service is s unless it is given.
func parseInstance(t *testing.T, line string) provider.Instance {
	t.Helper()
	in := provider.Instance{Service: "s"}
	state := ""
	m := &in.Membership
	if _, err := fmt.Sscan(line, &in.ID, &in.Incarnation, &m.Group, &m.Epoch, &m.Rank, &state); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	m.State = memberStates[state]
	if m.Group == "-" {
		*m = provider.Membership{}
	}
	if _, place, found := strings.Cut(line, "in="); found {
		in.DataCentre = strings.Fields(place)[0]
	}
	if _, service, found := strings.Cut(line, "service="); found {
		in.Service = strings.Fields(service)[0]
	}
	if in.Incarnation == "-" {
		in.Incarnation = ""
	}
	if _, port, found := strings.Cut(line, "port="); found {
		in.Address = netip.MustParseAddrPort("10.0.0.1:" + strings.Fields(port)[0])
	}
	in.Leaving = strings.HasSuffix(line, "leaving")
	if _, count, found := strings.Cut(line, "sequence="); found {
		if _, err := fmt.Sscan(count, &in.Sequence); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
	}
	return in
}

// TestScripts runs a tracker with one service "s" and model "m", whose groups have two members.
// Times are in milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tracker := New()
		tracker.SetServices(map[string]map[string]int{"s": {"m": 2}})
		suspicions := NewSuspicions()
		start := time.Unix(1000, 0)
		at := func(d *datadriven.TestData) time.Time {
			ms := 0
			d.ScanArgs(t, "at", &ms)
			return start.Add(time.Duration(ms) * time.Millisecond)
		}
		var selected Group
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "list":
				var listed []provider.Instance
				for line := range strings.Lines(d.Input) {
					listed = append(listed, parseInstance(t, strings.TrimSpace(line)))
				}
				era := uint64(0)
				d.MaybeScanArgs(t, "era", &era)
				tracker.Update(at(d), era, listed)
			case "mark_lost", "mark_lost_here", "contradict", "path_respond", "path_fail", "restore", "remote_groups", "localize", "evacuate", "servers", "renew_loss", "clear_loss", "instance_lost":
				return runPathCommand(t, tracker, at, d)
			case "judge", "respond", "prune":
				return runSuspicionCommand(t, suspicions, at, d)
			case "states_leaving", "identify", "unidentified", "rosters", "services", "gaps":
				return runEntryCommand(t, tracker, at, d)
			case "select_group":
				selected = tracker.Groups("s", "m")[0]
			case "group_available":
				return fmt.Sprintf("%t\n", tracker.GroupAvailable(selected))
			case "groups":
				service := "s"
				d.MaybeScanArgs(t, "service", &service)
				var lines []string
				for _, g := range tracker.Groups(service, "m") {
					line := fmt.Sprintf("%s %d", g.Name, g.Epoch)
					for _, in := range g.Members {
						line += " " + in.ID
					}
					lines = append(lines, line)
				}
				return strings.Join(lines, "\n") + "\n"
			case "instances":
				var lines []string
				for _, in := range tracker.Instances() {
					line := fmt.Sprintf("%s %s %s %d", in.ID, in.Incarnation, in.Membership.Group, in.Membership.Epoch)
					if in.Leaving {
						line += " leaving"
					}
					lines = append(lines, line)
				}
				return strings.Join(lines, "\n") + fmt.Sprintf("\nlisted: %d, relisted: %t\n", len(tracker.Listed()), tracker.Relisted())
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

// runSuspicionCommand runs a command on the suspicions of instances.
func runSuspicionCommand(t *testing.T, suspicions *Suspicions, at func(*datadriven.TestData) time.Time, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "respond":
		suspicions.Clear(d.CmdArgs[0].Key)
		return ""
	case "prune":
		suspicions.Prune(at(d))
		return fmt.Sprintf("suspected: %d\n", len(suspicions.byID))
	}
	id, incarnation := "", ""
	var e Evidence
	d.ScanArgs(t, "instance", &id)
	d.ScanArgs(t, "incarnation", &incarnation)
	d.ScanArgs(t, "references", &e.Path.References)
	d.ScanArgs(t, "prompt", &e.Path.Prompt)
	d.MaybeScanArgs(t, "asked", &e.Peers.Asked)
	d.MaybeScanArgs(t, "reached", &e.Peers.Reached)
	d.MaybeScanArgs(t, "silent", &e.Peers.Silent)
	e.Refused = d.HasArg("refused")
	return suspicions.Judge(at(d), id, incarnation, e).String() + "\n"
}

// runEntryCommand runs a command on what entries mean, and on what servers say of themselves.
func runEntryCommand(t *testing.T, tracker *Tracker, at func(*datadriven.TestData) time.Time, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "states_leaving":
		id, incarnation := "", ""
		d.ScanArgs(t, "instance", &id)
		d.ScanArgs(t, "incarnation", &incarnation)
		return fmt.Sprintf("new: %t\n", tracker.MarkLeaving(at(d), id, incarnation))
	case "identify":
		id, answer := "", ""
		d.ScanArgs(t, "instance", &id)
		d.ScanArgs(t, "as", &answer)
		return fmt.Sprintf("news: %t\n", tracker.Identify(at(d), tracker.instances[id], identities[answer]))
	case "unidentified":
		var ids []string
		for _, in := range tracker.Unidentified(at(d)) {
			ids = append(ids, in.ID)
		}
		return strings.Join(ids, " ") + "\n"
	case "rosters":
		var lines []string
		for _, r := range tracker.Rosters("s") {
			line := fmt.Sprintf("%s %d", r.Name, r.Epoch)
			for _, in := range r.Members {
				line += " " + in.ID
			}
			lines = append(lines, fmt.Sprintf("%s; gap %s, disputed %t", line, r.Gap, r.Disputed))
		}
		return strings.Join(lines, "\n") + "\n"
	case "services":
		services := make(map[string]map[string]int)
		for _, service := range strings.Fields(d.Input) {
			services[service] = map[string]int{"m": 2}
		}
		tracker.SetServices(services)
	case "gaps":
		var lines []string
		for key, gap := range tracker.Gaps() {
			lines = append(lines, key.Name+": "+gap.String())
		}
		slices.Sort(lines)
		return strings.Join(lines, "\n") + "\n"
	}
	return ""
}

// runPathCommand runs a command on what is lost, or can't be reached from here.
func runPathCommand(t *testing.T, tracker *Tracker, at func(*datadriven.TestData) time.Time, d *datadriven.TestData) string {
	t.Helper()
	id, incarnation := "", ""
	d.MaybeScanArgs(t, "instance", &id)
	d.MaybeScanArgs(t, "incarnation", &incarnation)
	switch d.Cmd {
	case "mark_lost":
		return fmt.Sprintf("new: %t\n", tracker.MarkLost(at(d), id, incarnation))
	case "mark_lost_here":
		return fmt.Sprintf("new: %t\n", tracker.MarkLostHere(at(d), at(d), id, incarnation))
	case "contradict":
		var e PathEvidence
		d.ScanArgs(t, "references", &e.References)
		d.ScanArgs(t, "prompt", &e.Prompt)
		// Each instance is a place of its own.
		return fmt.Sprintf("cut: %t\n", tracker.ContradictPath(at(d), provider.Instance{ID: id}, e))
	case "path_respond":
		tracker.NoteResponse(id)
	case "path_fail":
		tracker.NoteFailure(at(d), id)
	case "restore":
		var servers []provider.Instance
		for _, server := range strings.Fields(d.Input) {
			servers = append(servers, provider.Instance{ID: server})
		}
		return fmt.Sprintf("restored: %t\n", tracker.RestorePath(at(d), servers))
	case "remote_groups":
		return fmt.Sprintf("%t\n", tracker.ReachableByPeers("s", "m"))
	case "evacuate":
		dataCentres := make(map[string]bool)
		for _, dataCentre := range strings.Fields(d.Input) {
			dataCentres[dataCentre] = true
		}
		tracker.SetEvacuated(dataCentres)
	case "servers":
		var names []string
		for _, in := range tracker.Servers("s") {
			names = append(names, fmt.Sprintf("%s available=%t", in.ID, tracker.InstanceAvailable(in)))
		}
		return fmt.Sprintf("%s; by peers %t; all evacuated %t\n", strings.Join(names, ", "), tracker.ReachableByPeers("s", ""), tracker.AllEvacuated("s"))
	case "localize":
		tracker.LocalizeLoss(d.CmdArgs[0].Key)
	case "clear_loss":
		tracker.ClearLoss(d.CmdArgs[0].Key)
	case "renew_loss":
		tracker.RenewLossHere(at(d), id)
	case "instance_lost":
		id = d.CmdArgs[0].Key
		return fmt.Sprintf("lost: %t for all: %t\n", tracker.IsLost(id), tracker.LostForAll(id))
	}
	return ""
}
