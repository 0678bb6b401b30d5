// Package explainer reconstructs from the logs of several entry instances what
// happened to one request or replica group, and why. It orders the lines
// correctly even if the instances' times of day differ.
//
// # Usage
//
//	timeline := explainer.New(lines)
//	explanation, err := timeline.ExplainRequest("9c41d07be2a35f68")
//	for _, line := range explanation.Lines { ... }
//	fmt.Println(explanation.Cause)
package explainer

import (
	"maps"
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Error kinds.
const (
	// KindInput means that a log cannot be read.
	KindInput Kind = iota + 1
	// KindUnknown means that no line names the request or group.
	KindUnknown
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

const (
	// marginBefore and marginAfter are how long before and after a request the lines
	// of other events can be relevant to it: a loss is detected within two seconds
	// of the stall that it causes.
	marginBefore = 3 * time.Second
	marginAfter  = time.Second
)

// Explanation is the reconstruction of one request or group.
type Explanation struct {
	// Subject is the id of the request or the name of the group.
	Subject string `json:"subject"`
	Lines   []Line `json:"lines"`
	// Cause describes in a sentence how the request or group ended and why.
	Cause string `json:"cause"`
}

// Timeline holds the log lines of several entry instances in order of time.
type Timeline struct{ lines []Line }

// New returns the lines of several logs in the order of one common clock.
func New(lines []Line) *Timeline {
	lines = slices.Clone(lines)
	alignClocks(lines)
	return &Timeline{lines: lines}
}

// ExplainRequest returns the lines that are relevant to a request and how it ended.
// An error of KindUnknown means that no line names the request.
func (t *Timeline) ExplainRequest(id string) (Explanation, error) {
	requestLines := t.filter(func(l Line) bool { return l.text(logger.FieldRequest) == id })
	if len(requestLines) == 0 {
		return Explanation{}, faulter.Newf("explain", KindUnknown, "no line tells of request %q", id)
	}
	request := newRequestInfo(requestLines)
	lines := t.filter(func(l Line) bool { return l.text(logger.FieldRequest) == id || request.isRelevant(l) })
	lines = append(t.priorState(request), lines...)
	slices.SortStableFunc(lines, compareTime)
	return Explanation{Subject: id, Lines: lines, Cause: request.describeEnd(requestLines, lines)}, nil
}

// ExplainGroup returns the lines about a replica group and how it ended. An error of
// KindUnknown means that no line names the group.
func (t *Timeline) ExplainGroup(name string) (Explanation, error) {
	lines := t.filter(func(l Line) bool {
		return l.text(logger.FieldGroup) == name || l.text(logger.FieldUpstream) == name && l.Message == logger.LineAttemptFailed
	})
	if len(lines) == 0 {
		return Explanation{}, faulter.Newf("explain", KindUnknown, "no line tells of group %q", name)
	}
	return Explanation{Subject: name, Lines: lines, Cause: describeGroupEnd(lines)}, nil
}

func (t *Timeline) filter(keep func(Line) bool) []Line {
	var found []Line
	for _, l := range t.lines {
		if keep(l) {
			found = append(found, l)
		}
	}
	return found
}

// priorState returns the last lines before the request that show the state in
// which it started: the configuration and the store connection of its entry
// instance, the groups of its model and the holder of the control lease.
func (t *Timeline) priorState(s requestInfo) []Line {
	last := make(map[string]int)
	for i, l := range t.lines {
		if l.At > s.from {
			break
		}
		own := l.process() == s.process
		switch l.Message {
		case logger.LineConfigInForce:
			if own {
				last[l.Message] = i
			}
		case logger.LineEvacuated:
			if own {
				last[l.Message+l.text(logger.FieldDataCentre)] = i
			}
		case logger.LineEvacuationEnded:
			if own {
				delete(last, logger.LineEvacuated+l.text(logger.FieldDataCentre))
			}
		case logger.LineStoreRegained, logger.LineStoreLost:
			if own {
				last[logger.LineStoreRegained] = i
			}
		case logger.LineGroups:
			if s.model != "" && l.text(logger.FieldModel) == s.model {
				last[l.Message] = i
			}
		case logger.LineControlAcquired:
			last[l.Message] = i
		}
	}
	var found []Line
	for _, i := range slices.Sorted(maps.Values(last)) {
		found = append(found, t.lines[i])
	}
	return found
}
