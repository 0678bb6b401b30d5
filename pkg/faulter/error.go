// Package faulter defines the error type that all packages of this module share:
// the operation that failed, a kind from the package's own enumeration, and the
// cause.
//
// # Usage
//
// A package declares its kinds and one alias, then wraps causes:
//
//	type Error = faulter.Error[Kind]
//
//	return faulter.New("commit", KindConflict, cause)
//
// Callers get the kind with [KindOf].
package faulter

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is the failure of one operation, classified by the package's own kind.
type Error[K fmt.Stringer] struct {
	// Op is the operation that failed, as a lower-case verb phrase.
	Op string
	// Kind is the class of the error, on which callers base their decisions.
	Kind K
	// Err is the cause, or nil if the kind alone describes the error.
	Err error
}

// New returns an error of the given operation and kind that wraps cause.
func New[K fmt.Stringer](op string, kind K, cause error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: cause}
}

// Newf is like New, with a formatted message as the cause.
func Newf[K fmt.Stringer](op string, kind K, format string, args ...any) *Error[K] {
	return New(op, kind, errors.Newf(format, args...))
}

// Error returns "op: kind: cause", or "op: kind" without a cause.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return e.Op + ": " + e.Kind.String()
	}
	return e.Op + ": " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// KindOf returns the kind of the first error of type Error[K] in err's chain,
// and whether there is one.
func KindOf[K fmt.Stringer](err error) (K, bool) {
	var target *Error[K]
	if errors.As(err, &target) {
		return target.Kind, true
	}
	var zero K
	return zero, false
}
