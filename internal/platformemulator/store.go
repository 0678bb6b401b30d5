// Package platformemulator emulates the platform for tests and the single-process
// demonstration: a transactional table, an object store, a list of instances that
// lags behind, and a rate-limited weight store. It keeps all data in memory. It is
// not part of the product.
//
// # Usage
//
//	store := platformemulator.NewStore(platformemulator.WithListLag(time.Second))
//	http.ListenAndServe(address, platformemulator.NewHandler(store))
package platformemulator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// Store is an in-memory platform: the table, the object store and the list of
// instances. It is safe for concurrent use.
type Store struct {
	listLag time.Duration

	mu                  sync.Mutex
	lastVersion         uint64
	rows                map[string]provider.Row
	outcomesByOperation map[string]provider.Outcome
	objects             map[string][]byte
	instances           map[string]provider.Instance
	listHistory         []listing
	commits             uint64
	reads               uint64
}

// listing is the list of instances as of a change.
type listing struct {
	changedAt time.Time
	instances []provider.Instance
}

// Option configures a new [Store].
type Option func(*Store)

// WithListLag delays changes of the instance list by lag.
func WithListLag(lag time.Duration) Option {
	return func(s *Store) { s.listLag = lag }
}

// NewStore returns an empty platform.
func NewStore(options ...Option) *Store {
	s := &Store{
		rows:                make(map[string]provider.Row),
		outcomesByOperation: make(map[string]provider.Outcome),
		objects:             make(map[string][]byte),
		instances:           make(map[string]provider.Instance),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Read implements [provider.Reader]. It returns version zero for a missing row.
func (s *Store) Read(_ context.Context, key string) (provider.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.rowLocked(key), nil
}

// Scan implements [provider.Reader].
func (s *Store) Scan(_ context.Context, prefix string) ([]provider.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	rows := []provider.Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b provider.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Commit implements [provider.Committer]. It applies each operation ID once and
// returns the first outcome for a repeated ID.
func (s *Store) Commit(_ context.Context, tx provider.Transaction) (provider.Outcome, error) {
	if tx.OperationID == "" {
		return provider.Outcome{}, faulter.Newf("commit", provider.KindInvalid, "operation_id is empty")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if outcome, found := s.outcomesByOperation[tx.OperationID]; found {
		return outcome, nil
	}
	outcome := s.applyLocked(tx)
	s.outcomesByOperation[tx.OperationID] = outcome
	return outcome, nil
}

func (s *Store) applyLocked(tx provider.Transaction) provider.Outcome {
	var outcome provider.Outcome
	for _, guard := range tx.Guards {
		if row := s.rowLocked(guard.Key); row.Version != guard.Version {
			outcome.Conflicts = append(outcome.Conflicts, row)
		}
	}
	if len(outcome.Conflicts) > 0 {
		return outcome
	}
	for _, write := range tx.Writes {
		s.writeLocked(write)
	}
	outcome.Committed = true
	return outcome
}

func (s *Store) writeLocked(write provider.Write) {
	if write.Delete {
		delete(s.rows, write.Key)
		return
	}
	s.lastVersion++
	s.rows[write.Key] = provider.Row{Key: write.Key, Version: provider.Version{Number: s.lastVersion}, Value: write.Value}
}

func (s *Store) rowLocked(key string) provider.Row {
	row, found := s.rows[key]
	if !found {
		return provider.Row{Key: key}
	}
	return row
}

// GetObject implements [provider.ObjectStore].
func (s *Store) GetObject(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, found := s.objects[name]
	if !found {
		return nil, faulter.New("get object", provider.KindNotFound, nil)
	}
	return data, nil
}

// PutObject implements [provider.ObjectStore].
func (s *Store) PutObject(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = slices.Clone(data)
	return nil
}

// ListInstances implements [provider.Lister]. The list lags behind as set by
// [WithListLag].
func (s *Store) ListInstances(_ context.Context) ([]provider.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-s.listLag)
	instances := []provider.Instance{}
	for _, l := range s.listHistory {
		if l.changedAt.After(cutoff) {
			break
		}
		instances = l.instances
	}
	return instances, nil
}

// PutInstance adds an instance to the list or replaces it.
func (s *Store) PutInstance(instance provider.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[instance.ID] = instance
	s.recordListingLocked()
}

// DeleteInstance removes an instance from the list.
func (s *Store) DeleteInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
	s.recordListingLocked()
}

func (s *Store) recordListingLocked() {
	instances := slices.Collect(maps.Values(s.instances))
	slices.SortFunc(instances, func(a, b provider.Instance) int { return strings.Compare(a.ID, b.ID) })
	s.listHistory = append(s.listHistory, listing{changedAt: time.Now(), instances: instances})
}

// Counts returns the number of commits and reads of the table so far. A scan is
// one read.
func (s *Store) Counts() (commits, reads uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits, s.reads
}
