// Package archiver keeps the strikes that an entry instance has found in the table service,
// which outlasts the entry instances: a request that crashes backend servers stays blocked
// when all of them are restarted. Each entry instance writes one row, and reads the rows of
// all when it starts.
//
// # Usage
//
//	a := archiver.New(archiver.Dependencies{Entry: "entry-1", Table: table, Evidence: forwarder, ...})
//	a.Start(ctx)
//	a.Record(strikes)
//
// An entry instance serves without waiting for the table. While the table is unavailable,
// strikes are kept in memory and written later.
package archiver

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
)

const (
	// Prefix precedes the ID of an entry instance in the key of its row.
	Prefix = "strikes/"
	// checkInterval is how often the journal is asked whether a write is due, beside each
	// time that a strike is recorded.
	checkInterval = 500 * time.Millisecond
	// leastPace is the least time between two writes of one entry instance, and fleetWrites
	// the writes a second of all entry instances together, to which pace is stretched: when a
	// rack of servers crashes, each of them has strikes to write.
	leastPace   = 500 * time.Millisecond
	fleetWrites = 100
	// retryInterval is the time until a failed call is tried again.
	retryInterval = 2 * time.Second
	// lateWrite is how long after a call without a response the table may still carry it out.
	lateWrite = 8 * time.Second
	// settling is longer than the forwarder takes to judge the strikes that were read.
	settling = 2 * time.Second
	// capacity is the largest number of strikes in a row, which must fit into 64 KB.
	capacity = 200
	// maxRemovals is the largest number of expired rows that a starting entry instance removes.
	maxRemovals = 50
)

// Evidence holds what this process knows of requests that crash backend servers.
type Evidence interface {
	// AddStrikes records strikes.
	AddStrikes(strikes []quarantiner.Strike)
	// BlockedParts returns those of some parts of prompts that are blocked.
	BlockedParts(parts []quarantiner.Part) []quarantiner.Part
}

// Dependencies are the collaborators of an [Archiver].
type Dependencies struct {
	// Entry is the ID of the entry instance.
	Entry    string
	Table    provider.Table
	Evidence Evidence
	// Expiry is how long a strike counts.
	Expiry time.Duration
	// CountEntries returns the number of live entry instances.
	CountEntries func() int
	// Era returns the era of the table, which changes when it may have lost rows. It may be
	// nil.
	Era func() uint64
}

// Archiver writes the strikes of one entry instance. It is safe for concurrent use.
type Archiver struct {
	Dependencies
	recorded chan struct{}

	mu      sync.Mutex
	journal *quarantiner.Journal
	era     uint64
}

// New returns an archiver. Call Start to run it.
func New(d Dependencies) *Archiver {
	return &Archiver{Dependencies: d, recorded: make(chan struct{}, 1), journal: quarantiner.NewJournal(quarantiner.JournalLimits{
		RetryInterval: retryInterval, LateWrite: lateWrite, Expiry: d.Expiry, Settling: settling, Capacity: capacity,
	})}
}

// Start reads the rows of all entry instances and then writes until ctx ends.
func (a *Archiver) Start(ctx context.Context) { go a.run(ctx) }

// Record adds strikes that this entry instance has found.
func (a *Archiver) Record(strikes []quarantiner.Strike) {
	now := clocker.Now()
	// In a small fleet a strike is written at once; in a large one the writes are spread.
	delay := time.Duration(rand.Int64N(int64(a.pace()-leastPace) + 1))
	a.mu.Lock()
	for _, s := range strikes {
		a.journal.Record(now, s, delay)
	}
	a.mu.Unlock()
	select {
	case a.recorded <- struct{}{}:
	default:
	}
}

// pace returns the time between two writes of this entry instance.
func (a *Archiver) pace() time.Duration {
	return max(leastPace, time.Duration(a.CountEntries())*time.Second/fleetWrites)
}

func (a *Archiver) run(ctx context.Context) {
	for !a.load(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryInterval):
		}
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		a.write(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.recorded:
		}
	}
}

// load reads the rows of all entry instances and reports whether it could.
func (a *Archiver) load(ctx context.Context) bool {
	rows, err := a.Table.Scan(ctx, Prefix)
	if err != nil {
		log.WithField(logger.FieldEntry, a.Entry).WithError(err).Warn("strikes not read; they are read later")
		return false
	}
	var own, all []quarantiner.Strike
	var expired []provider.Row
	stored := false
	for _, row := range rows {
		strikes, err := a.decode(row)
		isOwn := row.Key == Prefix+a.Entry
		switch {
		case isOwn:
			// A row that can't be decoded is replaced by the next write.
			own, stored = strikes, true
		case err == nil && len(strikes) == 0:
			expired = append(expired, row)
		}
		all = append(all, strikes...)
	}
	a.Evidence.AddStrikes(all)
	a.mu.Lock()
	a.journal.Load(clocker.Now(), own, stored)
	a.mu.Unlock()
	log.WithFields(log.Fields{logger.FieldEntry: a.Entry, "rows": len(rows), "strikes": len(all)}).Info(logger.LineStrikesRestored)
	a.remove(ctx, expired)
	return true
}

// decode returns the strikes of a row that have not expired.
func (a *Archiver) decode(row provider.Row) ([]quarantiner.Strike, error) {
	all, invalid, err := quarantiner.DecodeStrikes(time.Now(), row.Value)
	if err != nil || invalid > 0 {
		log.WithFields(log.Fields{"row": row.Key, "invalid": invalid}).WithError(err).Warn("stored strikes ignored")
	}
	var unexpired []quarantiner.Strike
	for _, s := range all {
		if s.Age < a.Expiry {
			unexpired = append(unexpired, s)
		}
	}
	return unexpired, err
}

// remove removes rows of entry instances that may no longer exist, unless they are written
// meanwhile. Whoever starts next tries again.
func (a *Archiver) remove(ctx context.Context, rows []provider.Row) {
	if len(rows) == 0 {
		return
	}
	tx := provider.Transaction{OperationID: a.operationID()}
	for _, row := range rows[:min(len(rows), maxRemovals)] {
		tx.Guards = append(tx.Guards, provider.Guard{Key: row.Key, Version: row.Version})
		tx.Writes = append(tx.Writes, provider.Write{Key: row.Key, Delete: true})
	}
	if _, err := a.Table.Commit(ctx, tx); err != nil {
		log.WithField(logger.FieldEntry, a.Entry).WithError(err).Info("rows of expired strikes not removed")
	}
}

// write writes the strikes of this entry instance if that is due.
func (a *Archiver) write(ctx context.Context) {
	a.mu.Lock()
	if a.Era != nil && a.Era() != a.era {
		a.era = a.Era()
		a.journal.Rewrite()
	}
	strikes, due := a.journal.Advance(clocker.Now(), a.Evidence.BlockedParts)
	a.mu.Unlock()
	if !due {
		return
	}
	err := a.commit(ctx, strikes)
	if err != nil {
		log.WithFields(log.Fields{logger.FieldEntry: a.Entry, "strikes": len(strikes)}).WithError(err).Warn("strikes not written; they are written later")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.journal.Finish(clocker.Now(), a.pace(), err == nil)
}

// commit replaces the row of this entry instance. No other one writes it.
func (a *Archiver) commit(ctx context.Context, strikes []quarantiner.Strike) error {
	w := provider.Write{Key: Prefix + a.Entry, Delete: len(strikes) == 0}
	if !w.Delete {
		var err error
		if w.Value, err = quarantiner.EncodeStrikes(time.Now(), strikes); err != nil {
			return err
		}
	}
	_, err := a.Table.Commit(ctx, provider.Transaction{OperationID: a.operationID(), Writes: []provider.Write{w}})
	return err
}

// operationID returns the ID of one commit.
func (a *Archiver) operationID() string {
	return Prefix + a.Entry + "/" + strconv.FormatUint(rand.Uint64(), 16)
}
