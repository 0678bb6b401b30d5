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
	t.Run("work", func(t *testing.T) {
		checkSums(t, func(random *rand.Rand) Work {
			return Work{Running: random.IntN(9), UnreadTokens: random.IntN(500)}
		})
	})
	t.Run("pools", func(t *testing.T) {
		checkSums(t, func(random *rand.Rand) PoolReport {
			r := PoolReport{Offered: time.Duration(random.IntN(1e9)), Arrived: random.IntN(9000), Missed: random.IntN(900)}
			r.Waiting[random.IntN(Ranks)], r.Late[random.IntN(Ranks)] = random.IntN(9), random.IntN(9)
			return r
		})
	})
}

// checkSums replaces reports of random values and compares the sums with the reports.
func checkSums[T Summable[T]](t *testing.T, draw func(*rand.Rand) T) {
	random := rand.New(rand.NewPCG(7, 11))
	table := NewReportTable[T]()
	now := time.Unix(0, 0)
	reports := make(map[string]report[T])
	for range 3000 {
		now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
		peer := fmt.Sprint("entry-", random.IntN(12))
		values := make(map[string]T)
		for range random.IntN(4) {
			values[fmt.Sprint("group-", random.IntN(5))] = draw(random)
		}
		table.SetPeer(now, peer, values)
		reports[peer] = report[T]{now, values}
		name := fmt.Sprint("group-", random.IntN(5))
		var want T
		for _, r := range reports {
			if now.Sub(r.receivedAt) <= peerTTL {
				want = want.plus(r.values[name])
			}
		}
		assert.Equal(t, table.Remote(now, name), want)
	}
	var zero T
	assert.Assert(t, table.Remote(now.Add(2*peerTTL), "group-0") == zero)
	assert.Assert(t, table.Empty())
}

// TestCollectedWork guards against work that is counted twice or not at all where
// collectors add up the reports of a data centre.
func TestCollectedWork(t *testing.T) {
	now := time.Unix(0, 0)
	first, second := NewReportTable[Work](), NewReportTable[Work]()
	work := func(running int) map[string]Work { return map[string]Work{"g": {Running: running}} }
	first.SetPeer(now, "a", work(1))
	first.SetPeer(now, "b", work(2))
	second.SetPeer(now, "c", work(4))
	// Each collector has work of its own, and tells the other what reports to it.
	first.SetPeer(now, "collector/second", second.DataCentreExcept(now, work(8), []string{"collector/first"}))
	second.SetPeer(now, "collector/first", first.DataCentreExcept(now, work(16), []string{"collector/second"}))
	assert.Equal(t, first.DataCentreExcept(now, nil, []string{"a"})["g"].Running, 2+4+8)
	assert.Equal(t, second.DataCentreExcept(now, nil, []string{"c"})["g"].Running, 1+2+16)
	assert.Equal(t, first.DataCentreExcept(now, work(16), []string{"collector/second"})["g"].Running, 1+2+16)
}
