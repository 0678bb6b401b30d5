package grouper

import "github.com/waxwingmount/waxwingmount/pkg/faulter"

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind sorts the failures of this package.
type Kind int

// Kinds of failure.
const (
	// KindAssigned says that an instance is already in a group.
	KindAssigned Kind = iota
	// KindExists says that the group's id is taken.
	KindExists
	// KindMissing says that there is no such group.
	KindMissing
	// KindInvalid says that the change makes no sense.
	KindInvalid
	// KindCorrupt says that a row could not be decoded.
	KindCorrupt
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]
