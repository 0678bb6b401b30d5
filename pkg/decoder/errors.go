package decoder

import (
	"fmt"
	"strings"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -linecomment -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of error.
const (
	// KindSyntax means that a file is not well-formed INI.
	KindSyntax Kind = iota
	// KindInvalid means that a document violates its schema.
	KindInvalid // Mistakes
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// SchemaError is one violation of the schema.
type SchemaError struct {
	Position Position
	Section  string
	Key      string
	Problem  string
	// Accepted describes the accepted values; it may be empty.
	Accepted string
}

// String returns "file:line", or the file name if the line is zero.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// String returns the error as one line.
func (e SchemaError) String() string {
	text := fmt.Sprintf("%s: section [%s]", e.Position, e.Section)
	if e.Key != "" {
		text += fmt.Sprintf(": key %q", e.Key)
	}
	text += ": " + e.Problem
	if e.Accepted != "" {
		text += "; accepted: " + e.Accepted
	}
	return text
}

// SchemaErrors are all violations of the schema in a document.
type SchemaErrors []SchemaError

// Error returns one line for each violation.
func (e SchemaErrors) Error() string {
	lines := make([]string, len(e))
	for i, schemaError := range e {
		lines[i] = schemaError.String()
	}
	return strings.Join(lines, "\n")
}
