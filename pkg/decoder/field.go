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

// Schema returns the accepted fields of a section, or false for an unknown
// section.
type Schema func(section *Section) ([]Field, bool)

// Decode checks every section against the schema and stores the values. accepted
// lists the accepted sections for the error message. A missing required section
// is an error. The error is of KindInvalid and wraps [SchemaErrors].
func (d *Document) Decode(schema Schema, accepted string, required ...string) error {
	errs := d.missingSections(required)
	for _, section := range d.sections {
		fields, known := schema(section)
		if !known {
			errs = append(errs, section.schemaError("", "unknown section", accepted))
			continue
		}
		errs = append(errs, section.decode(fields)...)
	}
	if len(errs) > 0 {
		return faulter.New("check settings", KindInvalid, errs)
	}
	return nil
}

// missingSections returns an error for each required section that is missing.
func (d *Document) missingSections(required []string) SchemaErrors {
	var errs SchemaErrors
	for _, name := range required {
		found := slices.ContainsFunc(d.sections, func(s *Section) bool { return s.header() == name })
		if !found {
			errs = append(errs, SchemaError{Position: Position{File: d.name}, Section: name, Problem: "missing section"})
		}
	}
	return errs
}

func (s *Section) decode(fields []Field) SchemaErrors {
	var errs SchemaErrors
	byName := make(map[string]Field, len(fields))
	names := make([]string, len(fields))
	for i, field := range fields {
		byName[field.Name] = field
		names[i] = field.Name
	}
	seen := make(map[string]bool)
	for _, kv := range s.keys {
		seen[kv.name] = true
		field, found := byName[kv.name]
		if !found {
			errs = append(errs, s.schemaError(kv.name, "unknown key", strings.Join(names, ", ")))
			continue
		}
		if err := field.Set(kv.value); err != nil {
			problem := fmt.Sprintf("value %q: %s", kv.value, err)
			errs = append(errs, s.schemaError(kv.name, problem, field.Accepted))
		}
	}
	for _, field := range fields {
		if field.Required && !seen[field.Name] {
			errs = append(errs, s.schemaError(field.Name, "missing", field.Accepted))
		}
	}
	return errs
}

// schemaError returns an error at the position of a key, or of the section if the
// key is not set.
func (s *Section) schemaError(key, problem, accepted string) SchemaError {
	schemaError := SchemaError{Position: s.Position, Section: s.header(), Key: key, Problem: problem, Accepted: accepted}
	for _, kv := range s.keys {
		if kv.name == key {
			schemaError.Position = kv.position
		}
	}
	return schemaError
}

// KeyError returns a schema error at a key of the section, for checks that concern
// more than one key.
func (s *Section) KeyError(key, problem, accepted string) error {
	return faulter.New("check settings", KindInvalid, SchemaErrors{s.schemaError(key, problem, accepted)})
}

// newValueError returns the error of a field that does not accept a value.
func newValueError(text string) error { return valueError(text) }

type valueError string

func (e valueError) Error() string { return string(e) }

// String is a field that accepts any non-empty string.
func String(name string, target *string) Field {
	return Field{Name: name, Accepted: "a text", Set: func(value string) error {
		if value == "" {
			return newValueError("empty")
		}
		*target = value
		return nil
	}}
}

// OneOf is a field that accepts one of the given values.
func OneOf(name string, target *string, values ...string) Field {
	return Field{Name: name, Accepted: strings.Join(values, ", "), Set: func(value string) error {
		for _, v := range values {
			if v == value {
				*target = value
				return nil
			}
		}
		return newValueError("not one of the accepted values")
	}}
}

// Int is a field that accepts an integer from low to high.
func Int(name string, target *int, low, high int) Field {
	return Field{Name: name, Accepted: fmt.Sprintf("a whole number from %d to %d", low, high), Set: func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return newValueError("not a whole number")
		}
		if n < low || n > high {
			return newValueError("out of range")
		}
		*target = n
		return nil
	}}
}

// Float is a field that accepts a number from low to high.
func Float(name string, target *float64, low, high float64) Field {
	return Field{Name: name, Accepted: fmt.Sprintf("a number from %g to %g", low, high), Set: func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return newValueError("not a number")
		}
		if !(n >= low && n <= high) {
			return newValueError("out of range")
		}
		*target = n
		return nil
	}}
}

// Duration is a field that accepts a duration from low to high, in the format of
// [time.ParseDuration].
func Duration(name string, target *time.Duration, low, high time.Duration) Field {
	return Field{Name: name, Accepted: fmt.Sprintf("a duration from %s to %s", low, high), Set: func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return newValueError("not a duration such as 250ms or 2s")
		}
		if d < low || d > high {
			return newValueError("out of range")
		}
		*target = d
		return nil
	}}
}

// Address is a field that accepts one IP address and port.
func Address(name string, target *netip.AddrPort) Field {
	return Field{Name: name, Accepted: "an IP address and port such as 10.0.0.1:8080", Set: func(value string) error {
		a, err := netip.ParseAddrPort(value)
		if err != nil {
			return newValueError("not an IP address and port")
		}
		*target = a
		return nil
	}}
}

// Addresses is a field that accepts a comma-separated list of IP addresses and
// ports.
func Addresses(name string, target *[]netip.AddrPort) Field {
	return Field{Name: name, Accepted: "IP addresses and ports, parted by commas", Set: func(value string) error {
		var addresses []netip.AddrPort
		for _, part := range strings.Split(value, ",") {
			a, err := netip.ParseAddrPort(strings.TrimSpace(part))
			if err != nil {
				return newValueError("not an IP address and port: " + strings.TrimSpace(part))
			}
			addresses = append(addresses, a)
		}
		*target = addresses
		return nil
	}}
}

// List is a field that accepts a comma-separated list of words.
func List(name string, target *[]string) Field {
	return Field{Name: name, Accepted: "words, parted by commas", Set: func(value string) error {
		var words []string
		for _, part := range strings.Split(value, ",") {
			word := strings.TrimSpace(part)
			if word == "" {
				return newValueError("empty word")
			}
			words = append(words, word)
		}
		*target = words
		return nil
	}}
}

// Bool is a field that accepts true or false.
func Bool(name string, target *bool) Field {
	return Field{Name: name, Accepted: "true, false", Set: func(value string) error {
		switch value {
		case "true":
			*target = true
		case "false":
			*target = false
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
