// Package normalizer reads numbers that other systems write as JSON, where the notation
// and the quality of a value are not under the reader's control: 2000, 2000.0, 2e3 and
// "2000" are the same number, and one value that can't be used must not make the document
// around it unusable.
//
// # Usage
//
//	var document struct {
//		Timeout normalizer.Number `json:"timeout_ms"`
//	}
//	err := json.Unmarshal(data, &document)
//	var reader normalizer.Reader
//	timeout := reader.Duration("timeout_ms", document.Timeout, time.Millisecond, normalizer.Rule{High: 1e6, Invalid: 2000})
//	for _, s := range reader.Substitutions() { ... }
//
// What holds in place of an unusable value is the caller's [Rule]. A [Whole] or a [Count] is
// for the values that have no substitute: decoding it accepts any notation and fails for
// anything that isn't a whole number. An [Optional] confines any failure to one element of a list.
package normalizer

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"strings"
)

// ErrNotWhole is the error of decoding a [Whole] or a [Count] from something else.
var ErrNotWhole = errors.New("not a whole number")

// maxExactWhole is the largest number up to which a float64 holds each whole number.
const maxExactWhole = 1 << 53

// Whole is a whole number in any notation. A fraction, a text, or a number beyond 64 bits
// can't be decoded into it.
type Whole int64

// UnmarshalJSON implements [json.Unmarshaler].
func (n *Whole) UnmarshalJSON(data []byte) error {
	if whole, err := strconv.ParseInt(string(data), 10, 64); err == nil {
		*n = Whole(whole)
		return nil
	}
	value, err := exactWhole(data)
	*n = Whole(value)
	return err
}

// Count is a [Whole] that is not negative.
type Count uint64

// UnmarshalJSON implements [json.Unmarshaler].
func (n *Count) UnmarshalJSON(data []byte) error {
	if whole, err := strconv.ParseUint(string(data), 10, 64); err == nil {
		*n = Count(whole)
		return nil
	}
	value, err := exactWhole(data)
	if err == nil && value < 0 {
		return ErrNotWhole
	}
	*n = Count(value)
	return err
}

// exactWhole decodes a whole number that a float64 holds exactly. It returns zero for null.
func exactWhole(data []byte) (float64, error) {
	var value float64
	if err := json.Unmarshal(data, &value); err != nil || value != math.Trunc(value) || math.Abs(value) > maxExactWhole {
		return 0, ErrNotWhole
	}
	return value, nil
}

// Number is a number in any notation, also as a text. Decoding it never fails; a [Reader]
// decides what holds in place of a value that is no number.
type Number struct {
	// value is the number. One beyond the range of a float64 is infinite.
	value float64
	kind  numberKind
	// text is the value as written if it is no number, or a large one.
	text string
}

// maxPlain is the largest number whose text need not be kept to be recognised.
const maxPlain = 1e15

// numberKind says what a Number holds.
type numberKind int

// Kinds of numbers.
const (
	missing numberKind = iota
	valid
	invalid
)

// UnmarshalJSON implements [json.Unmarshaler].
func (n *Number) UnmarshalJSON(data []byte) error {
	*n = Number{}
	// A number that is not quoted is of JSON's notation, which the decoder has checked.
	if value, ok := parse(data); ok && data[0] != '"' {
		n.value, n.kind = value, valid
		if math.Abs(value) > maxPlain {
			n.text = string(data)
		}
		return nil
	}
	if string(data) == "null" {
		return nil
	}
	n.kind, n.text = invalid, string(data)
	var quoted string
	if json.Unmarshal(data, &quoted) != nil {
		return nil
	}
	// ParseFloat knows more notations than JSON.
	literal := []byte(strings.TrimSpace(quoted))
	if value, ok := parse(literal); ok && json.Valid(literal) {
		n.value, n.kind = value, valid
	}
	return nil
}

// parse parses a number, which is infinite beyond the range of a float64.
func parse(literal []byte) (float64, bool) {
	value, err := strconv.ParseFloat(string(literal), 64)
	return value, err == nil || errors.Is(err, strconv.ErrRange)
}

// IsSet reports whether there is a value, usable or not.
func (n Number) IsSet() bool { return n.kind != missing }

// String returns the number, as it was written if it is large or no number at all.
func (n Number) String() string {
	if n.text == "" && n.kind == valid {
		return strconv.FormatFloat(n.value, 'g', -1, 64)
	}
	return n.text
}

// Optional is a value that is decoded on its own. Decoding it never fails; Err says why the
// value can't be used.
type Optional[T any] struct {
	Value T
	Err   error
}

// UnmarshalJSON implements [json.Unmarshaler].
func (o *Optional[T]) UnmarshalJSON(data []byte) error {
	*o = Optional[T]{}
	o.Err = json.Unmarshal(data, &o.Value)
	return nil
}
