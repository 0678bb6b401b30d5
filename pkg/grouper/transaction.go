package grouper

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// Form returns the transaction that creates a group from free instances. It
// fails with KindAssigned when the snapshot already shows one of them taken.
func Form(s Snapshot, g Group, operationID string) (provider.Transaction, error) {
	const op = "form group"
	if _, exists := s.Groups[g.ID]; exists {
		return provider.Transaction{}, faulter.Newf(op, KindExists, "group %q", g.ID)
	}
	if len(g.Members) == 0 {
		return provider.Transaction{}, faulter.Newf(op, KindInvalid, "group %q has no members", g.ID)
	}
	return changeGroup(s, op, Group{ID: g.ID}, g, operationID)
}

// ReplaceMembers returns the transaction that gives a group new members. Members
// that leave become free; members that join must be free.
func ReplaceMembers(s Snapshot, id string, members []Member, operationID string) (provider.Transaction, error) {
	const op = "replace members"
	old, found := s.Groups[id]
	if !found {
		return provider.Transaction{}, faulter.Newf(op, KindMissing, "group %q", id)
	}
	if len(members) != len(old.Members) {
		return provider.Transaction{}, faulter.Newf(op, KindInvalid,
			"group %q has %d members, not %d", id, len(old.Members), len(members))
	}
	next := old
	next.Members = members
	return changeGroup(s, op, old, next, operationID)
}

// Disband returns the transaction that deletes a group and frees its instances.
func Disband(s Snapshot, id string, operationID string) (provider.Transaction, error) {
	old, found := s.Groups[id]
	if !found {
		return provider.Transaction{}, faulter.Newf("disband group", KindMissing, "group %q", id)
	}
	return changeGroup(s, "disband group", old, Group{ID: id}, operationID)
}

// Drain returns the transaction that stops a group from taking new requests.
// The group keeps its own fence, since its engines go on as they are; the
// highest fence rises, so that readers see that something changed.
func Drain(s Snapshot, id string, operationID string) (provider.Transaction, error) {
	g, found := s.Groups[id]
	if !found {
		return provider.Transaction{}, faulter.Newf("drain group", KindMissing, "group %q", id)
	}
	g.Draining = true
	return provider.Transaction{
		OperationID: operationID,
		Guards:      []provider.Guard{s.guardFor(fenceKey), s.guardFor(groupPrefix + id)},
		Writes: []provider.Write{
			jsonWrite(fenceKey, fenceValue{Fence: s.Fence + 1}),
			jsonWrite(groupPrefix+id, g),
		},
	}, nil
}

// changeGroup moves one group from old to next, with the rows of every instance
// concerned and a new fence. A group without members does not exist.
func changeGroup(s Snapshot, op string, old, next Group, operationID string) (provider.Transaction, error) {
	fence := s.Fence + 1
	next.Fence = fence
	tx := provider.Transaction{
		OperationID: operationID,
		Guards:      []provider.Guard{s.guardFor(fenceKey), s.guardFor(groupPrefix + old.ID)},
		Writes:      []provider.Write{jsonWrite(fenceKey, fenceValue{Fence: fence})},
	}
	if len(next.Members) == 0 {
		tx.Writes = append(tx.Writes, provider.Write{Key: groupPrefix + old.ID, Delete: true})
	} else {
		tx.Writes = append(tx.Writes, jsonWrite(groupPrefix+next.ID, next))
	}
	for _, instance := range affectedInstances(old, next) {
		key := assignmentPrefix + instance
		tx.Guards = append(tx.Guards, s.guardFor(key))
		switch assigned := s.GroupOf(instance); {
		case next.HasMember(instance) && assigned != "" && assigned != old.ID:
			return provider.Transaction{}, faulter.Newf(op, KindAssigned,
				"instance %q is in group %q", instance, assigned)
		case next.HasMember(instance):
			tx.Writes = append(tx.Writes, jsonWrite(key, assignment{Group: next.ID}))
		default:
			tx.Writes = append(tx.Writes, provider.Write{Key: key, Delete: true})
		}
	}
	return tx, nil
}

// affectedInstances returns every instance of either group once, in order.
func affectedInstances(old, next Group) []string {
	set := make(map[string]struct{})
	for _, m := range slices.Concat(old.Members, next.Members) {
		set[m.Instance] = struct{}{}
	}
	return slices.Sorted(maps.Keys(set))
}

func (s Snapshot) guardFor(key string) provider.Guard {
	return provider.Guard{Key: key, Version: s.versions[key]}
}

func jsonWrite(key string, value any) provider.Write {
	data, err := json.Marshal(value)
	if err != nil {
		// The values of this package always encode.
		panic(err)
	}
	return provider.Write{Key: key, Value: data}
}
