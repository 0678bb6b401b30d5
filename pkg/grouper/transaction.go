package grouper

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// Form returns the transaction that creates a group from unassigned instances.
// It fails with KindExists if the snapshot has a group with the ID, with
// KindInvalid if the group has no members, and with KindAssigned if the snapshot
// shows one of them in another group.
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

// ReplaceMembers returns the transaction that replaces the members of a group.
// Instances that leave become unassigned; instances that join must be
// unassigned, or it fails with KindAssigned. It fails with KindMissing if there
// is no such group, and with KindInvalid if the number of members differs.
func ReplaceMembers(s Snapshot, id string, members []Member, operationID string) (provider.Transaction, error) {
	const op = "replace members"
	old, found := s.Groups[id]
	if !found {
		return provider.Transaction{}, faulter.Newf(op, KindMissing, "group %q", id)
	}
	if len(members) != len(old.Members) {
		return provider.Transaction{}, faulter.Newf(op, KindInvalid,
			"group %q has %d members, but %d were given", id, len(old.Members), len(members))
	}
	next := old
	next.Members = members
	return changeGroup(s, op, old, next, operationID)
}

// Disband returns the transaction that deletes a group and unassigns its
// instances. It fails with KindMissing if there is no such group.
func Disband(s Snapshot, id string, operationID string) (provider.Transaction, error) {
	old, found := s.Groups[id]
	if !found {
		return provider.Transaction{}, faulter.Newf("disband group", KindMissing, "group %q", id)
	}
	return changeGroup(s, "disband group", old, Group{ID: id}, operationID)
}

// Drain returns the transaction that stops a group from accepting new requests.
// The group keeps its own fence, since its engines continue unchanged; the
// highest fence increases, so that readers detect the change. It fails with
// KindMissing if there is no such group.
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

// changeGroup returns the transaction that replaces old by next under a new
// fence, with the assignment rows of all instances of either. A group without
// members stands for one that does not exist.
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

// affectedInstances returns the IDs of the instances of either group, sorted and
// without duplicates.
func affectedInstances(old, next Group) []string {
	set := make(map[string]struct{})
	for _, m := range slices.Concat(old.Members, next.Members) {
		set[m.Instance] = struct{}{}
	}
	return slices.Sorted(maps.Keys(set))
}

// guardFor returns a guard that requires the row to have the snapshot's version.
func (s Snapshot) guardFor(key string) provider.Guard {
	return provider.Guard{Key: key, Version: s.versions[key]}
}

// jsonWrite returns a write of value, encoded as JSON.
func jsonWrite(key string, value any) provider.Write {
	data, err := json.Marshal(value)
	if err != nil {
		// The value types of this package can always be encoded.
		panic(err)
	}
	return provider.Write{Key: key, Value: data}
}
