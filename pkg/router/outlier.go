package router

import "time"

const (
	// failuresToEject is how many failures in a row eject a group.
	failuresToEject = 3
	// ejectionTime is how long a group is left out the first time.
	ejectionTime = 2 * time.Second
	// maxEjectionTime bounds the doubling of that time.
	maxEjectionTime = 30 * time.Second
	// maxEjectedShare is the share of the candidates that may be left out.
	maxEjectedShare = 0.34
)

// outlier counts a group's failures in a row and decides when to leave it out.
type outlier struct {
	failures  int
	ejections int
	until     time.Time
}

func (o *outlier) record(now time.Time, failed bool) {
	if !failed {
		o.failures = 0
		o.ejections = 0
		return
	}
	o.failures++
	if o.failures < failuresToEject {
		return
	}
	o.failures = 0
	o.until = now.Add(min(ejectionTime<<min(o.ejections, 8), maxEjectionTime))
	o.ejections++
}

// FilterEjected returns the candidates without those that are ejected, but never
// leaves out more than a third.
func (t *LoadTracker) FilterEjected(now time.Time, candidates []Candidate) []Candidate {
	allowed := int(float64(len(candidates)) * maxEjectedShare)
	admitted := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		l, known := t.groups[c.Group]
		if known && now.Before(l.outlier.until) && allowed > 0 {
			allowed--
			continue
		}
		admitted = append(admitted, c)
	}
	return admitted
}
