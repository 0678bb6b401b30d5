package prefixer

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

// TestScripts guards against beginnings that count after their last run, in a group that
// restarted, behind another first part, or beyond the bound. Groups are NAME/INCARNATION,
// parts ID:TOKENS. Commands:
//
//	hold run=R group=G PART...     the first event of a run
//	fill group=G n=N               N runs with parts of their own
//	release run=R                  a run ends
//	saved group=G PART...          the tokens that need not be read
//	size                           groups, and links of all groups
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		p, runs := New(), make(map[string]Run)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var run, name string
			d.MaybeScanArgs(t, "run", &run)
			d.MaybeScanArgs(t, "group", &name)
			group := Group{}
			group.Name, group.Incarnation, _ = strings.Cut(name, "/")
			switch d.Cmd {
			case "hold":
				runs[run] = p.Hold(group, parseParts(t, d))
			case "fill":
				n := 0
				d.ScanArgs(t, "n", &n)
				for i := range n {
					p.Hold(group, []Part{{ID: 1<<32 + uint64(i), Tokens: MinTokens}})
				}
			case "release":
				p.Release(runs[run])
			case "saved":
				return fmt.Sprintln(p.Saved(group, parseParts(t, d)))
			case "size":
				links := 0
				for _, held := range p.groups {
					links += len(held)
				}
				return fmt.Sprintf("%d groups, %d links\n", len(p.groups), links)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

func parseParts(t *testing.T, d *datadriven.TestData) []Part {
	t.Helper()
	var parts []Part
	for _, argument := range d.CmdArgs {
		if !strings.Contains(argument.Key, ":") {
			continue
		}
		var part Part
		_, err := fmt.Sscanf(argument.Key, "%d:%d", &part.ID, &part.Tokens)
		assert.NilError(t, err)
		parts = append(parts, part)
	}
	return parts
}

// TestMemory guards against state that exceeds what the smallest processes can spare.
func TestMemory(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	p := New()
	for g := range maxGroups + 10 {
		for i := range maxLinks + 10 {
			p.Hold(Group{Name: fmt.Sprint(g)}, []Part{{ID: uint64(i), Tokens: MinTokens}})
		}
	}
	used := heap() - before
	assert.Equal(t, len(p.groups), maxGroups)
	t.Logf("%d bytes at the bound", used)
	assert.Assert(t, used < 2<<20, "%d bytes", used)
	runtime.KeepAlive(p)
}
