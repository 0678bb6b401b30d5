// Package leaser decides who holds a lease that is a row of the table
// service. Nobody's wall clock counts: a holder's term runs on its own
// monotonic clock from the start of its last renewal, and another instance
// takes over only after it has seen the row unchanged for a whole term and a
// margin on its own.
//
// # Usage
//
//	lease := leaser.New(leaser.Settings{Key: "leases/control", Holder: "entry-1", ...})
//	action := lease.Step(now, leaser.Event{Kind: leaser.Ticked})
//	...
//	if lease.Remaining(now) > flight { send the order }
package leaser

import (
	"encoding/json"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

//go:generate stringer -type=EventKind,ActionKind -linecomment -output=enum_string.go

// Settings are the constants of one lease.
type Settings struct {
	// Key is the row that holds the lease.
	Key string
	// Holder names this process; a restart must have another name.
	Holder string
	// Term is how long a renewal counts for its holder.
	Term time.Duration
	// Margin is how much longer others wait. It covers clocks of different
	// rate and the longest flight of an order that engines will not refuse.
	Margin time.Duration
}

// Value is the content of a lease's row.
type Value struct {
	Holder string `json:"holder"`
	// Epoch rises with every change of holder.
	Epoch uint64 `json:"epoch"`
	// Renewals rises with every renewal, so that the row changes.
	Renewals uint64 `json:"renewals"`
}

// EventKind is what happened.
type EventKind int

// Kinds of event.
const (
	// Ticked says that time has passed.
	Ticked EventKind = iota // ticked
	// RowRead brings the row as it was read.
	RowRead // row_read
	// CommitCompleted brings the outcome of a commit.
	CommitCompleted // settled
	// Failed says that the table did not answer; an outcome is unknown.
	Failed // failed
	// Resigned gives the lease up.
	Resigned // resigned
)

// Event is one event.
type Event struct {
	Kind    EventKind
	Row     provider.Row
	Outcome provider.Outcome
	// SentAt is when the call that this event answers was begun.
	SentAt time.Time
}

// ActionKind is what to do next.
type ActionKind int

// Kinds of action.
const (
	// Idle does nothing until the next tick.
	Idle ActionKind = iota // rest
	// Read reads the lease's row.
	Read // read
	// Commit commits the transaction.
	Commit // commit
)

// Action is what to do next.
type Action struct {
	Kind ActionKind
	// Key is the row to Read.
	Key string
	// Transaction is what to Commit; its operation id is left to the caller.
	Transaction provider.Transaction
}

// Lease is one process's view of a lease. It is not safe for concurrent use.
type Lease struct {
	settings Settings

	// version and value are the row as last seen, and since when unchanged.
	version        uint64
	value          Value
	observed       bool
	unchangedSince time.Time
	// termEnd is the end of this process's own term.
	termEnd time.Time
	// pendingValue is the value of a commit without an outcome.
	pendingValue Value
	// endedHolder is a holder whose process is known to have endedHolder.
	endedHolder string
}

// New returns a lease that this process does not hold.
func New(settings Settings) *Lease {
	return &Lease{settings: settings}
}

// Remaining returns how much of this process's term is left; not above zero
// means that it does not hold the lease.
func (l *Lease) Remaining(now time.Time) time.Duration { return l.termEnd.Sub(now) }

// Epoch returns the epoch of the lease as last seen.
func (l *Lease) Epoch() uint64 { return l.value.Epoch }

// Holder returns who held the lease when last seen.
func (l *Lease) Holder() string { return l.value.Holder }

// MarkHolderEnded takes in that the process of a holder has ended, so that its lease need
// not be waited for. It must be certain, as when the same instance runs another
// process.
func (l *Lease) MarkHolderEnded(holder string) { l.endedHolder = holder }

// Step takes in an event and returns what to do next.
func (l *Lease) Step(now time.Time, event Event) Action {
	switch event.Kind {
	case Ticked, Failed:
		if event.Kind == Failed {
			return Action{Kind: Idle}
		}
		return Action{Kind: Read, Key: l.settings.Key}
	case RowRead:
		return l.handleRow(now, event)
	case CommitCompleted:
		l.handleOutcome(event)
		return Action{Kind: Idle}
	case Resigned:
		return l.resign()
	}
	return Action{Kind: Idle}
}

func (l *Lease) handleRow(now time.Time, event Event) Action {
	var value Value
	if event.Row.Exists() {
		// A row that does not decode is a lease that nobody holds.
		_ = json.Unmarshal(event.Row.Value, &value)
	}
	if !l.observed || event.Row.Version != l.version {
		l.observed = true
		l.version = event.Row.Version
		l.value = value
		l.unchangedSince = now
	}
	switch {
	case value.Holder == l.settings.Holder:
		return l.commit(Value{Holder: value.Holder, Epoch: value.Epoch, Renewals: value.Renewals + 1})
	case value.Holder == "" || value.Holder == l.endedHolder || now.Sub(l.unchangedSince) >= l.settings.Term+l.settings.Margin:
		return l.commit(Value{Holder: l.settings.Holder, Epoch: value.Epoch + 1})
	}
	l.termEnd = time.Time{}
	return Action{Kind: Idle}
}

func (l *Lease) commit(value Value) Action {
	l.pendingValue = value
	data, err := json.Marshal(value)
	if err != nil {
		// A Value always encodes.
		panic(err)
	}
	return Action{Kind: Commit, Transaction: provider.Transaction{
		Guards: []provider.Guard{{Key: l.settings.Key, Version: l.version}},
		Writes: []provider.Write{{Key: l.settings.Key, Value: data}},
	}}
}

// handleOutcome starts a term at the moment at which the commit was begun.
func (l *Lease) handleOutcome(event Event) {
	if !event.Outcome.Committed {
		l.termEnd = time.Time{}
		return
	}
	l.value = l.pendingValue
	if l.pendingValue.Holder == l.settings.Holder {
		l.termEnd = event.SentAt.Add(l.settings.Term)
	}
}

// resign ends the term at once and frees the row for others.
func (l *Lease) resign() Action {
	held := l.value.Holder == l.settings.Holder
	l.termEnd = time.Time{}
	if !held {
		return Action{Kind: Idle}
	}
	return l.commit(Value{Epoch: l.value.Epoch, Renewals: l.value.Renewals + 1})
}
