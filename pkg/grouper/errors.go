package grouper

import "github.com/waxwingmount/waxwingmount/pkg/faulter"

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of error.
const (
	// KindAssigned means that an instance is already assigned to another group.
	KindAssigned Kind = iota
	// KindExists means that a group with the ID exists already.
	KindExists
	// KindMissing means that there is no group with the ID.
	KindMissing
	// KindInvalid means that the change is invalid, such as a group without members.
	KindInvalid
	// KindCorrupt means that a row could not be decoded.
	KindCorrupt
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]
