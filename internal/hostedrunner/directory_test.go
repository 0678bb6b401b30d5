package hostedrunner

import (
	"net/netip"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// TestAdvertised guards against callers being sent to instances that reach no server while
// others do, and against the few others being crowded, or none being left, when most are cut.
func TestAdvertised(t *testing.T) {
	for name, test := range map[string]struct{ members, cut, leaving, want int }{
		"none cut":          {members: 7, want: 7},
		"some cut":          {members: 7, cut: 3, want: 4},
		"most cut":          {members: 7, cut: 4, want: 7},
		"all cut":           {members: 7, cut: 7, want: 7},
		"half cut":          {members: 6, cut: 3, want: 3},
		"some cut, leaving": {members: 7, cut: 3, leaving: 2, want: 5},
	} {
		t.Run(name, func(t *testing.T) {
			var members []gossiper.Member
			for i := range test.members {
				members = append(members, gossiper.Member{
					ID: strconv.Itoa(i), Caller: netip.AddrPortFrom(netip.IPv6Loopback(), uint16(i)), ConfigVersion: 1,
					PathCut: i < test.cut, Leaving: i >= test.members-test.leaving,
				})
			}
			addresses := advertised(members)
			assert.Equal(t, len(addresses), test.want)
		})
	}
}
