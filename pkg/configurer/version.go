package configurer

import (
	"encoding/json"

	"github.com/waxwingmount/waxwingmount/pkg/decoder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of error.
const (
	// KindConflict means that another change was accepted first.
	KindConflict Kind = iota
	// KindCorrupt means that a stored configuration could not be decoded.
	KindCorrupt
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// HeadKey is the key of the table row that holds the Head of the newest accepted
// version.
const HeadKey = "config/head"

// Head identifies one accepted version.
type Head struct {
	// Version is the number of accepted changes; it only increases.
	Version uint64 `json:"version"`
	// Object is the name of the content in the object store.
	Object string `json:"object"`
	// Author is the person who made the change, for display only.
	Author string `json:"author"`
	// OperationID identifies the operator's call that made the change.
	OperationID string `json:"operation_id"`
}

// Content is the object that is stored for a version.
type Content struct {
	Sources []decoder.Source `json:"sources"`
	// Parent is the version before this one.
	Parent Head `json:"parent"`
}

// DecodeHead decodes the row at HeadKey; a missing row is version zero. The
// error is of KindCorrupt.
func DecodeHead(row provider.Row) (Head, error) {
	var head Head
	if !row.Exists() {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, faulter.New("decode head", KindCorrupt, err)
	}
	return head, nil
}

// NewHeadTransaction returns the transaction that replaces row, as it was read,
// with head. It fails to commit if the row has changed since.
func NewHeadTransaction(row provider.Row, head Head) (provider.Transaction, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return provider.Transaction{}, faulter.New("encode head", KindCorrupt, err)
	}
	return provider.Transaction{
		// A change that failed with a conflict may be retried on the new row under
		// the same operation ID; the row's version makes it another operation for
		// the table.
		OperationID: head.OperationID + "/" + row.Version.String(),
		Guards:      []provider.Guard{{Key: HeadKey, Version: row.Version}},
		Writes:      []provider.Write{{Key: HeadKey, Value: value}},
	}, nil
}

// VersionTracker decides which version an entry instance runs. The version
// never decreases. The methods do no I/O and are not safe for concurrent use.
type VersionTracker struct {
	applied Head
	newest  uint64
	// caughtUp is set once the applied version was the newest one known.
	caughtUp bool
}

// Observe records a version reported by the table or a peer, and reports whether
// it is newer than the applied one, so that its content should be fetched.
func (t *VersionTracker) Observe(head Head) bool {
	t.newest = max(t.newest, head.Version)
	return head.Version > t.applied.Version
}

// Apply makes head the applied version, and reports whether it did. It ignores
// a version that is not newer. It also ignores a first version that is older
// than the newest known one, because the instance may have run the newer one
// before a restart.
func (t *VersionTracker) Apply(head Head) bool {
	if head.Version <= t.applied.Version {
		return false
	}
	if t.applied.Version == 0 && head.Version < t.newest {
		return false
	}
	t.applied = head
	t.newest = max(t.newest, head.Version)
	t.caughtUp = t.caughtUp || t.applied.Version == t.newest
	return true
}

// Applied returns the applied version.
func (t *VersionTracker) Applied() Head { return t.applied }

// Ready reports whether the instance may serve: at some time it has run the
// newest version that it knew of. An instance that starts does not serve with an
// older one.
func (t *VersionTracker) Ready() bool { return t.caughtUp }

// Behind reports whether a version newer than the applied one is known.
func (t *VersionTracker) Behind() bool { return t.newest > t.applied.Version }
