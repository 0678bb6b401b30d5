// Package claimer decides about idempotency keys. A request with a key is
// claimed in the table service before its first byte goes to a back end. A
// claim is never taken over, so that the request runs at most once; sent
// again, it gets the recorded outcome or an honest state.
//
// # Usage
//
//	batcher.Submit(claimer.Operation{ID: 1, Key: key, Value: value, Insert: true})
//	tx, due := batcher.Next()
//	results := batcher.Settle(outcome)
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

// Kind sorts the failures of this package.
type Kind int

// Kinds of failure.
const (
	// KindCorrupt says that a stored record could not be decoded.
	KindCorrupt Kind = iota // corrupt
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// State is how far a claimed request has come.
type State int

// States of a claim.
const (
	// Claimed says that the holder may be running the request.
	Claimed State = iota // claimed
	// Finished says that the request has run and has its whole answer.
	Finished // finished
	// Unknown says that the request may have run, and that nobody will learn more.
	Unknown // unknown
)

// Record is what the table holds for a key.
type Record struct {
	State State `json:"state"`
	// Holder and Epoch name the process that claimed the key.
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Digest identifies the request's content.
	Digest string `json:"digest"`
	// Status, ContentType and Body are the recorded answer of a Finished claim.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Oversized says that the answer was too long to be recorded.
	Oversized bool `json:"oversized,omitempty"`
}

// RowKey returns the table row of an organisation's idempotency key.
func RowKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claims/" + organisation + "/" + hex.EncodeToString(sum[:])
}

// Digest identifies a request's content.
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
		// A Record always encodes.
		panic(err)
	}
	return data
}

// Decode decodes a row's value.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, faulter.New("decode claim", KindCorrupt, err)
	}
	return r, nil
}

// Verdict is what a request is told whose key is already claimed.
type Verdict int

// Verdicts on a repeated key.
const (
	// Replay gives the recorded answer.
	Replay Verdict = iota // replay
	// Done says that the request has run, but that its answer was too long to record.
	Done // done
	// Running says that the request is being run now.
	Running // running
	// MayHaveRun says that the request may have run.
	MayHaveRun // may_have_run
	// Mismatch says that the key belongs to another request.
	Mismatch // mismatch
)

// Classify decides what a request of that digest is told. The holder is alive
// when the process that claimed the key is known to run still.
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
