package discoverer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// stubTable is a table in memory that counts its calls.
type stubTable struct {
	mu      sync.Mutex
	rows    map[string][]byte
	scans   int
	commits int
}

func (s *stubTable) Read(context.Context, string) (provider.Row, error) { return provider.Row{}, nil }

func (s *stubTable) Scan(_ context.Context, prefix string) ([]provider.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scans++
	var rows []provider.Row
	for key, value := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, provider.Row{Key: key, Value: value})
		}
	}
	return rows, nil
}

func (s *stubTable) Commit(_ context.Context, tx provider.Transaction) (provider.Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	for _, w := range tx.Writes {
		s.rows[w.Key] = w.Value
	}
	return provider.Outcome{Committed: true}, nil
}

type noVersions struct{}

func (noVersions) FillVersions(*messenger.ExchangeMessage)                  {}
func (noVersions) HandleVersions(netip.AddrPort, messenger.ExchangeMessage) {}

func newTestDiscoverer(table provider.Table, id string) *Discoverer {
	return New(Settings{
		Self: gossiper.Member{ID: id, Epoch: 1}, Started: clocker.Now(), Interval: 250 * time.Millisecond, Degree: 4,
	}, table, messenger.NewPool(messenger.Security{}), noVersions{})
}

// meet makes a discoverer know n live peers.
func meet(d *Discoverer, n int) {
	digest := gossiper.Digest{Versions: make(map[string]gossiper.Version)}
	for i := range n {
		m := gossiper.Member{ID: fmt.Sprintf("peer-%03d", i), Epoch: 1}
		digest.Records = append(digest.Records, m)
		digest.Versions[m.ID] = gossiper.Version{Epoch: 1, Beat: 1}
	}
	d.HandleExchange(messenger.ExchangeMessage{Digest: digest})
}

// TestRowsAreBounded guards against a row of each of hundreds of instances, and as many
// pages for each that reads them; an instance that knows nobody must be found all the same.
func TestRowsAreBounded(t *testing.T) {
	table := &stubTable{rows: make(map[string][]byte)}
	for i := range 295 {
		d := newTestDiscoverer(table, fmt.Sprintf("peer-%03d", i))
		meet(d, 295)
		assert.Equal(t, d.Count(), 295)
		assert.NilError(t, d.syncTable(t.Context()))
	}
	assert.Equal(t, len(table.rows), maxRows)

	alone := newTestDiscoverer(table, "alone")
	assert.NilError(t, alone.syncTable(t.Context()))
	var m gossiper.Member
	assert.NilError(t, json.Unmarshal(table.rows[rowPrefix+"alone"], &m))
	assert.Equal(t, m.ID, "alone")
	assert.Equal(t, len(alone.gossiper.Tick(clocker.Now())), maxRows, "it tries all whose rows it found")
}

// TestTableIsLeftAloneAtStart guards against a scan of the rows by each of hundreds of
// instances that start together and find each other through their seeds.
func TestTableIsLeftAloneAtStart(t *testing.T) {
	table := &stubTable{rows: make(map[string][]byte)}
	d := newTestDiscoverer(table, "self")
	d.hasSeeds = true
	meet(d, 200)
	go d.tableLoop(t.Context())
	time.Sleep(seedTime + 200*time.Millisecond)
	table.mu.Lock()
	defer table.mu.Unlock()
	assert.Equal(t, table.scans, 0)
}
