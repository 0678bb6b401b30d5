// Package bounder reads responses from other systems within bounds: each response is at
// most so long, and all that are in progress take at most so much memory together. A
// system in trouble may send bytes without end.
//
// # Usage
//
//	budget := bounder.NewBudget(32 << 20)
//	share := budget.Open()
//	defer share.Close()
//	body, err := bounder.ReadAll(response.Body, 8<<20, share)
//
// Sizes are in bytes. Errors are of type *[Error]: KindTooLong if the response is longer
// than its limit, KindNoMemory if the budget is used up by other responses.
package bounder

import (
	"io"
	"sync"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	// KindTooLong means that a response is longer than its limit.
	KindTooLong Kind = iota
	// KindNoMemory means that the responses in progress take the whole budget.
	KindNoMemory
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

const (
	// smallShare is the size up to which a share may use the reserve.
	smallShare = 32 << 10
	// reserveDivisor is the ratio of a budget's capacity to its reserve.
	reserveDivisor = 16
)

// Budget is the memory that the responses in progress may take together. A part of it is
// a reserve for small responses, so that large ones leave room for them. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	capacity int64
	used     int64
	// part is the part of a pool from which the budget takes its bytes, or nil.
	part *Part
}

// NewBudget returns a budget of so many bytes.
func NewBudget(capacity int64) *Budget { return &Budget{capacity: capacity} }

// NewBudgetOf returns a budget that takes its bytes from a part of a pool.
func NewBudgetOf(part *Part) *Budget { return &Budget{capacity: part.Limit(), part: part} }

// Used returns how many bytes are taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open returns a share of the budget for one response. It takes nothing yet.
func (b *Budget) Open() *Share { return &Share{budget: b} }

// Share is what one response takes of a budget. It is not safe for concurrent use.
type Share struct {
	budget *Budget
	// size is what the share takes of the budget, held a part of it that Resize doesn't set.
	size int64
	held int64
	// closed says that nothing can be taken any more.
	closed bool
}

// Resize sets how many bytes the response takes, beside those of Hold. If the budget does
// not have them, it returns an error of KindNoMemory and changes nothing: the response that
// grows gives way, not one that is there already. A nil share takes nothing.
func (s *Share) Resize(size int64) error {
	if s == nil {
		return nil
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.resize(size + s.held)
}

// Hold takes more bytes, until the share is closed. It may be called while another goroutine
// closes the share, and takes nothing afterwards.
func (s *Share) Hold(bytes int64) error {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.closed {
		return nil
	}
	if err := s.resize(s.size + bytes); err != nil {
		return err
	}
	s.held += bytes
	return nil
}

// resize sets the size. The caller holds the budget's lock.
func (s *Share) resize(size int64) error {
	limit := s.budget.capacity
	if size > smallShare {
		limit -= limit / reserveDivisor
	}
	if size > s.size && (s.budget.used+size-s.size > limit || size-s.size > s.budget.part.Room()) {
		return faulter.Newf("read response", KindNoMemory, "%d of %d bytes are in use", s.budget.used, limit)
	}
	s.set(size)
	return nil
}

// set changes the size. The caller holds the budget's lock.
func (s *Share) set(size int64) {
	s.budget.used += size - s.size
	s.budget.part.Use(size - s.size)
	s.size = size
}

// Close returns the share to the budget. It may be called more than once, and on a nil
// share.
func (s *Share) Close() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.set(0)
	s.held, s.closed = 0, true
}

// firstRead is the size of the first buffer; it doubles when it is full.
const firstRead = 4096

// Resizer is told what a buffer takes, and returns an error if that can't be had.
type Resizer interface {
	Resize(size int64) error
}

// ReadAll reads r to its end, and at most limit bytes. If share is not nil, the bytes are
// taken from it before they are read.
func ReadAll(r io.Reader, limit int64, share Resizer) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			// One byte more than the limit shows that it is exceeded.
			next := min(max(firstRead, 2*int64(cap(data))), limit+1)
			if share != nil {
				// The old buffer is free only after the copy.
				if err := share.Resize(next + int64(cap(data))); err != nil {
					return nil, err
				}
			}
			data = append(make([]byte, 0, next), data...)
			if share != nil {
				if err := share.Resize(next); err != nil {
					return nil, err
				}
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, faulter.Newf("read response", KindTooLong, "longer than %d bytes", limit)
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
