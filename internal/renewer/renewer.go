// Package renewer acquires and renews a lease: it runs the state machine of
// package leaser against the table service.
//
// # Usage
//
//	r := renewer.New(table, leaser.Settings{...}, time.Now)
//	r.Drive(ctx, leaser.Event{Kind: leaser.Ticked})
//	if r.Remaining() > orderTimeout { send the order }
package renewer

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/waxwingmount/waxwingmount/pkg/leaser"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// callTimeout bounds the table calls of one Drive. A slow table service can take
// this long for a transaction.
const callTimeout = 2 * time.Second

// Renewer keeps one process's lease. It is safe for concurrent use.
type Renewer struct {
	table provider.Table
	now   func() time.Time

	mu    sync.Mutex
	lease *leaser.Lease
}

// New returns a Renewer that does not hold the lease. The clock now must be
// monotonic.
func New(table provider.Table, settings leaser.Settings, now func() time.Time) *Renewer {
	return &Renewer{table: table, now: now, lease: leaser.New(settings)}
}

// Drive applies an event to the lease's state machine and runs the resulting
// actions until it is idle.
func (r *Renewer) Drive(ctx context.Context, event leaser.Event) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		action := r.step(event)
		sentAt := r.now()
		var err error
		switch action.Kind {
		case leaser.Idle:
			return
		case leaser.Read:
			event = leaser.Event{Kind: leaser.RowRead, SentAt: sentAt}
			event.Row, err = r.table.Read(ctx, action.Key)
		case leaser.Commit:
			action.Transaction.OperationID = uuid.NewString()
			event = leaser.Event{Kind: leaser.CommitCompleted, SentAt: sentAt}
			event.Outcome, err = r.table.Commit(ctx, action.Transaction)
		}
		if err != nil {
			event = leaser.Event{Kind: leaser.Failed, SentAt: sentAt}
		}
	}
}

func (r *Renewer) step(event leaser.Event) leaser.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Step(r.now(), event)
}

// Resign releases the lease, so that another instance can take it before it
// expires.
func (r *Renewer) Resign(ctx context.Context) { r.Drive(ctx, leaser.Event{Kind: leaser.Resigned}) }

// Remaining returns the time left of this process's term.
func (r *Renewer) Remaining() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Remaining(r.now())
}

// Epoch returns the epoch of the lease as of the last read.
func (r *Renewer) Epoch() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Epoch()
}

// Holder returns the holder of the lease as of the last read, or "" if there is
// none.
func (r *Renewer) Holder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Holder()
}

// MarkSettled records that this process relies on what others have written in the
// table in an era.
func (r *Renewer) MarkSettled(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.MarkSettled(era)
}

// Settled reports whether a holder relies on what others have written in the table
// in an era.
func (r *Renewer) Settled(era uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Settled(era)
}

// MarkHolderEnded records that the process of a holder has ended.
func (r *Renewer) MarkHolderEnded(holder string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.MarkHolderEnded(holder)
}
