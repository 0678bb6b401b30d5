package claimer

import (
	"context"
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingmount/waxwingmount/internal/platformemulator"
	"github.com/waxwingmount/waxwingmount/internal/seeder"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// TestKeyIsClaimedOnce lets several processes claim few keys in batches while
// replies are lost, and demands that each key is claimed by one of them only,
// and that it is the one that the table names.
func TestKeyIsClaimedOnce(t *testing.T) {
	seeder.Check(t, checkClaims)
}

// process is one process with its batcher.
type process struct {
	name    string
	batcher *Batcher
	keys    map[uint64]string
	claimed map[string]bool
}

func checkClaims(t *rapid.T) {
	ctx := context.Background()
	store := platformemulator.NewStore()
	operations := 0
	newID := func() string { operations++; return strconv.Itoa(operations) }
	var processes []*process
	for i := range 3 {
		processes = append(processes, &process{
			name: fmt.Sprintf("entry-%d", i), batcher: NewBatcher(newID),
			keys: make(map[uint64]string), claimed: make(map[string]bool),
		})
	}
	nextID := uint64(0)
	step := func(c *process, lost bool) {
		tx, due := c.batcher.Next()
		if !due {
			return
		}
		outcome, err := store.Commit(ctx, tx)
		if err != nil || lost {
			return
		}
		for _, r := range c.batcher.Complete(outcome) {
			c.claimed[c.keys[r.ID]] = c.claimed[c.keys[r.ID]] || r.Conflict == nil
		}
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		c := rapid.SampledFrom(processes).Draw(t, "process")
		if rapid.Bool().Draw(t, "submit") {
			nextID++
			key := fmt.Sprintf("claims/%d", rapid.IntRange(0, 5).Draw(t, "key"))
			c.keys[nextID] = key
			c.batcher.Submit(Operation{ID: nextID, Key: key, Value: Record{Holder: c.name}.Encode(), Insert: true})
			continue
		}
		step(c, rapid.Bool().Draw(t, "reply lost"))
	}
	for _, c := range processes {
		for !c.batcher.Idle() {
			step(c, false)
		}
	}
	checkWinners(t, store, processes)
}

func checkWinners(t *rapid.T, table provider.Reader, processes []*process) {
	winners := make(map[string]string)
	for _, c := range processes {
		for key, won := range c.claimed {
			if !won {
				continue
			}
			if other, taken := winners[key]; taken {
				t.Fatalf("%s was claimed by %s and %s", key, other, c.name)
			}
			winners[key] = c.name
		}
	}
	rows, err := table.Scan(context.Background(), "claims/")
	assert.NilError(t, err)
	for _, row := range rows {
		record, err := Decode(row.Value)
		assert.NilError(t, err)
		assert.Equal(t, record.Holder, winners[row.Key])
	}
}
