package router

import "time"

const (
	// consecutiveFailuresToEject is how many failures in a row eject a group.
	consecutiveFailuresToEject = 3
	// baseEjectionTime is how long a group is left out the first time.
	baseEjectionTime = 2 * time.Second
	// maxEjectionTime bounds the doubling of that time.
	maxEjectionTime = 30 * time.Second
	// maxEjectedShare is the share of the candidates that may be left out.
	maxEjectedShare = 0.34
)

// outlierState counts a group's failures in a row and decides when to leave it out.
type outlierState struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

func (o *outlierState) record(now time.Time, failed bool) {
	if !failed {
		o.consecutiveFailures = 0
		o.ejections = 0
		return
	}
	o.consecutiveFailures++
	if o.consecutiveFailures < consecutiveFailuresToEject {
		return
	}
	o.consecutiveFailures = 0
	o.ejectedUntil = now.Add(min(baseEjectionTime<<min(o.ejections, 8), maxEjectionTime))
	o.ejections++
}

// FilterEjected returns the candidates without those that are ejected, but never
// leaves out more than a third.
func (t *LoadTracker) FilterEjected(now time.Time, candidates []Candidate) []Candidate {
	allowed := int(float64(len(candidates)) * maxEjectedShare)
	admitted := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		l, known := t.groups[c.Group]
		if known && now.Before(l.outlier.ejectedUntil) && allowed > 0 {
			allowed--
			continue
		}
		admitted = append(admitted, c)
	}
	return admitted
}
