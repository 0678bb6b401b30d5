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
	peers       reportSet
	dataCentres reportSet
}

// workReport is the last report of one peer or data centre.
type workReport struct {
	receivedAt time.Time
	// works is the work in flight by backend name.
	works map[string]Work
}

// reportSet holds the last report of each source, and their sums, so that reading a sum
// does not cost more with more sources.
type reportSet struct {
	ttl     time.Duration
	reports map[string]workReport
	sums    map[string]Work
	// expiresAt is a time before which no report expires.
	expiresAt time.Time
}

func newReportSet(ttl time.Duration) reportSet {
	return reportSet{ttl: ttl, reports: make(map[string]workReport), sums: make(map[string]Work)}
}

// NewWorkTable returns an empty table.
func NewWorkTable() *WorkTable {
	return &WorkTable{peers: newReportSet(peerTTL), dataCentres: newReportSet(dataCentreTTL)}
}

// SetPeerWork stores the work that a peer has in flight.
func (t *WorkTable) SetPeerWork(now time.Time, peer string, works map[string]Work) {
	t.peers.set(now, peer, works)
}

// SetDataCentreWork stores the work that all entry instances of another data
// centre have in flight.
func (t *WorkTable) SetDataCentreWork(now time.Time, dataCentre string, works map[string]Work) {
	t.dataCentres.set(now, dataCentre, works)
}

// set replaces the report of a source.
func (s *reportSet) set(now time.Time, source string, works map[string]Work) {
	s.expire(now)
	s.remove(source)
	s.reports[source] = workReport{now, works}
	for backend, w := range works {
		s.sums[backend] = s.sums[backend].plus(w)
	}
	if len(s.reports) == 1 {
		s.expiresAt = now.Add(s.ttl)
	}
}

// remove deletes the report of a source.
func (s *reportSet) remove(source string) {
	for backend, w := range s.reports[source].works {
		if rest := s.sums[backend].minus(w); rest == (Work{}) {
			delete(s.sums, backend)
		} else {
			s.sums[backend] = rest
		}
	}
	delete(s.reports, source)
}

// expire deletes the reports that are older than the time to live.
func (s *reportSet) expire(now time.Time) {
	if !now.After(s.expiresAt) {
		return
	}
	s.expiresAt = now.Add(s.ttl)
	for source, r := range s.reports {
		if now.Sub(r.receivedAt) > s.ttl {
			s.remove(source)
		} else if at := r.receivedAt.Add(s.ttl); at.Before(s.expiresAt) {
			s.expiresAt = at
		}
	}
}

// sum returns the reported work of one backend.
func (s *reportSet) sum(now time.Time, backend string) Work {
	s.expire(now)
	return s.sums[backend]
}

// PeersExcept returns the work that the peers other than one have in flight, by backend
// name.
func (t *WorkTable) PeersExcept(now time.Time, peer string) map[string]Work {
	t.peers.expire(now)
	sum := maps.Clone(t.peers.sums)
	for backend, w := range t.peers.reports[peer].works {
		sum[backend] = sum[backend].minus(w)
	}
	maps.DeleteFunc(sum, func(_ string, w Work) bool { return w == Work{} })
	return sum
}

// DataCentresWork returns the work that the other data centres have in flight together,
// by backend name.
func (t *WorkTable) DataCentresWork(now time.Time) map[string]Work {
	t.dataCentres.expire(now)
	return maps.Clone(t.dataCentres.sums)
}

// Empty reports whether no work has been reported.
func (t *WorkTable) Empty() bool { return len(t.peers.sums) == 0 && len(t.dataCentres.sums) == 0 }

// RemoteWork returns the work that other entry instances have in flight at a
// backend, which is a replica group or a plain backend server.
func (t *WorkTable) RemoteWork(now time.Time, backend string) Work {
	return t.peers.sum(now, backend).plus(t.dataCentres.sum(now, backend))
}

// DataCentreWork returns the work that this data centre has in flight by backend
// name: this instance's own and what its peers report.
func (t *WorkTable) DataCentreWork(now time.Time, own map[string]Work) map[string]Work {
	return t.DataCentreWorkExcept(now, own, nil)
}

// DataCentreWorkExcept is like DataCentreWork, without what some of the peers report.
func (t *WorkTable) DataCentreWorkExcept(now time.Time, own map[string]Work, peers []string) map[string]Work {
	sum := t.PeersExcept(now, "")
	for backend, w := range own {
		sum[backend] = sum[backend].plus(w)
	}
	for _, peer := range peers {
		for backend, w := range t.peers.reports[peer].works {
			sum[backend] = sum[backend].minus(w)
		}
	}
	maps.DeleteFunc(sum, func(_ string, w Work) bool { return w == Work{} })
	return sum
}

// plus returns the sum of w and o.
func (w Work) plus(o Work) Work {
	return Work{Running: w.Running + o.Running, UnreadTokens: w.UnreadTokens + o.UnreadTokens}
}

// minus returns the difference of w and o.
func (w Work) minus(o Work) Work {
	return Work{Running: w.Running - o.Running, UnreadTokens: w.UnreadTokens - o.UnreadTokens}
}
