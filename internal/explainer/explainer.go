// Package explainer tells from the logs of several entry instances what became
// of one request, or of one replica group, and why. It puts the lines in order
// though the instances' times of day differ.
//
// # Usage
//
//	history := explainer.New(lines)
//	story, err := history.Request("9c41d07be2a35f68")
//	for _, line := range story.Lines { ... }
//	fmt.Println(story.Cause)
package explainer

import (
	"maps"
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind sorts the failures of this package.
type Kind int

// Kinds of failure.
const (
	// KindInput says that a log cannot be read.
	KindInput Kind = iota + 1
	// KindUnknown says that no line tells of what was asked for.
	KindUnknown
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

const (
	// marginBefore and after are how far around a request other lines may bear on it:
	// a loss is found within two seconds of the stall that it causes.
	marginBefore = 3 * time.Second
	marginAfter  = time.Second
)

// Explanation is what the lines tell of one request or group.
type Explanation struct {
	// Subject is the request's or the group's name.
	Subject string `json:"subject"`
	Lines   []Line `json:"lines"`
	// Cause says in a sentence how it ended and why.
	Cause string `json:"cause"`
}

// Timeline is the lines of several entry instances in order.
type Timeline struct{ lines []Line }

// New puts the lines of several logs in order.
func New(lines []Line) *Timeline {
	lines = slices.Clone(lines)
	alignClocks(lines)
	return &Timeline{lines: lines}
}

// ExplainRequest tells what became of a request.
func (h *Timeline) ExplainRequest(id string) (Explanation, error) {
	requestLines := h.filter(func(l Line) bool { return l.text(logger.FieldRequest) == id })
	if len(requestLines) == 0 {
		return Explanation{}, faulter.Newf("explain", KindUnknown, "no line tells of request %q", id)
	}
	request := newRequestInfo(requestLines)
	lines := h.filter(func(l Line) bool { return l.text(logger.FieldRequest) == id || request.isRelevant(l) })
	lines = append(h.priorState(request), lines...)
	slices.SortStableFunc(lines, compareTime)
	return Explanation{Subject: id, Lines: lines, Cause: request.describeEnd(requestLines, lines)}, nil
}

// ExplainGroup tells the life of a replica group.
func (h *Timeline) ExplainGroup(name string) (Explanation, error) {
	lines := h.filter(func(l Line) bool {
		return l.text(logger.FieldGroup) == name || l.text(logger.FieldUpstream) == name && l.Message == logger.LineAttemptFailed
	})
	if len(lines) == 0 {
		return Explanation{}, faulter.Newf("explain", KindUnknown, "no line tells of group %q", name)
	}
	return Explanation{Subject: name, Lines: lines, Cause: describeGroupEnd(lines)}, nil
}

func (h *Timeline) filter(want func(Line) bool) []Line {
	var found []Line
	for _, l := range h.lines {
		if want(l) {
			found = append(found, l)
		}
	}
	return found
}

// priorState returns what the request's entry instance last believed before it:
// the configuration, the store, and what stood before the request's model.
func (h *Timeline) priorState(s requestInfo) []Line {
	last := make(map[string]int)
	for i, l := range h.lines {
		if l.At > s.from {
			break
		}
		own := l.process() == s.process
		switch l.Message {
		case logger.LineConfigInForce:
			if own {
				last[l.Message] = i
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
		found = append(found, h.lines[i])
	}
	return found
}
