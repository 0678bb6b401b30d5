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

// TestNoInstanceInTwoGroups lets processes form, change and disband groups from
// old snapshots, sending transactions twice, and demands after each step that
// no instance is in two groups and that every change raised the fence.
func TestNoInstanceInTwoGroups(t *testing.T) {
	seeder.Check(t, checkGroups)
}

func checkGroups(t *rapid.T) {
	ctx := context.Background()
	store := platformemulator.NewStore()
	views := make([]Snapshot, 3)
	for i := range views {
		views[i], _ = Load(ctx, store)
	}
	lastFence := uint64(0)
	for operation := range rapid.IntRange(1, 60).Draw(t, "steps") {
		view := rapid.IntRange(0, len(views)-1).Draw(t, "process")
		if rapid.Bool().Draw(t, "refresh") {
			views[view], _ = Load(ctx, store)
		}
		tx, err := randomChange(t, views[view], strconv.Itoa(operation))
		if err != nil {
			continue
		}
		outcome, _ := store.Commit(ctx, tx)
		again, _ := store.Commit(ctx, tx)
		if again.Committed != outcome.Committed {
			t.Fatalf("a repeated transaction had another outcome")
		}
		now, err := Load(ctx, store)
		if err != nil {
			t.Fatal(err)
		}
		checkSnapshot(t, now)
		if outcome.Committed && now.Fence <= lastFence {
			t.Fatalf("fence %d did not rise above %d", now.Fence, lastFence)
		}
		lastFence = now.Fence
	}
}

func randomChange(t *rapid.T, view Snapshot, operationID string) (provider.Transaction, error) {
	id := fmt.Sprintf("g%d", rapid.IntRange(0, 3).Draw(t, "group"))
	var members []Member
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 2, 2, rapid.ID[int]).Draw(t, "members") {
		members = append(members, Member{Instance: fmt.Sprintf("i%d", n)})
	}
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		return Form(view, Group{ID: id, Members: members}, operationID)
	case 1:
		return ReplaceMembers(view, id, members, operationID)
	case 2:
		return Drain(view, id, operationID)
	default:
		return Disband(view, id, operationID)
	}
}

func checkSnapshot(t *rapid.T, s Snapshot) {
	holder := make(map[string]string)
	for _, g := range s.SortedGroups() {
		for _, m := range g.Members {
			if other, taken := holder[m.Instance]; taken {
				t.Fatalf("%s is in %s and %s", m.Instance, other, g.ID)
			}
			holder[m.Instance] = g.ID
			if s.GroupOf(m.Instance) != g.ID {
				t.Fatalf("%s is a member of %s but assigned to %q", m.Instance, g.ID, s.GroupOf(m.Instance))
			}
		}
	}
}
