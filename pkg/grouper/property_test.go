package grouper

import (
	"context"
	"fmt"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/waxwingmount/waxwingmount/internal/platformemulator"
	"github.com/waxwingmount/waxwingmount/internal/seeder"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// TestNoInstanceInTwoGroups guards against an instance that is assigned to two
// groups. Several processes change groups from outdated snapshots and commit each
// transaction twice. After each step no instance may be in two groups, and each
// committed change must have increased the fence.
func TestNoInstanceInTwoGroups(t *testing.T) {
	seeder.Check(t, checkGroups)
}

func checkGroups(t *rapid.T) {
	ctx := context.Background()
	store := platformemulator.NewStore()
	snapshots := make([]Snapshot, 3)
	for i := range snapshots {
		snapshots[i], _ = Load(ctx, store)
	}
	lastFence := uint64(0)
	for operation := range rapid.IntRange(1, 60).Draw(t, "steps") {
		index := rapid.IntRange(0, len(snapshots)-1).Draw(t, "process")
		if rapid.Bool().Draw(t, "refresh") {
			snapshots[index], _ = Load(ctx, store)
		}
		tx, err := randomChange(t, snapshots[index], strconv.Itoa(operation))
		if err != nil {
			continue
		}
		outcome, _ := store.Commit(ctx, tx)
		repeated, _ := store.Commit(ctx, tx)
		if repeated.Committed != outcome.Committed {
			t.Fatalf("repeating a transaction returned a different outcome")
		}
		current, err := Load(ctx, store)
		if err != nil {
			t.Fatal(err)
		}
		checkSnapshot(t, current)
		if outcome.Committed && current.Fence <= lastFence {
			t.Fatalf("fence %d is not higher than the previous fence %d", current.Fence, lastFence)
		}
		lastFence = current.Fence
	}
}

func randomChange(t *rapid.T, snapshot Snapshot, operationID string) (provider.Transaction, error) {
	id := fmt.Sprintf("g%d", rapid.IntRange(0, 3).Draw(t, "group"))
	var members []Member
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 2, 2, rapid.ID[int]).Draw(t, "members") {
		members = append(members, Member{Instance: fmt.Sprintf("i%d", n)})
	}
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		return Form(snapshot, Group{ID: id, Members: members}, operationID)
	case 1:
		return ReplaceMembers(snapshot, id, members, operationID)
	case 2:
		return Drain(snapshot, id, operationID)
	default:
		return Disband(snapshot, id, operationID)
	}
}

func checkSnapshot(t *rapid.T, s Snapshot) {
	groupOf := make(map[string]string)
	for _, g := range s.SortedGroups() {
		for _, m := range g.Members {
			if other, found := groupOf[m.Instance]; found {
				t.Fatalf("instance %s is in groups %s and %s", m.Instance, other, g.ID)
			}
			groupOf[m.Instance] = g.ID
			if s.GroupOf(m.Instance) != g.ID {
				t.Fatalf("instance %s is a member of group %s but assigned to %q", m.Instance, g.ID, s.GroupOf(m.Instance))
			}
		}
	}
}
