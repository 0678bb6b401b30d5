// Package responsechecker tells a broken HTTP response from a complete one where [net/http] takes
// it for complete: if its connection is reset while the request is still being written, and if its
// head is none.
//
// # Usage
//
// [Wrap] returns a client's transport with both checks:
//
//	client := &http.Client{Transport: responsechecker.Wrap(&http.Transport{DialContext: dial})}
//
// A client with connections of its own uses the parts: [NewConn] below everything else that wraps
// a connection, and [CheckHead] before anything that a response says is believed.
package responsechecker

import (
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of error.
const (
	// KindBroken means that the connection failed before the response was complete.
	KindBroken Kind = iota
	// KindMalformed means that a response has a head that is none.
	KindMalformed
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// CheckHead returns an error of [KindMalformed] if the head of a final response is none: its
// status is below 200, or the name of a field is no token. net/http keeps a name with a blank in
// it as it is, and does not see the length or the coding that stands under such a name.
func CheckHead(r *http.Response) error {
	const op = "read response head"
	if r.StatusCode < http.StatusOK {
		return faulter.Newf(op, KindMalformed, "status %03d is none of a final response", r.StatusCode)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return faulter.Newf(op, KindMalformed, "field name %q is no token", name)
		}
	}
	return nil
}
