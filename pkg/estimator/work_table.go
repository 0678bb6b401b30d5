package estimator

import (
	"maps"
	"time"
)

const (
	// peerTTL is how long the report of a peer is used. It spans several of the
	// peer's reports, so that a lost one does no harm.
	peerTTL = time.Second
	// dataCentreTTL is how long the sum of another data centre is used. Each
	// entry instance there sends the sum to one random instance in this data
	// centre, so only some of the reports reach this instance; the TTL spans
	// several that do.
	dataCentreTTL = 3 * time.Second
)

// WorkTable holds the work in flight that other entry instances report, by the
// name of the replica group or backend server that runs it. Peers report their
// own work; the sum over another data centre is reported by any of its entry
// instances. It is not safe for concurrent use.
type WorkTable struct {
	peers       map[string]workReport
	dataCentres map[string]workReport
}

// workReport is the last report of one peer or data centre.
type workReport struct {
	receivedAt time.Time
	// works is the work in flight by backend name.
	works map[string]Work
}

// NewWorkTable returns an empty table.
func NewWorkTable() *WorkTable {
	return &WorkTable{peers: make(map[string]workReport), dataCentres: make(map[string]workReport)}
}

// SetPeerWork stores the work that a peer has in flight.
func (t *WorkTable) SetPeerWork(now time.Time, peer string, works map[string]Work) {
	t.peers[peer] = workReport{now, works}
}

// SetDataCentreWork stores the work that all entry instances of another data
// centre have in flight.
func (t *WorkTable) SetDataCentreWork(now time.Time, dataCentre string, works map[string]Work) {
	t.dataCentres[dataCentre] = workReport{now, works}
}

// Empty reports whether no work has been reported.
func (t *WorkTable) Empty() bool {
	for _, r := range t.peers {
		if len(r.works) > 0 {
			return false
		}
	}
	for _, r := range t.dataCentres {
		if len(r.works) > 0 {
			return false
		}
	}
	return true
}

// RemoteWork returns the work that other entry instances have in flight at a
// backend, which is a replica group or a plain backend server.
func (t *WorkTable) RemoteWork(now time.Time, backend string) Work {
	return sumReports(t.peers, now, peerTTL, backend).plus(sumReports(t.dataCentres, now, dataCentreTTL, backend))
}

// sumReports sums the reported work of one backend and deletes reports that are
// older than ttl.
func sumReports(reports map[string]workReport, now time.Time, ttl time.Duration, backend string) Work {
	var sum Work
	for source, r := range reports {
		if now.Sub(r.receivedAt) > ttl {
			delete(reports, source)
			continue
		}
		sum = sum.plus(r.works[backend])
	}
	return sum
}

// DataCentreWork returns the work that this data centre has in flight by backend
// name: this instance's own and what its peers report.
func (t *WorkTable) DataCentreWork(now time.Time, own map[string]Work) map[string]Work {
	sum := make(map[string]Work, len(own))
	maps.Copy(sum, own)
	for _, r := range t.peers {
		if now.Sub(r.receivedAt) > peerTTL {
			continue
		}
		for backend, w := range r.works {
			sum[backend] = sum[backend].plus(w)
		}
	}
	return sum
}

// plus returns the sum of w and o.
func (w Work) plus(o Work) Work {
	return Work{Running: w.Running + o.Running, UnreadTokens: w.UnreadTokens + o.UnreadTokens}
}
