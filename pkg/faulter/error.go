// Package faulter holds the error shape that every package of this module
// shares: the operation that failed, a kind from the package's own
// enumeration, and the cause.
//
// # Usage
//
// A package declares its kinds and one alias, then wraps causes:
//
//	type Error = faulter.Error[Kind]
//
//	return faulter.New("commit", KindConflict, cause)
//
// Callers ask for the kind with [KindOf].
package faulter

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is a failure of one operation, sorted by a package's own kind.
type Error[K fmt.Stringer] struct {
	// Op is the operation that failed, as a lower-case verb phrase.
	Op string
	// Kind sorts the failure for callers that must decide what to do.
	Kind K
	// Err is the cause, or nil when the kind says all there is to say.
	Err error
}

// New returns an error of the given operation and kind that wraps cause.
func New[K fmt.Stringer](op string, kind K, cause error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: cause}
}

// Newf is New with a formatted cause.
func Newf[K fmt.Stringer](op string, kind K, format string, args ...any) *Error[K] {
	return New(op, kind, errors.Newf(format, args...))
}

// Error returns "op: kind: cause".
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
