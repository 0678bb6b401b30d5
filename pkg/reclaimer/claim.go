package reclaimer

import (
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// notListed is the index of a claim that is not in the list of incomplete ones.
const notListed = -1

// Claim is the memory that one request takes.
type Claim[O any] struct {
	conn  *Conn[O]
	owner O
	size  int64
	// index is the place in the reclaimer's list of incomplete claims, or notListed.
	index int
	// mark is when the request last made progress, and sinceMark what has arrived since.
	mark      time.Time
	sinceMark int64
	ended     bool
}

// Advance records that so many bytes have arrived.
func (c *Claim[O]) Advance(now time.Time, bytes int64) {
	r := c.conn.reclaimer
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.sinceMark += bytes; c.sinceMark >= progressBytes {
		c.mark, c.sinceMark = now, 0
	}
}

// Resize sets how many bytes the claim takes. If memory is short, stalled claims give way; if
// they don't suffice, the error is of [KindNoMemory]. A claim that has given way itself gets
// an error of [KindReclaimed].
func (c *Claim[O]) Resize(now time.Time, size int64) ([]Victim[O], error) {
	const op = "take memory"
	r := c.conn.reclaimer
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.ended {
		return nil, faulter.Newf(op, KindReclaimed, "the request made no progress while memory was short")
	}
	var victims []Victim[O]
	if size > c.size {
		var enough bool
		limit := r.available(size)
		if victims, enough = r.reclaim(now, size-c.size, limit, c); !enough {
			return nil, faulter.Newf(op, KindNoMemory, "%d of %d bytes are in use", r.used, limit)
		}
	}
	r.take(size - c.size)
	c.size = size
	return victims, nil
}

// Reclaimed reports whether the claim has given way, or was closed.
func (c *Claim[O]) Reclaimed() bool {
	r := c.conn.reclaimer
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.ended
}

// Complete says that the request has arrived whole, so that it doesn't give way any more.
func (c *Claim[O]) Complete() {
	r := c.conn.reclaimer
	r.mu.Lock()
	defer r.mu.Unlock()
	c.unlist()
}

// Close gives the memory back. It may be called more than once.
func (c *Claim[O]) Close() {
	r := c.conn.reclaimer
	r.mu.Lock()
	defer r.mu.Unlock()
	c.end()
}

func (c *Claim[O]) giveWay() Victim[O] {
	c.end()
	return Victim[O]{Owner: c.owner, Reason: ReasonStalled}
}

func (c *Claim[O]) end() {
	if c.ended {
		return
	}
	c.ended = true
	c.unlist()
	c.conn.reclaimer.take(-c.size)
	c.size = 0
	if i := slices.Index(c.conn.claims, c); i >= 0 {
		c.conn.claims = slices.Delete(c.conn.claims, i, i+1)
	}
}

// unlist removes the claim from the list of incomplete ones.
func (c *Claim[O]) unlist() {
	if c.index == notListed {
		return
	}
	r := c.conn.reclaimer
	last := r.incomplete[len(r.incomplete)-1]
	r.incomplete[c.index], last.index = last, c.index
	r.incomplete[len(r.incomplete)-1] = nil
	r.incomplete = r.incomplete[:len(r.incomplete)-1]
	c.index = notListed
}

// incomplete reports whether the request has not arrived whole.
func (c *Claim[O]) incomplete() bool { return c.index != notListed }
