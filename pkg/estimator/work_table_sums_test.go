package estimator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSumsFollowReports guards against sums that drift from the reports that they stand
// for, as reports are replaced and expire in any order.
func TestSumsFollowReports(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 11))
	table := NewWorkTable()
	now := time.Unix(0, 0)
	reports := make(map[string]workReport)
	for range 3000 {
		now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
		peer := fmt.Sprint("entry-", random.IntN(12))
		works := make(map[string]Work)
		for range random.IntN(4) {
			works[fmt.Sprint("group-", random.IntN(5))] = Work{Running: random.IntN(9), UnreadTokens: random.IntN(500)}
		}
		table.SetPeerWork(now, peer, works)
		reports[peer] = workReport{now, works}
		backend := fmt.Sprint("group-", random.IntN(5))
		var want Work
		for _, r := range reports {
			if now.Sub(r.receivedAt) <= peerTTL {
				want = want.plus(r.works[backend])
			}
		}
		assert.Equal(t, table.RemoteWork(now, backend), want)
	}
	assert.Assert(t, table.RemoteWork(now.Add(2*peerTTL), "group-0") == Work{})
	assert.Assert(t, table.Empty())
}
