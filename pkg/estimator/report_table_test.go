package estimator

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReportTableExpiry(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := NewReportTable[Work]()
	table.SetPeer(now, "peer", map[string]Work{"g": {Running: 2, UnreadTokens: 100}})
	table.SetDataCentre(now, "there", map[string]Work{"g": {Running: 3}})
	assert.Equal(t, table.Remote(now, "g"), Work{Running: 5, UnreadTokens: 100})
	assert.DeepEqual(t, table.DataCentreExcept(now, map[string]Work{"g": {Running: 1}, "h": {Running: 1}}, nil), map[string]Work{"g": {Running: 3, UnreadTokens: 100}, "h": {Running: 1}})
	assert.Equal(t, table.Remote(now.Add(peerTTL+1), "g"), Work{Running: 3})
	assert.Equal(t, table.Remote(now.Add(dataCentreTTL+1), "g"), Work{})
	assert.Assert(t, table.Empty())
}

// fleet simulates entry instances of several data centres that share replica
// groups. Each instance handles a small part of the requests.
type fleet struct {
	tables []*ReportTable[Work]
	// running is the number of running requests by entry instance and group.
	running [][]int
}

const (
	fleetDataCentres = 4
	fleetEntries     = 88
	fleetGroups      = 40
	fleetPicks       = 5
)

// exchangeWork delivers the work in flight of each instance to its peers. With
// sums, the data centres also receive the sums of each other.
func (f *fleet) exchangeWork(now time.Time, sums bool) {
	own := make([]map[string]Work, fleetEntries)
	for e := range own {
		own[e] = make(map[string]Work)
		for g, n := range f.running[e] {
			if n > 0 {
				own[e][strconv.Itoa(g)] = Work{Running: n}
			}
		}
	}
	for e := range own {
		for peer := range own {
			if peer != e && peer%fleetDataCentres == e%fleetDataCentres {
				f.tables[e].SetPeer(now, strconv.Itoa(peer), own[peer])
			}
		}
	}
	if !sums {
		return
	}
	for e := range own {
		for dataCentre := range fleetDataCentres {
			if dataCentre != e%fleetDataCentres {
				f.tables[e].SetDataCentre(now, strconv.Itoa(dataCentre), f.tables[dataCentre].DataCentreExcept(now, own[dataCentre], nil))
			}
		}
	}
}

// knownShare returns the fraction of the running requests that the first entry
// instance knows of.
func (f *fleet) knownShare(now time.Time) float64 {
	known, all := 0, 0
	for g := range fleetGroups {
		known += f.tables[0].Remote(now, strconv.Itoa(g)).Running + f.running[0][g]
		for e := range f.running {
			all += f.running[e][g]
		}
	}
	return float64(known) / float64(all)
}

// TestWorkAcrossDataCentres guards against routing on incomplete load data: in
// an installation of 88 entry instances and 40 shared groups, an instance that
// receives no sums from other data centres knows of less than half of the running
// requests. With the sums it knows of all.
func TestWorkAcrossDataCentres(t *testing.T) {
	for _, sums := range []bool{false, true} {
		random := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1_800_000_000, 0)
		f := &fleet{tables: make([]*ReportTable[Work], fleetEntries), running: make([][]int, fleetEntries)}
		for e := range f.tables {
			f.tables[e], f.running[e] = NewReportTable[Work](), make([]int, fleetGroups)
		}
		for range 400 {
			e := random.IntN(fleetEntries)
			best := random.IntN(fleetGroups)
			for range fleetPicks - 1 {
				g := random.IntN(fleetGroups)
				if f.tables[e].Remote(now, strconv.Itoa(g)).Running < f.tables[e].Remote(now, strconv.Itoa(best)).Running {
					best = g
				}
			}
			f.running[e][best]++
			f.exchangeWork(now, sums)
		}
		if sums {
			assert.Equal(t, f.knownShare(now), 1.0)
		} else {
			assert.Assert(t, f.knownShare(now) < 0.5, "%v", f.knownShare(now))
		}
	}
}
