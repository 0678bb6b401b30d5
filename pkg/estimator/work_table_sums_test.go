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

// TestCollectedWork guards against work that is counted twice or not at all where
// collectors add up the reports of a data centre.
func TestCollectedWork(t *testing.T) {
	now := time.Unix(0, 0)
	first, second := NewWorkTable(), NewWorkTable()
	work := func(running int) map[string]Work { return map[string]Work{"g": {Running: running}} }
	first.SetPeerWork(now, "a", work(1))
	first.SetPeerWork(now, "b", work(2))
	second.SetPeerWork(now, "c", work(4))
	// Each collector has work of its own, and tells the other what reports to it.
	first.SetPeerWork(now, "collector/second", second.DataCentreWorkExcept(now, work(8), []string{"collector/first"}))
	second.SetPeerWork(now, "collector/first", first.DataCentreWorkExcept(now, work(16), []string{"collector/second"}))
	assert.Equal(t, first.PeersExcept(now, "a")["g"].Running, 2+4+8)
	assert.Equal(t, second.PeersExcept(now, "c")["g"].Running, 1+2+16)
	assert.Equal(t, first.DataCentreWorkExcept(now, work(16), []string{"collector/second"})["g"].Running, 1+2+16)
}
