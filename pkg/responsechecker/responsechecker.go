// Package responsechecker tells a broken HTTP response from a complete one where [net/http] takes
// it for complete: if its connection is reset while the request is still being written.
//
// # Usage
//
// The DialContext of a client's transport wraps each connection, below everything else that does:
//
//	return responsechecker.NewConn(conn), nil
package responsechecker

import "github.com/waxwingmount/waxwingmount/pkg/faulter"

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of error.
const (
	// KindBroken means that the connection failed before the response was complete.
	KindBroken Kind = iota
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]
