// Package claimer implements claims on idempotency keys. The key of a request is
// claimed in the table service before the first byte of the request is sent to
// a backend server. A claim is never transferred to another process, so that the
// request runs at most once. A repeated request gets the recorded response, or
// the state of the claim as far as it is known.
//
// # Usage
//
//	batcher.Submit(claimer.Operation{ID: 1, Key: key, Value: value, Insert: true})
//	tx, due := batcher.Next()
//	results := batcher.Complete(outcome)
//
// A [Batcher] commits many claims in one transaction.
package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind,State,Verdict -linecomment -output=enum_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of error.
const (
	// KindCorrupt means that a stored record could not be decoded.
	KindCorrupt Kind = iota // corrupt
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// State is the state of a claimed request.
type State int

// States of a claim.
const (
	// Claimed means that the holder may be running the request.
	Claimed State = iota // claimed
	// Finished means that the request has run and its response is complete.
	Finished // finished
	// Unknown means that the request may have run, and that this will never be
	// resolved.
	Unknown // unknown
)

// Record is the value of a claim's row.
type Record struct {
	State State `json:"state"`
	// Holder and Epoch identify the process that claimed the key.
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Digest identifies the request's content.
	Digest string `json:"digest"`
	// Status, ContentType and Body are the recorded response of a Finished claim.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Oversized is set when the response of a Finished claim was too long to record.
	Oversized bool `json:"oversized,omitempty"`
}

// RowKey returns the key of the row for an organisation's idempotency key.
func RowKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claims/" + organisation + "/" + hex.EncodeToString(sum[:])
}

// Digest returns the SHA-256 digest, in hexadecimal, of a request's content, given
// in parts.
func Digest(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write(part)
		hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Encode returns the record as a row's value.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// A Record can always be encoded.
		panic(err)
	}
	return data
}

// Decode decodes a row's value. It fails with KindCorrupt.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, faulter.New("decode claim", KindCorrupt, err)
	}
	return r, nil
}

// Verdict is how to respond to a request whose key is already claimed.
type Verdict int

// Verdicts on a repeated key.
const (
	// Replay means to return the recorded response.
	Replay Verdict = iota // replay
	// Done means that the request has run, but that its response was too long to
	// record.
	Done // done
	// Running means that the request is in progress.
	Running // running
	// MayHaveRun means that it is unknown whether the request has run.
	MayHaveRun // may_have_run
	// Mismatch means that the key was used with another request.
	Mismatch // mismatch
)

// Classify returns how to respond to a request with the given digest whose key
// has the record r. The argument holderAlive reports whether the process that
// claimed the key is known to be still running.
func Classify(r Record, digest string, holderAlive bool) Verdict {
	switch {
	case r.Digest != digest:
		return Mismatch
	case r.State == Finished && r.Oversized:
		return Done
	case r.State == Finished:
		return Replay
	case r.State == Claimed && holderAlive:
		return Running
	}
	return MayHaveRun
}
