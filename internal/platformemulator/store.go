// Package platformemulator stands in for the platform in tests and in the
// single-process demonstration: a transactional table, an object store, a
// lagging list of instances and a rate-limited weight store. It keeps all in
// memory and is no part of the product.
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

// Store is an in-memory platform. It is safe for concurrent use.
type Store struct {
	listLag time.Duration

	mu         sync.Mutex
	sequence   uint64
	rows       map[string]provider.Row
	operations map[string]provider.Outcome
	objects    map[string][]byte
	instances  map[string]provider.Instance
	listings   []listing
	commits    uint64
	reads      uint64
}

// listing is the instance list as it stood from a moment on.
type listing struct {
	since     time.Time
	instances []provider.Instance
}

// Option changes a new Store.
type Option func(*Store)

// WithListLag makes the instance list show changes only after lag.
func WithListLag(lag time.Duration) Option {
	return func(s *Store) { s.listLag = lag }
}

// NewStore returns an empty platform.
func NewStore(options ...Option) *Store {
	s := &Store{
		rows:       make(map[string]provider.Row),
		operations: make(map[string]provider.Outcome),
		objects:    make(map[string][]byte),
		instances:  make(map[string]provider.Instance),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Read implements [provider.Reader].
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

// Commit implements [provider.Committer].
func (s *Store) Commit(_ context.Context, tx provider.Transaction) (provider.Outcome, error) {
	if tx.OperationID == "" {
		return provider.Outcome{}, faulter.Newf("commit", provider.KindInvalid, "operation_id is empty")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if outcome, repeated := s.operations[tx.OperationID]; repeated {
		return outcome, nil
	}
	outcome := s.applyLocked(tx)
	s.operations[tx.OperationID] = outcome
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
	s.sequence++
	s.rows[write.Key] = provider.Row{Key: write.Key, Version: s.sequence, Value: write.Value}
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

// ListInstances implements [provider.Lister] with the store's lag.
func (s *Store) ListInstances(_ context.Context) ([]provider.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := time.Now().Add(-s.listLag)
	shown := []provider.Instance{}
	for _, l := range s.listings {
		if l.since.After(visible) {
			break
		}
		shown = l.instances
	}
	return shown, nil
}

// PutInstance adds or changes an instance of the list.
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
	s.listings = append(s.listings, listing{since: time.Now(), instances: instances})
}

// Counts returns how many commits and reads the table has answered.
func (s *Store) Counts() (commits, reads uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits, s.reads
}
