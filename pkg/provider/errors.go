package provider

import "github.com/waxwingmount/waxwingmount/pkg/faulter"

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of error.
const (
	// KindUnavailable means that there was no valid response; the outcome of a
	// commit is unknown.
	KindUnavailable Kind = iota
	// KindNotFound means that the object does not exist.
	KindNotFound
	// KindInvalid means that the platform rejected the call as malformed.
	KindInvalid
	// KindStale means that a guard of the transaction is a version of an earlier era
	// of the table; nothing was committed.
	KindStale
	// KindInvalidEntry means that a list has entries that can't be used. The others are
	// returned beside the error.
	KindInvalidEntry
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]
