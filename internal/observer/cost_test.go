package observer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// largeNetwork has the size of the largest deployment.
var largeNetwork = networkSize{entries: 295, groups: 70, plain: 110, domains: 8, degree: 7}

// TestCostOfLosses guards against losses that each entry instance finds and tells by itself:
// a crash must be told once to each, and an instance whose path is cut must neither probe
// its servers over and over nor ask its peers for each of them.
func TestCostOfLosses(t *testing.T) {
	if testing.Short() {
		t.Skip("295 entry instances")
	}
	const (
		seconds = 5
		crashed = 12
		cut     = 87
	)
	size := largeNetwork
	type cost struct{ probes, announcements, inquiries int64 }
	for name, c := range map[string]struct {
		disturb func(*network)
		bound   cost
	}{
		"quiet": {func(*network) {}, cost{}},
		// Twice the messages of one announcement a loss, and for each loss four probes an
		// instance.
		"crash": {
			func(n *network) { n.crash(n.instances[:crashed], errNoResponse) },
			cost{probes: int64(4 * crashed * size.entries), announcements: int64(2 * crashed * size.entries * size.degree), inquiries: int64(crashed * size.entries)},
		},
		// One probe a second for each server that requests are sent to.
		"cut": {
			func(n *network) { n.cut(upTo(cut), n.instances, errNoResponse) },
			cost{probes: int64(cut * seconds * (size.groups + size.plain)), inquiries: int64(2 * cut * maxInquiries * 3)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, size)
			time.Sleep(time.Second)
			c.disturb(n)
			time.Sleep(seconds * time.Second)
			got := cost{n.probes.Load(), n.announcements.Load(), n.inquiries.Load()}
			t.Logf("%+v, at most %+v", got, c.bound)
			assert.Assert(t, got.probes <= c.bound.probes && got.announcements <= c.bound.announcements && got.inquiries <= c.bound.inquiries, "%+v", got)
		})
	}
}
