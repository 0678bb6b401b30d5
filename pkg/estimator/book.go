package estimator

import (
	"maps"
	"time"
)

const (
	// peerTTL is how long a peer's word of its work counts: some of its messages.
	peerTTL = time.Second
	// dataCentreTTL is how long the sum of another data centre counts: several of the
	// messages by which its members tell of it, of which one a while comes here.
	dataCentreTTL = 3 * time.Second
)

// WorkTable holds what entry instances have told of their work under way, by the
// name of where it runs. Near peers tell of their own; of other data centres
// one of their members tells the sum. It is not safe for concurrent use.
type WorkTable struct {
	peers       map[string]workReport
	dataCentres map[string]workReport
}

type workReport struct {
	receivedAt time.Time
	works      map[string]Work
}

// NewWorkTable returns an empty book.
func NewWorkTable() *WorkTable {
	return &WorkTable{peers: make(map[string]workReport), dataCentres: make(map[string]workReport)}
}

// SetPeerWork takes in what a near peer has under way.
func (b *WorkTable) SetPeerWork(now time.Time, peer string, works map[string]Work) {
	b.peers[peer] = workReport{now, works}
}

// SetDataCentreWork takes in what a data centre's entry instances have under way.
func (b *WorkTable) SetDataCentreWork(now time.Time, dataCentre string, works map[string]Work) {
	b.dataCentres[dataCentre] = workReport{now, works}
}

// Empty reports whether nobody has told of any work.
func (b *WorkTable) Empty() bool {
	for _, t := range b.peers {
		if len(t.works) > 0 {
			return false
		}
	}
	for _, t := range b.dataCentres {
		if len(t.works) > 0 {
			return false
		}
	}
	return true
}

// RemoteWork returns what others have under way at one place.
func (b *WorkTable) RemoteWork(now time.Time, backend string) Work {
	return sumReports(b.peers, now, peerTTL, backend).plus(sumReports(b.dataCentres, now, dataCentreTTL, backend))
}

// sumReports sums what was told of one place, and forgets what is too old.
func sumReports(reports map[string]workReport, now time.Time, ttl time.Duration, backend string) Work {
	var sum Work
	for from, t := range reports {
		if now.Sub(t.receivedAt) > ttl {
			delete(reports, from)
			continue
		}
		sum = sum.plus(t.works[backend])
	}
	return sum
}

// DataCentreWork returns what this data centre has under way, given this instance's own.
func (b *WorkTable) DataCentreWork(now time.Time, own map[string]Work) map[string]Work {
	sum := make(map[string]Work, len(own))
	maps.Copy(sum, own)
	for _, t := range b.peers {
		if now.Sub(t.receivedAt) > peerTTL {
			continue
		}
		for backend, w := range t.works {
			sum[backend] = sum[backend].plus(w)
		}
	}
	return sum
}

func (w Work) plus(o Work) Work {
	return Work{Running: w.Running + o.Running, UnreadTokens: w.UnreadTokens + o.UnreadTokens}
}
