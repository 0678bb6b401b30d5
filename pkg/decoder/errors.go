package decoder

import (
	"fmt"
	"strings"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -linecomment -output=kind_string.go

// Kind sorts the failures of this package.
type Kind int

// Kinds of failure.
const (
	// KindSyntax says that a file is not well-formed INI.
	KindSyntax Kind = iota
	// KindInvalid says that a file breaks its schema.
	KindInvalid // Mistakes
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// SchemaError is one place where a document breaks its schema.
type SchemaError struct {
	Position Position
	Section  string
	Key      string
	Problem  string
	// Accepted says what would have been right.
	Accepted string
}

// String returns "file:line", or the file alone.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// String returns the mistake as one line.
func (m SchemaError) String() string {
	text := fmt.Sprintf("%s: section [%s]", m.Position, m.Section)
	if m.Key != "" {
		text += fmt.Sprintf(": key %q", m.Key)
	}
	text += ": " + m.Problem
	if m.Accepted != "" {
		text += "; accepted: " + m.Accepted
	}
	return text
}

// SchemaErrors is all that is wrong with a document.
type SchemaErrors []SchemaError

// Error returns one line for each mistake.
func (m SchemaErrors) Error() string {
	lines := make([]string, len(m))
	for i, mistake := range m {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}
