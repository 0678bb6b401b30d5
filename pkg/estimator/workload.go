package estimator

import (
	"sort"
	"time"
)

const (
	// offsetStep is how far one observation moves the offset of first events; a
	// few seconds of requests reach the true value.
	offsetStep = 3 * time.Millisecond
	// maxOffset bounds the offset, so that slow or overloaded groups do not make
	// every request look late before it starts.
	maxOffset = 150 * time.Millisecond
	// promptWeight is the weight of a new request in the mean prompt length.
	promptWeight = 0.05
	// minSlotShare is the share of a group's slots that is used however slow the
	// group is.
	minSlotShare = 0.25
)

// Workload describes the recent requests to one model: what their callers
// expect, and how far their first events are off the prediction. It does no I/O
// and is not safe for concurrent use.
type Workload struct {
	// objective and gapObjective are those of the latest request.
	objective    time.Duration
	gapObjective time.Duration
	promptTokens float64
	// offset follows the median of the observed less the predicted time to the
	// first token.
	offset time.Duration
}

// ObserveRequest records the arrival of a request.
func (w *Workload) ObserveRequest(promptTokens int, objective, gapObjective time.Duration) {
	w.objective, w.gapObjective = objective, gapObjective
	if w.promptTokens == 0 {
		w.promptTokens = float64(promptTokens)
	}
	w.promptTokens += promptWeight * (float64(promptTokens) - w.promptTokens)
}

// ObserveFirstEvent records how long a first event took and what was predicted.
func (w *Workload) ObserveFirstEvent(predicted, actual time.Duration) {
	if actual-predicted > w.offset {
		w.offset = min(w.offset+offsetStep, maxOffset)
	} else {
		w.offset = max(w.offset-offsetStep, 0)
	}
}

// Offset returns the time that first events take beyond the prediction.
func (w *Workload) Offset() time.Duration { return w.offset }

// UsableSlots returns how many requests a group should run at once. A group within
// one domain uses all of its slots: fewer would cost throughput whenever the
// prediction is off, such as while instances are slow. A group across domains is
// filled only as far as a typical request meets its objectives, but at least to
// minSlotShare.
func (w *Workload) UsableSlots(g Group) int {
	slots := max(1, g.Engine.Slots)
	if !g.Spread {
		return slots
	}
	least := max(1, int(minSlotShare*float64(slots)))
	tooMany := sort.Search(slots-least, func(i int) bool { return !w.meetsObjectives(g, least+1+i) })
	return least + tooMany
}

// meetsObjectives reports whether a typical request meets its objectives in a
// group that runs n requests, itself included, one of which is prefilled before
// it.
func (w *Workload) meetsObjectives(g Group, n int) bool {
	prompt := int(w.promptTokens)
	first := g.TimeToFirstToken(Work{Running: n - 1, UnreadTokens: prompt}, prompt) + w.offset
	gap := g.IterationTime(n) + g.PrefillTime(prompt)
	return (w.objective <= 0 || first <= w.objective) && (w.gapObjective <= 0 || gap <= w.gapObjective)
}
