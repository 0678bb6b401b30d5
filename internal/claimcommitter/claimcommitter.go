// Package claimcommitter claims idempotency keys in the table service for one
// entry instance and records the outcomes. It commits claims in batches.
//
// # Usage
//
//	committer := claimcommitter.New(table, members)
//	committer.Start(ctx)
//	existing, err := committer.Claim(ctx, row, digest)
package claimcommitter

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
	// queueCapacity bounds the operations that wait for the next batch.
	queueCapacity = 4096
	// commitTimeout bounds one attempt to commit a batch.
	commitTimeout = time.Second
	// retryInterval is the delay before a batch is committed again after an
	// error.
	retryInterval = 50 * time.Millisecond
)

// Members provides this entry instance and all that are alive.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
}

// Committer claims idempotency keys in batches. It is safe for concurrent use.
type Committer struct {
	table   provider.Table
	members Members
	queue   chan claimer.Operation

	mu     sync.Mutex
	nextID uint64
	// waiters holds the calls of Claim that wait for a result, by operation ID.
	waiters map[uint64]chan claimer.Result
}

// New returns a committer; [Committer.Start] starts it.
func New(table provider.Table, members Members) *Committer {
	return &Committer{
		table:   table,
		members: members,
		queue:   make(chan claimer.Operation, queueCapacity),
		waiters: make(map[uint64]chan claimer.Result),
	}
}

// Start commits batches in the background until ctx ends.
func (c *Committer) Start(ctx context.Context) { go c.run(ctx) }

// Claim tries to claim a row for a request with that digest. It returns nil on
// success, and the existing record if the row has been claimed before. If ctx
// ends first, it returns the error of ctx and releases the claim in the
// background should the commit still succeed.
func (c *Committer) Claim(ctx context.Context, row, digest string) (*claimer.Record, error) {
	self := c.members.Self()
	record := claimer.Record{State: claimer.Claimed, Holder: self.ID, Epoch: self.Epoch, Digest: digest}
	id, done := c.newWaiter()
	op := claimer.Operation{ID: id, Key: row, Value: record.Encode(), Insert: true}
	select {
	case c.queue <- op:
	case <-ctx.Done():
		c.removeWaiter(id)
		return nil, ctx.Err()
	}
	select {
	case result := <-done:
		return existingRecord(result)
	case <-ctx.Done():
		go c.runRelease(row, done)
		return nil, ctx.Err()
	}
}

// existingRecord returns the record that conflicted with a claim, or nil.
func existingRecord(result claimer.Result) (*claimer.Record, error) {
	if result.Conflict == nil {
		return nil, nil
	}
	record, err := claimer.Decode(result.Conflict.Value)
	return &record, err
}

// runRelease waits for the result of a claim that is no longer needed and
// releases it if it succeeded.
func (c *Committer) runRelease(row string, done chan claimer.Result) {
	if result := <-done; result.Conflict == nil {
		c.Release(row)
	}
}

// Finish records the final state of a claim.
func (c *Committer) Finish(row string, record claimer.Record) {
	self := c.members.Self()
	record.Holder, record.Epoch = self.ID, self.Epoch
	c.enqueue(claimer.Operation{Key: row, Value: record.Encode()})
}

// Release deletes the claim of a request that was not run.
func (c *Committer) Release(row string) { c.enqueue(claimer.Operation{Key: row}) }

// enqueue adds an operation whose result is ignored. It blocks while the queue
// is full.
func (c *Committer) enqueue(op claimer.Operation) { c.queue <- op }

// HolderAlive reports whether the process that wrote a record still runs.
func (c *Committer) HolderAlive(record claimer.Record) bool {
	for _, m := range c.members.Live() {
		if m.ID == record.Holder && m.Epoch == record.Epoch {
			return true
		}
	}
	return false
}

func (c *Committer) newWaiter() (uint64, chan claimer.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	done := make(chan claimer.Result, 1)
	c.waiters[c.nextID] = done
	return c.nextID, done
}

func (c *Committer) removeWaiter(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, id)
}

// run commits the operations in the queue, batch by batch. It repeats a batch
// that failed until its outcome is known.
func (c *Committer) run(ctx context.Context) {
	batcher := claimer.NewBatcher(uuid.NewString)
	for {
		if batcher.Idle() {
			select {
			case <-ctx.Done():
				return
			case op := <-c.queue:
				batcher.Submit(op)
			}
		}
		c.fillBatch(batcher)
		tx, due := batcher.Next()
		if !due {
			continue
		}
		outcome, err := c.commit(ctx, tx)
		if err != nil {
			log.WithError(err).Debug("cannot commit claims; retrying")
			if !waitToRetry(ctx) {
				return
			}
			continue
		}
		c.notifyWaiters(batcher.Complete(outcome))
	}
}

// fillBatch moves operations that are already queued into the next batch.
func (c *Committer) fillBatch(batcher *claimer.Batcher) {
	for range claimer.MaxBatch {
		select {
		case op := <-c.queue:
			batcher.Submit(op)
		default:
			return
		}
	}
}

func (c *Committer) commit(ctx context.Context, tx provider.Transaction) (provider.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return c.table.Commit(ctx, tx)
}

// waitToRetry waits for retryInterval; it reports false if ctx ends first.
func waitToRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryInterval):
		return true
	}
}

func (c *Committer) notifyWaiters(results []claimer.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, result := range results {
		if done, found := c.waiters[result.ID]; found {
			delete(c.waiters, result.ID)
			done <- result
		}
	}
}
