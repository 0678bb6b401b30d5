package claimer

import (
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// MaxBatch is the maximum number of operations in one transaction.
const MaxBatch = 64

// Operation is a write of one claim's row.
type Operation struct {
	ID  uint64
	Key string
	// Value is the record to write; nil deletes the row.
	Value []byte
	// Insert requires that the row does not exist.
	Insert bool
}

// Result is the result of an operation.
type Result struct {
	ID uint64
	// Conflict is the existing row for an Insert that failed, and nil otherwise.
	Conflict *provider.Row
}

// Batcher combines operations into transactions. It has one transaction in
// flight at a time, and repeats a transaction whose outcome is unknown under
// the same operation ID until the outcome is known. It does no I/O and is not
// safe for concurrent use.
type Batcher struct {
	newID    func() string
	pending  []Operation
	inFlight []Operation
	tx       provider.Transaction
}

// NewBatcher returns an empty batcher that takes operation IDs from newID.
func NewBatcher(newID func() string) *Batcher { return &Batcher{newID: newID} }

// Submit adds an operation.
func (b *Batcher) Submit(op Operation) { b.pending = append(b.pending, op) }

// Idle reports whether no operation is pending or in flight.
func (b *Batcher) Idle() bool { return len(b.pending)+len(b.inFlight) == 0 }

// Next returns the transaction to commit now: the one in flight while its
// outcome is unknown, or a new one. It returns false if there is none.
func (b *Batcher) Next() (provider.Transaction, bool) {
	if len(b.inFlight) > 0 {
		return b.tx, true
	}
	b.fillBatch()
	if len(b.inFlight) == 0 {
		return provider.Transaction{}, false
	}
	b.tx = provider.Transaction{OperationID: b.newID()}
	for _, op := range b.inFlight {
		if op.Insert {
			b.tx.Guards = append(b.tx.Guards, provider.Guard{Key: op.Key})
		}
		b.tx.Writes = append(b.tx.Writes, provider.Write{Key: op.Key, Value: op.Value, Delete: op.Value == nil})
	}
	return b.tx, true
}

// fillBatch moves pending operations into the next batch, at most one for each
// key, so that operations on the same key are committed in order.
func (b *Batcher) fillBatch() {
	usedKeys := make(map[string]bool)
	var remaining []Operation
	for _, op := range b.pending {
		if len(b.inFlight) >= MaxBatch || usedKeys[op.Key] {
			remaining = append(remaining, op)
		} else {
			b.inFlight = append(b.inFlight, op)
		}
		usedKeys[op.Key] = true
	}
	b.pending = remaining
}

// Complete processes the outcome of the transaction that Next returned and
// returns the results of its completed operations. After a conflict, the
// operations that did not conflict are retried in the next transaction.
func (b *Batcher) Complete(outcome provider.Outcome) []Result {
	conflicts := make(map[string]*provider.Row, len(outcome.Conflicts))
	for i := range outcome.Conflicts {
		conflicts[outcome.Conflicts[i].Key] = &outcome.Conflicts[i]
	}
	var results []Result
	var retry []Operation
	for _, op := range b.inFlight {
		row, conflicted := conflicts[op.Key]
		switch {
		case outcome.Committed:
			results = append(results, Result{ID: op.ID})
		case conflicted && op.Insert:
			results = append(results, Result{ID: op.ID, Conflict: row})
		default:
			retry = append(retry, op)
		}
	}
	b.inFlight = nil
	b.pending = append(retry, b.pending...)
	return results
}
