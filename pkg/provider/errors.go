package provider

import "github.com/waxwingmount/waxwingmount/pkg/faulter"

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind sorts the failures of this package.
type Kind int

// Kinds of failure.
const (
	// KindUnavailable says that no answer came; a commit's outcome is unknown.
	KindUnavailable Kind = iota
	// KindNotFound says that the object does not exist.
	KindNotFound
	// KindInvalid says that the platform refused the call as malformed.
	KindInvalid
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]
