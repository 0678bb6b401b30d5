package estimator

import (
	"maps"
	"time"
)

const (
	// nearTTL is how long a peer's word of its work counts: some of its messages.
	nearTTL = time.Second
	// farTTL is how long the sum of another data centre counts: several of the
	// messages by which its members tell of it, of which one a while comes here.
	farTTL = 3 * time.Second
)

// WorkTable holds what entry instances have told of their work under way, by the
// name of where it runs. Near peers tell of their own; of other data centres
// one of their members tells the sum. It is not safe for concurrent use.
type WorkTable struct {
	near map[string]told
	far  map[string]told
}

type told struct {
	at    time.Time
	works map[string]Work
}

// NewWorkTable returns an empty book.
func NewWorkTable() *WorkTable {
	return &WorkTable{near: make(map[string]told), far: make(map[string]told)}
}

// SetPeerWork takes in what a near peer has under way.
func (b *WorkTable) SetPeerWork(now time.Time, peer string, works map[string]Work) {
	b.near[peer] = told{now, works}
}

// SetDataCentreWork takes in what a data centre's entry instances have under way.
func (b *WorkTable) SetDataCentreWork(now time.Time, dataCentre string, works map[string]Work) {
	b.far[dataCentre] = told{now, works}
}

// Empty reports whether nobody has told of any work.
func (b *WorkTable) Empty() bool {
	for _, t := range b.near {
		if len(t.works) > 0 {
			return false
		}
	}
	for _, t := range b.far {
		if len(t.works) > 0 {
			return false
		}
	}
	return true
}

// RemoteWork returns what others have under way at one place.
func (b *WorkTable) RemoteWork(now time.Time, place string) Work {
	return at(b.near, now, nearTTL, place).plus(at(b.far, now, farTTL, place))
}

// at sums what was told of one place, and forgets what is too old.
func at(all map[string]told, now time.Time, ttl time.Duration, place string) Work {
	var sum Work
	for from, t := range all {
		if now.Sub(t.at) > ttl {
			delete(all, from)
			continue
		}
		sum = sum.plus(t.works[place])
	}
	return sum
}

// DataCentreWork returns what this data centre has under way, given this instance's own.
func (b *WorkTable) DataCentreWork(now time.Time, own map[string]Work) map[string]Work {
	sum := make(map[string]Work, len(own))
	maps.Copy(sum, own)
	for _, t := range b.near {
		if now.Sub(t.at) > nearTTL {
			continue
		}
		for place, w := range t.works {
			sum[place] = sum[place].plus(w)
		}
	}
	return sum
}

func (w Work) plus(o Work) Work {
	return Work{Running: w.Running + o.Running, UnreadTokens: w.UnreadTokens + o.UnreadTokens}
}
