package estimator

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBookForgets(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := NewWorkTable()
	b.SetPeerWork(now, "peer", map[string]Work{"g": {Running: 2, UnreadTokens: 100}})
	b.SetDataCentreWork(now, "there", map[string]Work{"g": {Running: 3}})
	assert.Equal(t, b.RemoteWork(now, "g"), Work{Running: 5, UnreadTokens: 100})
	assert.DeepEqual(t, b.DataCentreWork(now, map[string]Work{"g": {Running: 1}, "h": {Running: 1}}), map[string]Work{"g": {Running: 3, UnreadTokens: 100}, "h": {Running: 1}})
	assert.Equal(t, b.RemoteWork(now.Add(nearTTL+1), "g"), Work{Running: 3})
	assert.Equal(t, b.RemoteWork(now.Add(farTTL+1), "g"), Work{})
	assert.Assert(t, b.Empty())
}

// crowd is many entry instances of several data centres before groups that all
// of them use, each of which sees few of the requests.
type crowd struct {
	books   []*WorkTable
	running [][]int
}

const (
	crowdCentres = 4
	crowdEntries = 88
	crowdGroups  = 40
	crowdPicks   = 5
)

// tell passes on what all have under way; sums tells whether data centres hear
// of each other.
func (c *crowd) tell(now time.Time, sums bool) {
	own := make([]map[string]Work, crowdEntries)
	for e := range own {
		own[e] = make(map[string]Work)
		for g, n := range c.running[e] {
			if n > 0 {
				own[e][strconv.Itoa(g)] = Work{Running: n}
			}
		}
	}
	for e := range own {
		for peer := range own {
			if peer != e && peer%crowdCentres == e%crowdCentres {
				c.books[e].SetPeerWork(now, strconv.Itoa(peer), own[peer])
			}
		}
	}
	if !sums {
		return
	}
	for e := range own {
		for centre := range crowdCentres {
			if centre != e%crowdCentres {
				c.books[e].SetDataCentreWork(now, strconv.Itoa(centre), c.books[centre].DataCentreWork(now, own[centre]))
			}
		}
	}
}

// believed returns the part of what runs that an entry instance knows of.
func (c *crowd) believed(now time.Time) float64 {
	known, all := 0, 0
	for g := range crowdGroups {
		known += c.books[0].RemoteWork(now, strconv.Itoa(g)).Running + c.running[0][g]
		for e := range c.running {
			all += c.running[e][g]
		}
	}
	return float64(known) / float64(all)
}

// TestCrowdOverDataCentres is the pattern of a large installation under load:
// each of 88 entry instances sees one request in 88 and shares 40 groups with
// all others. Half of what runs is not to go unseen.
func TestCrowdOverDataCentres(t *testing.T) {
	for _, sums := range []bool{false, true} {
		random := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1_800_000_000, 0)
		c := &crowd{books: make([]*WorkTable, crowdEntries), running: make([][]int, crowdEntries)}
		for e := range c.books {
			c.books[e], c.running[e] = NewWorkTable(), make([]int, crowdGroups)
		}
		for range 400 {
			e := random.IntN(crowdEntries)
			best := random.IntN(crowdGroups)
			for range crowdPicks - 1 {
				g := random.IntN(crowdGroups)
				if c.books[e].RemoteWork(now, strconv.Itoa(g)).Running < c.books[e].RemoteWork(now, strconv.Itoa(best)).Running {
					best = g
				}
			}
			c.running[e][best]++
			c.tell(now, sums)
		}
		if sums {
			assert.Equal(t, c.believed(now), 1.0)
		} else {
			assert.Assert(t, c.believed(now) < 0.5, "%v", c.believed(now))
		}
	}
}
