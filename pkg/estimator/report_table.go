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

// Summable is a value of which sums are kept. Its zero value is the empty sum.
type Summable[T any] interface {
	comparable
	plus(T) T
	minus(T) T
}

// ReportTable holds values that other entry instances report, by name, such as the work in
// flight by the backend that runs it. Peers report their own values; the sum over another
// data centre is reported by any of its entry instances. It is not safe for concurrent use.
type ReportTable[T Summable[T]] struct {
	peers       reportSet[T]
	dataCentres reportSet[T]
}

// report is the last report of one peer or data centre.
type report[T any] struct {
	receivedAt time.Time
	values     map[string]T
}

// reportSet holds the last report of each source, and their sums, so that reading a sum
// does not cost more with more sources.
type reportSet[T Summable[T]] struct {
	ttl     time.Duration
	reports map[string]report[T]
	sums    map[string]T
	// expiresAt is a time before which no report expires.
	expiresAt time.Time
}

func newReportSet[T Summable[T]](ttl time.Duration) reportSet[T] {
	return reportSet[T]{ttl: ttl, reports: make(map[string]report[T]), sums: make(map[string]T)}
}

// NewReportTable returns an empty table.
func NewReportTable[T Summable[T]]() *ReportTable[T] {
	return &ReportTable[T]{peers: newReportSet[T](peerTTL), dataCentres: newReportSet[T](dataCentreTTL)}
}

// SetPeer stores the values of a peer.
func (t *ReportTable[T]) SetPeer(now time.Time, peer string, values map[string]T) {
	t.peers.set(now, peer, values)
}

// SetDataCentre stores the sums over all entry instances of another data centre.
func (t *ReportTable[T]) SetDataCentre(now time.Time, dataCentre string, values map[string]T) {
	t.dataCentres.set(now, dataCentre, values)
}

// set replaces the report of a source.
func (s *reportSet[T]) set(now time.Time, source string, values map[string]T) {
	s.expire(now)
	s.remove(source)
	s.reports[source] = report[T]{now, values}
	for name, v := range values {
		s.sums[name] = s.sums[name].plus(v)
	}
	if len(s.reports) == 1 {
		s.expiresAt = now.Add(s.ttl)
	}
}

// remove deletes the report of a source.
func (s *reportSet[T]) remove(source string) {
	var zero T
	for name, v := range s.reports[source].values {
		if rest := s.sums[name].minus(v); rest == zero {
			delete(s.sums, name)
		} else {
			s.sums[name] = rest
		}
	}
	delete(s.reports, source)
}

// expire deletes the reports that are older than the time to live.
func (s *reportSet[T]) expire(now time.Time) {
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

// sum returns the reported sum of one name.
func (s *reportSet[T]) sum(now time.Time, name string) T {
	s.expire(now)
	return s.sums[name]
}

// DataCentres returns the sums over the other data centres together.
func (t *ReportTable[T]) DataCentres(now time.Time) map[string]T {
	t.dataCentres.expire(now)
	return maps.Clone(t.dataCentres.sums)
}

// Empty reports whether nothing has been reported.
func (t *ReportTable[T]) Empty() bool { return len(t.peers.sums) == 0 && len(t.dataCentres.sums) == 0 }

// Remote returns the sum over all other entry instances for one name.
func (t *ReportTable[T]) Remote(now time.Time, name string) T {
	return t.peers.sum(now, name).plus(t.dataCentres.sum(now, name))
}

// DataCentreExcept returns the sums over this data centre: this instance's own values and
// what its peers report, without some of them.
func (t *ReportTable[T]) DataCentreExcept(now time.Time, own map[string]T, peers []string) map[string]T {
	t.peers.expire(now)
	sum := maps.Clone(t.peers.sums)
	for name, v := range own {
		sum[name] = sum[name].plus(v)
	}
	for _, peer := range peers {
		for name, v := range t.peers.reports[peer].values {
			sum[name] = sum[name].minus(v)
		}
	}
	var zero T
	maps.DeleteFunc(sum, func(_ string, v T) bool { return v == zero })
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
