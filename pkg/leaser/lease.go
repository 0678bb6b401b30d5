// Package leaser implements a lease that is stored in a row of the table
// service. It compares no wall clocks: a holder's term starts when its last
// renewal was sent and is timed by its own monotonic clock. Another process takes
// over only after it has seen the row unchanged for a term plus a margin on its
// own clock.
//
// A table that comes back from an older copy (a new era of [provider.Version])
// shows a row of the past, and the process that really holds the lease may be
// named nowhere. A row therefore says in which era it was written. One of an
// earlier era proves nothing: the process whose term still runs writes it again,
// and others wait for a term plus the margin, whoever the row names. Epochs of a
// later era are greater than all of an earlier one, so that no epoch is used twice
// though the table has forgotten it. A late commit of an earlier era, whose guard
// happens to hold again, can't replace the row of a holder of the later one: each
// commit also requires that no marker of the next era exists, and a new holder
// writes the marker of its own.
//
// # Usage
//
//	lease := leaser.New(leaser.Settings{Key: "leases/control", Holder: "entry-1", ...})
//	action := lease.Step(now, leaser.Event{Kind: leaser.Ticked})
//	...
//	if lease.Remaining(now) > orderTimeout { send the order }
package leaser

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

//go:generate stringer -type=EventKind,ActionKind -linecomment -output=enum_string.go

// Settings configures one lease.
type Settings struct {
	// Key is the key of the row that stores the lease.
	Key string
	// Holder identifies this process; it must differ after a restart.
	Holder string
	// Term is how long a renewal is valid for its holder.
	Term time.Duration
	// Margin is how much longer than Term other processes wait before they take
	// over. It covers the difference between clock rates and the longest time for
	// which an order that engines still accept can be in transit.
	Margin time.Duration
	// FirstStart is true when the whole system starts for the first time, so that a
	// missing row is no sign of an older copy.
	FirstStart bool
}

// epochsPerEra is the number of epochs in one era of the table.
const epochsPerEra = 1 << 16

// Value is the content of the lease's row.
type Value struct {
	Holder string `json:"holder"`
	// Epoch increases with every change of holder.
	Epoch uint64 `json:"epoch"`
	// Renewals increases with every renewal, so that the row's content changes.
	Renewals uint64 `json:"renewals"`
	// Era is the era of the table in which the row was written.
	Era uint64 `json:"era,omitempty"`
	// Settled says that a holder has seen this era for long enough to rely on what
	// others have written in the table.
	Settled bool `json:"settled,omitempty"`
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of event.
const (
	// Ticked is a periodic timer event.
	Ticked EventKind = iota // ticked
	// RowRead carries the lease's row as it was read.
	RowRead // row_read
	// CommitCompleted carries the outcome of a commit.
	CommitCompleted // settled
	// Failed means that the table service did not respond; the outcome of a commit
	// is unknown then.
	Failed // failed
	// Resigned is the request to give up the lease for good.
	Resigned // resigned
)

// Event is an input of Lease.Step.
type Event struct {
	Kind    EventKind
	Row     provider.Row
	Outcome provider.Outcome
	// SentAt is when the call was sent whose result this event carries.
	SentAt time.Time
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of action.
const (
	// Idle means to wait for the next tick.
	Idle ActionKind = iota // rest
	// Read means to read the lease's row.
	Read // read
	// Commit means to commit the transaction.
	Commit // commit
)

// Action is what the caller of Lease.Step must do next.
type Action struct {
	Kind ActionKind
	// Key is the key of the row to read.
	Key string
	// Transaction is the transaction to commit. The caller sets its operation ID.
	Transaction provider.Transaction
}

// Lease is one process's view of a lease. It does no I/O and is not safe for
// concurrent use.
type Lease struct {
	settings Settings

	// version and value are the last observed version and content of the row, and
	// unchangedSince is when that version was first observed.
	version        provider.Version
	value          Value
	observed       bool
	unchangedSince time.Time
	// termEnd is when this process's term ends; it is zero or past when the process
	// does not hold the lease.
	termEnd time.Time
	// epoch is the highest epoch that was observed or used.
	epoch uint64
	// settledEra is the era that the caller relies on; it counts if settled is set.
	settledEra uint64
	settled    bool
	// resigned says that this process gives the lease up and does not take it again.
	resigned bool
	// pendingValue is the value that the last Commit action writes.
	pendingValue Value
	// endedHolder is the ID of a holder whose process is known to have ended.
	endedHolder string
}

// New returns a lease that this process does not hold.
func New(settings Settings) *Lease {
	return &Lease{settings: settings}
}

// Remaining returns how much of this process's term is left. The process does
// not hold the lease if the result is zero or negative.
func (l *Lease) Remaining(now time.Time) time.Duration { return l.termEnd.Sub(now) }

// Epoch returns the highest epoch that was observed or used. It is that of this
// process while it holds the lease.
func (l *Lease) Epoch() uint64 { return l.epoch }

// MarkSettled records that this process relies on what others have written in the
// table in an era.
func (l *Lease) MarkSettled(era uint64) { l.settledEra, l.settled = era, true }

// Settled reports whether the row says that a holder relies on what others have
// written in the table in an era. A table without eras is always settled.
func (l *Lease) Settled(era uint64) bool {
	return era == 0 || l.value.Settled && l.value.Era == era
}

// Holder returns the last observed holder of the lease, or "".
func (l *Lease) Holder() string { return l.value.Holder }

// RowSettled reports whether the row of a lease says that a holder relies on what
// others have written in the table in an era.
func RowSettled(row provider.Row, era uint64) bool {
	var value Value
	if !row.Exists() || json.Unmarshal(row.Value, &value) != nil {
		return false
	}
	return value.Settled && value.Era == era
}

// MarkHolderEnded records that the process of a holder has ended, so that this
// process takes the lease over without waiting for the holder's term. The caller
// must be certain, for example because the instance runs a newer process.
func (l *Lease) MarkHolderEnded(holder string) { l.endedHolder = holder }

// Step processes an event and returns the next action.
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
		l.termEnd = time.Time{}
		l.resigned = true
		return Action{Kind: Read, Key: l.settings.Key}
	}
	return Action{Kind: Idle}
}

// handleRow renews the lease if the row names this process as the holder, and
// takes it over if it is free or expired. Otherwise it ends this process's term.
func (l *Lease) handleRow(now time.Time, event Event) Action {
	var value Value
	if event.Row.Exists() {
		// A row that cannot be decoded counts as a lease without a holder.
		_ = json.Unmarshal(event.Row.Value, &value)
	}
	if !l.observed || event.Row.Version != l.version {
		l.observed = true
		l.version = event.Row.Version
		l.value = value
		l.unchangedSince = now
	}
	l.epoch = max(l.epoch, value.Epoch)
	restored := l.isRestored(event.Row, value)
	expired := now.Sub(l.unchangedSince) >= l.settings.Term+l.settings.Margin
	free := value.Holder == "" || value.Holder == l.endedHolder
	if l.resigned {
		return l.release(value, restored)
	}
	switch {
	case restored && l.Remaining(now) > 0:
		return l.acquire(Value{Epoch: l.epoch, Renewals: value.Renewals + 1})
	case !restored && value.Holder == l.settings.Holder:
		return l.commit(Value{Holder: value.Holder, Epoch: value.Epoch, Renewals: value.Renewals + 1, Settled: value.Settled})
	case expired || free && !restored:
		return l.acquire(Value{Epoch: l.nextEpoch(), Settled: value.Settled && !restored})
	}
	l.termEnd = time.Time{}
	return Action{Kind: Idle}
}

// isRestored reports whether a row may come from an older copy of the table.
func (l *Lease) isRestored(row provider.Row, value Value) bool {
	if !row.Exists() {
		return row.Version.Era > 0 && !l.settings.FirstStart
	}
	return value.Era != row.Version.Era
}

// nextEpoch returns the epoch of a new holder.
func (l *Lease) nextEpoch() uint64 {
	return max(l.epoch, l.version.Era*epochsPerEra) + 1
}

// acquire returns the action that makes this process the holder if the row is
// unchanged. It writes the markers of this era and of the one before, of which a
// copy may have none.
func (l *Lease) acquire(value Value) Action {
	value.Holder = l.settings.Holder
	action := l.commit(value)
	for era := max(1, l.version.Era) - 1; era <= l.version.Era; era++ {
		if era > 0 {
			action.Transaction.Writes = append(action.Transaction.Writes, provider.Write{Key: l.eraMarkerKey(era), Value: []byte("{}")})
		}
	}
	return action
}

// eraMarkerKey returns the key of the row that exists once the lease has had a
// holder in an era.
func (l *Lease) eraMarkerKey(era uint64) string {
	return l.settings.Key + "/era/" + strconv.FormatUint(era, 10)
}

// commit returns the action that writes value if the row is unchanged.
func (l *Lease) commit(value Value) Action {
	value.Era = l.version.Era
	value.Settled = value.Settled || l.settled && l.settledEra == value.Era
	l.pendingValue = value
	data, err := json.Marshal(value)
	if err != nil {
		// A Value can always be encoded.
		panic(err)
	}
	return Action{Kind: Commit, Transaction: provider.Transaction{
		Guards: []provider.Guard{
			{Key: l.settings.Key, Version: l.version},
			{Key: l.eraMarkerKey(l.version.Era + 1)},
		},
		Writes: []provider.Write{{Key: l.settings.Key, Value: data}},
	}}
}

// handleOutcome starts a term if the commit succeeded, timed from when the commit
// was sent, and otherwise ends this process's term.
func (l *Lease) handleOutcome(event Event) {
	if !event.Outcome.Committed {
		l.termEnd = time.Time{}
		return
	}
	l.value = l.pendingValue
	l.epoch = max(l.epoch, l.value.Epoch)
	if l.pendingValue.Holder == l.settings.Holder && !l.resigned {
		l.termEnd = event.SentAt.Add(l.settings.Term)
	}
}

// release returns the action that clears the holder in the row, if it names this
// process.
func (l *Lease) release(value Value, restored bool) Action {
	if restored || value.Holder != l.settings.Holder {
		return Action{Kind: Idle}
	}
	return l.commit(Value{Epoch: value.Epoch, Renewals: value.Renewals + 1, Settled: value.Settled})
}
