package normalizer

import (
	"math"
	"time"
)

// maxTextBytes bounds the text of a value in a [Substitution].
const maxTextBytes = 64

// Rule says what a number may be and what holds in its place. Its numbers have the unit of
// the value.
type Rule struct {
	// Low and High bound the number. One that is lower is invalid, and High holds in place
	// of one that is higher, unless RejectHigh makes it invalid too.
	Low, High  float64
	RejectHigh bool
	// Invalid holds in place of a value that is no number or too low.
	Invalid float64
	// Missing holds if there is no value.
	Missing float64
}

// Substitution is a value that was not used as written.
type Substitution struct {
	Key string
	// Value is the number, or what was written in place of one, cut to a length that suits a
	// log line.
	Value string
	// Used is the number that holds instead.
	Used float64
}

// Reader applies rules to the numbers of one document and records the substitutions. It is
// not safe for concurrent use.
type Reader struct {
	// element precedes the keys.
	element       string
	substitutions []Substitution
}

// Enter makes the keys of the following numbers those of a named element of the document.
func (r *Reader) Enter(element string) { r.element = element + "." }

// Number returns the number that holds for a key.
func (r *Reader) Number(key string, n Number, rule Rule) float64 {
	return r.apply(key, n, n.value, rule)
}

// Whole returns the number that holds for a key, rounded down. The rule's bounds apply to
// the rounded number and must fit into an int.
func (r *Reader) Whole(key string, n Number, rule Rule) int {
	return int(r.apply(key, n, math.Floor(n.value), rule))
}

// apply returns what holds for a number with that value.
func (r *Reader) apply(key string, n Number, value float64, rule Rule) float64 {
	switch {
	case !n.IsSet():
		return rule.Missing
	case n.kind == invalid || value < rule.Low || rule.RejectHigh && value > rule.High:
		return r.substitute(key, n, rule.Invalid)
	case value > rule.High:
		return r.substitute(key, n, rule.High)
	}
	return value
}

// Duration returns the duration that holds for a key whose value is in the given unit.
func (r *Reader) Duration(key string, n Number, unit time.Duration, rule Rule) time.Duration {
	return time.Duration(r.Number(key, n, rule) * float64(unit))
}

// Substitutions returns what was substituted so far.
func (r *Reader) Substitutions() []Substitution { return r.substitutions }

func (r *Reader) substitute(key string, n Number, used float64) float64 {
	text := n.String()
	if len(text) > maxTextBytes {
		text = text[:maxTextBytes] + "..."
	}
	r.substitutions = append(r.substitutions, Substitution{Key: r.element + key, Value: text, Used: used})
	return used
}
