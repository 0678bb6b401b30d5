package bounder

import (
	"math"
	"sync"
)

// Pool is a memory that several parts share. Each part has a guaranteed size, which the others
// leave free, and takes more as long as nobody else does. It is safe for concurrent use.
type Pool struct {
	capacity int64

	mu    sync.Mutex
	parts []*Part
}

// NewPool returns a pool of so many bytes, without parts.
func NewPool(capacity int64) *Pool { return &Pool{capacity: capacity} }

// Part is what one owner takes of a pool. A nil part has no bound.
type Part struct {
	pool *Pool
	// guaranteed is what the others leave free, and limit the most that the part takes.
	guaranteed, limit int64
	used              int64
}

// NewPart adds a part to the pool. The guaranteed sizes of all parts together must be at most
// the pool's capacity.
func (p *Pool) NewPart(guaranteed, limit int64) *Part {
	part := &Part{pool: p, guaranteed: guaranteed, limit: limit}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts = append(p.parts, part)
	return part
}

// Limit returns the most that the part takes.
func (p *Part) Limit() int64 {
	if p == nil {
		return math.MaxInt64
	}
	return p.limit
}

// Room returns how many more bytes the part may take now.
func (p *Part) Room() int64 {
	if p == nil {
		return math.MaxInt64
	}
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	free := p.pool.capacity
	for _, other := range p.pool.parts {
		if other == p {
			free -= p.used
		} else {
			free -= max(other.used, other.guaranteed)
		}
	}
	return max(0, min(free, p.limit-p.used))
}

// Use records that the part takes so many bytes more, or less if it is negative. Owners that
// use more than their room at the same moment may together exceed the capacity by that.
func (p *Part) Use(bytes int64) {
	if p == nil {
		return
	}
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.used += bytes
}
