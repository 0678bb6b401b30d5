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

// TestKeyIsClaimedOnce guards against a key that is claimed by two processes.
// Several processes claim the same few keys in batches while replies are lost.
// Each key must be claimed by one process only, the one that its row names.
func TestKeyIsClaimedOnce(t *testing.T) {
	seeder.Check(t, checkClaims)
}

// process is one process that claims keys.
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
	step := func(p *process, lost bool) {
		tx, due := p.batcher.Next()
		if !due {
			return
		}
		outcome, err := store.Commit(ctx, tx)
		if err != nil || lost {
			return
		}
		for _, r := range p.batcher.Complete(outcome) {
			p.claimed[p.keys[r.ID]] = p.claimed[p.keys[r.ID]] || r.Conflict == nil
		}
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		p := rapid.SampledFrom(processes).Draw(t, "process")
		if rapid.Bool().Draw(t, "submit") {
			nextID++
			key := fmt.Sprintf("claims/%d", rapid.IntRange(0, 5).Draw(t, "key"))
			p.keys[nextID] = key
			p.batcher.Submit(Operation{ID: nextID, Key: key, Value: Record{Holder: p.name}.Encode(), Insert: true})
			continue
		}
		step(p, rapid.Bool().Draw(t, "reply lost"))
	}
	for _, p := range processes {
		for !p.batcher.Idle() {
			step(p, false)
		}
	}
	checkClaimed(t, store, processes)
}

func checkClaimed(t *rapid.T, table provider.Reader, processes []*process) {
	holders := make(map[string]string)
	for _, p := range processes {
		for key, claimed := range p.claimed {
			if !claimed {
				continue
			}
			if other, found := holders[key]; found {
				t.Fatalf("key %s was claimed by both %s and %s", key, other, p.name)
			}
			holders[key] = p.name
		}
	}
	rows, err := table.Scan(context.Background(), "claims/")
	assert.NilError(t, err)
	for _, row := range rows {
		record, err := Decode(row.Value)
		assert.NilError(t, err)
		assert.Equal(t, record.Holder, holders[row.Key])
	}
}
