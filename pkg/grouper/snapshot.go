package grouper

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// Keys and key prefixes of the rows that hold groups.
const (
	groupPrefix      = "groups/group/"
	assignmentPrefix = "groups/instance/"
	// fenceKey is the row of the highest fence, which every change of any group
	// increases.
	fenceKey   = "groups/fence"
	scanPrefix = "groups/"
)

var (
	errOtherID   = errors.New("the row is that of another group")
	errNoMembers = errors.New("the group has no members")
)

// assignment is the value of an instance's assignment row.
type assignment struct {
	Group string `json:"group"`
}

// fenceValue is the value of the fence row.
type fenceValue struct {
	Fence uint64 `json:"fence"`
}

// Snapshot is the state of all groups as of one read of the table.
type Snapshot struct {
	// Groups holds the groups by ID.
	Groups map[string]Group
	// Fence is the highest fence of any change.
	Fence uint64

	// Invalid holds what is wrong with the rows that can't be decoded. Such a row counts as
	// none.
	Invalid []error

	versions    map[string]provider.Version
	assignments map[string]string
}

// Load reads a snapshot from the table. It fails with the error of the read, or
// with KindCorrupt.
func Load(ctx context.Context, table provider.Reader) (Snapshot, error) {
	rows, err := table.Scan(ctx, scanPrefix)
	if err != nil {
		return Snapshot{}, err
	}
	return Decode(rows)
}

// LoadFence reads only the highest fence, which shows whether a snapshot is out
// of date. Without a fence row it returns 0. It fails with the error of the read,
// or with KindCorrupt.
func LoadFence(ctx context.Context, table provider.Reader) (uint64, error) {
	row, err := table.Read(ctx, fenceKey)
	if err != nil || !row.Exists() {
		return 0, err
	}
	var value fenceValue
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return 0, faulter.New("decode "+fenceKey, KindCorrupt, err)
	}
	return value.Fence, nil
}

// Decode builds a snapshot from rows that were read together. It fails with
// KindCorrupt if the fence cannot be decoded.
func Decode(rows []provider.Row) (Snapshot, error) {
	s := Snapshot{
		Groups:      make(map[string]Group),
		versions:    make(map[string]provider.Version, len(rows)),
		assignments: make(map[string]string),
	}
	for _, row := range rows {
		err := s.addRow(row)
		if err == nil {
			continue
		}
		err = faulter.New("decode "+row.Key, KindCorrupt, err)
		if row.Key == fenceKey {
			return Snapshot{}, err
		}
		s.Invalid = append(s.Invalid, err)
	}
	return s, nil
}

// addRow decodes one row into the snapshot. Rows with other keys only add their
// version.
func (s *Snapshot) addRow(row provider.Row) error {
	s.versions[row.Key] = row.Version
	switch {
	case row.Key == fenceKey:
		var value fenceValue
		err := json.Unmarshal(row.Value, &value)
		s.Fence = value.Fence
		return err
	case strings.HasPrefix(row.Key, groupPrefix):
		var g Group
		if err := json.Unmarshal(row.Value, &g); err != nil {
			return err
		}
		if g.ID != strings.TrimPrefix(row.Key, groupPrefix) {
			return errOtherID
		}
		if len(g.Members) == 0 {
			return errNoMembers
		}
		s.Groups[g.ID] = g
		return nil
	case strings.HasPrefix(row.Key, assignmentPrefix):
		var value assignment
		if err := json.Unmarshal(row.Value, &value); err != nil {
			return err
		}
		s.assignments[strings.TrimPrefix(row.Key, assignmentPrefix)] = value.Group
		return nil
	}
	return nil
}

// GroupOf returns the ID of the group that an instance is assigned to, or "".
func (s Snapshot) GroupOf(instance string) string { return s.assignments[instance] }

// SortedGroups returns the groups sorted by ID.
func (s Snapshot) SortedGroups() []Group {
	groups := make([]Group, 0, len(s.Groups))
	for _, g := range s.Groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b Group) int { return strings.Compare(a.ID, b.ID) })
	return groups
}
