package router

import "time"

const (
	// consecutiveFailuresToEject is the number of consecutive failures after
	// which a group is ejected.
	consecutiveFailuresToEject = 3
	// baseEjectionTime is the duration of a group's first ejection. Each further
	// ejection without a success in between doubles it.
	baseEjectionTime = 2 * time.Second
	// maxEjectionTime is the maximum duration of an ejection.
	maxEjectionTime = 30 * time.Second
	// maxEjectedShare is the maximum share of the candidates that are ejected at
	// a time.
	maxEjectedShare = 0.34
)

// outlierState is the outlier detection state of one group.
type outlierState struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// record counts a finished request and ejects the group after too many
// consecutive failures.
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

// FilterEjected returns the candidates that are not ejected. It omits a third of
// the candidates at most, the first ones in order.
func (t *LoadTracker) FilterEjected(now time.Time, candidates []Candidate) []Candidate {
	allowed := int(float64(len(candidates)) * maxEjectedShare)
	admitted := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		g, known := t.groups[c.Group]
		if known && now.Before(g.outlier.ejectedUntil) && allowed > 0 {
			allowed--
			continue
		}
		admitted = append(admitted, c)
	}
	return admitted
}
