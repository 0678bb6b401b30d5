// Package claimkeeper claims idempotency keys in the table service for one
// entry instance, many in one commit, and records the outcomes.
//
// # Usage
//
//	keeper := claimkeeper.New(settings, table, members)
//	keeper.Start(ctx)
//	claim, err := keeper.Claim(ctx, key, digest)
package claimkeeper

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/waxwingmount/waxwingmount/pkg/claimer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// ringCapacity bounds the operations that wait for a batch.
	ringCapacity = 4096
	// commitTimeout bounds one try to commit a batch.
	commitTimeout = time.Second
	// retryInterval is the time between two tries of one batch.
	retryInterval = 50 * time.Millisecond
)

// Members gives the live entry instances.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
}

// Keeper claims keys.
type Keeper struct {
	table   provider.Table
	members Members
	ring    chan claimer.Operation

	mu      sync.Mutex
	nextID  uint64
	waiters map[uint64]chan claimer.Result
}

// New returns a keeper without claims.
func New(table provider.Table, members Members) *Keeper {
	return &Keeper{
		table:   table,
		members: members,
		ring:    make(chan claimer.Operation, ringCapacity),
		waiters: make(map[uint64]chan claimer.Result),
	}
}

// Start begins the duty; it ends with ctx.
func (k *Keeper) Start(ctx context.Context) { go k.run(ctx) }

// Claim tries to claim a row for a request of that digest. It returns nil when
// the claim is held, and otherwise the record that stands. When ctx ends
// first, the claim is given back in the background.
func (k *Keeper) Claim(ctx context.Context, row, digest string) (*claimer.Record, error) {
	self := k.members.Self()
	record := claimer.Record{State: claimer.Claimed, Holder: self.ID, Epoch: self.Epoch, Digest: digest}
	id, done := k.newWaiter()
	op := claimer.Operation{ID: id, Key: row, Value: record.Encode(), Insert: true}
	select {
	case k.ring <- op:
	case <-ctx.Done():
		k.forget(id)
		return nil, ctx.Err()
	}
	select {
	case result := <-done:
		return conflicting(result)
	case <-ctx.Done():
		go k.giveBack(row, done)
		return nil, ctx.Err()
	}
}

func conflicting(result claimer.Result) (*claimer.Record, error) {
	if result.Conflict == nil {
		return nil, nil
	}
	record, err := claimer.Decode(result.Conflict.Value)
	return &record, err
}

// giveBack releases a claim whose request was refused before its outcome came.
func (k *Keeper) giveBack(row string, done chan claimer.Result) {
	if result := <-done; result.Conflict == nil {
		k.Release(row)
	}
}

// Finish records a claim's last state.
func (k *Keeper) Finish(row string, record claimer.Record) {
	self := k.members.Self()
	record.Holder, record.Epoch = self.ID, self.Epoch
	k.submit(claimer.Operation{Key: row, Value: record.Encode()})
}

// Release gives a claim back whose request was not run.
func (k *Keeper) Release(row string) { k.submit(claimer.Operation{Key: row}) }

// submit adds an operation for whose result nobody waits.
func (k *Keeper) submit(op claimer.Operation) { k.ring <- op }

// HolderAlive reports whether the process that made a record runs still.
func (k *Keeper) HolderAlive(record claimer.Record) bool {
	for _, m := range k.members.Live() {
		if m.ID == record.Holder && m.Epoch == record.Epoch {
			return true
		}
	}
	return false
}

func (k *Keeper) newWaiter() (uint64, chan claimer.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextID++
	done := make(chan claimer.Result, 1)
	k.waiters[k.nextID] = done
	return k.nextID, done
}

func (k *Keeper) forget(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters, id)
}

// run commits what the ring brings, batch by batch.
func (k *Keeper) run(ctx context.Context) {
	batcher := claimer.NewBatcher(uuid.NewString)
	for {
		if batcher.Idle() {
			select {
			case <-ctx.Done():
				return
			case op := <-k.ring:
				batcher.Submit(op)
			}
		}
		k.gather(batcher)
		tx, due := batcher.Next()
		if !due {
			continue
		}
		outcome, err := k.commit(ctx, tx)
		if err != nil {
			log.WithError(err).Debug("claims not committed yet")
			if !pause(ctx) {
				return
			}
			continue
		}
		k.tell(batcher.Complete(outcome))
	}
}

// gather takes what else is in the ring into the next batch.
func (k *Keeper) gather(batcher *claimer.Batcher) {
	for range claimer.MaxBatch {
		select {
		case op := <-k.ring:
			batcher.Submit(op)
		default:
			return
		}
	}
}

func (k *Keeper) commit(ctx context.Context, tx provider.Transaction) (provider.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return k.table.Commit(ctx, tx)
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryInterval):
		return true
	}
}

func (k *Keeper) tell(results []claimer.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, result := range results {
		if done, found := k.waiters[result.ID]; found {
			delete(k.waiters, result.ID)
			done <- result
		}
	}
}
