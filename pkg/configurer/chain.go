package configurer

import (
	"encoding/json"
	"strconv"

	"github.com/waxwingmount/waxwingmount/pkg/decoder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind sorts the failures of this package.
type Kind int

// Kinds of failure.
const (
	// KindConflict says that another change was accepted first.
	KindConflict Kind = iota
	// KindCorrupt says that a stored configuration could not be decoded.
	KindCorrupt
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// HeadKey is the table row that names the newest accepted version.
const HeadKey = "config/head"

// Head names one accepted version.
type Head struct {
	// Version counts the accepted changes; it only rises.
	Version uint64 `json:"version"`
	// Object is the name of the content in the object store.
	Object string `json:"object"`
	// Author says who made the change, for people.
	Author string `json:"author"`
	// OperationID is the id of the commit that made it.
	OperationID string `json:"operation_id"`
}

// Content is what the object store holds for a version.
type Content struct {
	Sources []decoder.Source `json:"sources"`
	// Parent is the version that this one follows.
	Parent Head `json:"parent"`
}

// DecodeHead decodes the head row; a missing row is version zero.
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

// NewHeadTransaction returns the transaction that makes head the successor of the row
// that was read.
func NewHeadTransaction(row provider.Row, head Head) (provider.Transaction, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return provider.Transaction{}, faulter.New("encode head", KindCorrupt, err)
	}
	return provider.Transaction{
		// A change that met a conflict may be tried again on the new row under
		// its own id; for the table that is another operation.
		OperationID: head.OperationID + "/" + strconv.FormatUint(row.Version, 10),
		Guards:      []provider.Guard{{Key: HeadKey, Version: row.Version}},
		Writes:      []provider.Write{{Key: HeadKey, Value: value}},
	}, nil
}

// VersionTracker decides which version an entry instance runs. It only goes forward.
// Its methods do no I/O and are not safe for concurrent use.
type VersionTracker struct {
	applied Head
	newest  uint64
	// caughtUp says that the newest known version was once applied.
	caughtUp bool
}

// Observe takes in a version that the table or a peer names, and reports
// whether its content should be fetched.
func (c *VersionTracker) Observe(head Head) bool {
	c.newest = max(c.newest, head.Version)
	return head.Version > c.applied.Version
}

// Apply makes head the version that runs, and reports whether it did. A
// version that is not newer is left alone, and so is a first one that is older
// than one that is known: before a restart the instance may have run that.
func (c *VersionTracker) Apply(head Head) bool {
	if head.Version <= c.applied.Version {
		return false
	}
	if c.applied.Version == 0 && head.Version < c.newest {
		return false
	}
	c.applied = head
	c.newest = max(c.newest, head.Version)
	c.caughtUp = c.caughtUp || c.applied.Version == c.newest
	return true
}

// Applied returns the version that runs.
func (c *VersionTracker) Applied() Head { return c.applied }

// Ready reports whether the instance may serve: it has run the newest version
// that it knew of. An instance that starts does not serve on an older one.
func (c *VersionTracker) Ready() bool { return c.caughtUp }

// Behind reports whether a newer version is known than the one that runs.
func (c *VersionTracker) Behind() bool { return c.newest > c.applied.Version }
