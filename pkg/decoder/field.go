package decoder

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// Field is one key that a section accepts.
type Field struct {
	Name     string
	Accepted string
	Required bool
	// Set parses the value and stores it.
	Set func(value string) error
}

// Schema returns the fields of a section, or false for an unknown section.
type Schema func(section *Section) ([]Field, bool)

// Decode checks every section against the schema and stores all values. The
// required sections must be there.
func (d *Document) Decode(schema Schema, accepted string, required ...string) error {
	mistakes := d.missingSections(required)
	for _, section := range d.sections {
		fields, known := schema(section)
		if !known {
			mistakes = append(mistakes, section.schemaError("", "unknown section", accepted))
			continue
		}
		mistakes = append(mistakes, section.decode(fields)...)
	}
	if len(mistakes) > 0 {
		return faulter.New("check settings", KindInvalid, mistakes)
	}
	return nil
}

// missingSections returns a mistake for each required section that is not there.
func (d *Document) missingSections(required []string) SchemaErrors {
	var mistakes SchemaErrors
	for _, name := range required {
		found := slices.ContainsFunc(d.sections, func(s *Section) bool { return s.header() == name })
		if !found {
			mistakes = append(mistakes, SchemaError{Position: Position{File: d.name}, Section: name, Problem: "missing section"})
		}
	}
	return mistakes
}

func (s *Section) decode(fields []Field) SchemaErrors {
	var mistakes SchemaErrors
	known := make(map[string]Field, len(fields))
	names := make([]string, len(fields))
	for i, field := range fields {
		known[field.Name] = field
		names[i] = field.Name
	}
	seen := make(map[string]bool)
	for _, e := range s.keys {
		seen[e.name] = true
		field, found := known[e.name]
		if !found {
			mistakes = append(mistakes, s.schemaError(e.name, "unknown key", strings.Join(names, ", ")))
			continue
		}
		if err := field.Set(e.value); err != nil {
			problem := fmt.Sprintf("value %q: %s", e.value, err)
			mistakes = append(mistakes, s.schemaError(e.name, problem, field.Accepted))
		}
	}
	for _, field := range fields {
		if field.Required && !seen[field.Name] {
			mistakes = append(mistakes, s.schemaError(field.Name, "missing", field.Accepted))
		}
	}
	return mistakes
}

// schemaError returns a schemaError at a key of the section, or at its first line.
func (s *Section) schemaError(key, problem, accepted string) SchemaError {
	m := SchemaError{Position: s.Position, Section: s.header(), Key: key, Problem: problem, Accepted: accepted}
	for _, e := range s.keys {
		if e.name == key {
			m.Position = e.position
		}
	}
	return m
}

// KeyError returns a mistake at a key of the section as an error; it is for
// checks that concern more than one key.
func (s *Section) KeyError(key, problem, accepted string) error {
	return faulter.New("check settings", KindInvalid, SchemaErrors{s.schemaError(key, problem, accepted)})
}

// newValueError is a value that a field does not accept.
func newValueError(text string) error { return valueError(text) }

type valueError string

func (p valueError) Error() string { return string(p) }

// String is a field that takes any text that is not empty.
func String(name string, into *string) Field {
	return Field{Name: name, Accepted: "a text", Set: func(value string) error {
		if value == "" {
			return newValueError("empty")
		}
		*into = value
		return nil
	}}
}

// OneOf is a field that takes one of the given values.
func OneOf(name string, into *string, values ...string) Field {
	return Field{Name: name, Accepted: strings.Join(values, ", "), Set: func(value string) error {
		for _, v := range values {
			if v == value {
				*into = value
				return nil
			}
		}
		return newValueError("not one of the accepted values")
	}}
}

// Int is a field that takes a whole number from low to high.
func Int(name string, into *int, low, high int) Field {
	return Field{Name: name, Accepted: fmt.Sprintf("a whole number from %d to %d", low, high), Set: func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return newValueError("not a whole number")
		}
		if n < low || n > high {
			return newValueError("out of range")
		}
		*into = n
		return nil
	}}
}

// Float is a field that takes a number from low to high.
func Float(name string, into *float64, low, high float64) Field {
	return Field{Name: name, Accepted: fmt.Sprintf("a number from %g to %g", low, high), Set: func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return newValueError("not a number")
		}
		if !(n >= low && n <= high) {
			return newValueError("out of range")
		}
		*into = n
		return nil
	}}
}

// Duration is a field that takes a duration from low to high.
func Duration(name string, into *time.Duration, low, high time.Duration) Field {
	return Field{Name: name, Accepted: fmt.Sprintf("a duration from %s to %s", low, high), Set: func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return newValueError("not a duration such as 250ms or 2s")
		}
		if d < low || d > high {
			return newValueError("out of range")
		}
		*into = d
		return nil
	}}
}

// Address is a field that takes one IP address and port.
func Address(name string, into *netip.AddrPort) Field {
	return Field{Name: name, Accepted: "an IP address and port such as 10.0.0.1:8080", Set: func(value string) error {
		a, err := netip.ParseAddrPort(value)
		if err != nil {
			return newValueError("not an IP address and port")
		}
		*into = a
		return nil
	}}
}

// Addresses is a field that takes IP addresses and ports, parted by commas.
func Addresses(name string, into *[]netip.AddrPort) Field {
	return Field{Name: name, Accepted: "IP addresses and ports, parted by commas", Set: func(value string) error {
		var addresses []netip.AddrPort
		for _, part := range strings.Split(value, ",") {
			a, err := netip.ParseAddrPort(strings.TrimSpace(part))
			if err != nil {
				return newValueError("not an IP address and port: " + strings.TrimSpace(part))
			}
			addresses = append(addresses, a)
		}
		*into = addresses
		return nil
	}}
}

// List is a field that takes words, parted by commas.
func List(name string, into *[]string) Field {
	return Field{Name: name, Accepted: "words, parted by commas", Set: func(value string) error {
		var words []string
		for _, part := range strings.Split(value, ",") {
			word := strings.TrimSpace(part)
			if word == "" {
				return newValueError("empty word")
			}
			words = append(words, word)
		}
		*into = words
		return nil
	}}
}

// Bool is a field that takes true or false.
func Bool(name string, into *bool) Field {
	return Field{Name: name, Accepted: "true, false", Set: func(value string) error {
		switch value {
		case "true":
			*into = true
		case "false":
			*into = false
		default:
			return newValueError("neither true nor false")
		}
		return nil
	}}
}

// Required marks a field as required.
func Required(field Field) Field {
	field.Required = true
	return field
}
