package explainer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/logger"
)

// requestInfo is what the log lines of a request say about it.
type requestInfo struct {
	process  process
	from, to time.Duration
	model    string
	// upstreams and instances are the distinct destinations of its attempts.
	upstreams []string
	instances []string
	// peers are the entry instances to which the request was handed.
	peers []string
}

func newRequestInfo(lines []Line) requestInfo {
	info := requestInfo{process: callerProcess(lines), from: lines[0].At, to: lines[len(lines)-1].At}
	for _, l := range lines {
		if peer := l.text(logger.FieldPeer); l.Message == logger.LineHopBegun && !slices.Contains(info.peers, peer) {
			info.peers = append(info.peers, peer)
		}
		if model := l.text(logger.FieldModel); model != "" {
			info.model = model
		}
		if upstream := l.text(logger.FieldUpstream); upstream != "" && !slices.Contains(info.upstreams, upstream) {
			info.upstreams = append(info.upstreams, upstream)
			// The name of a group begins with its model and a tilde.
			if model, _, group := strings.Cut(upstream, "~"); group {
				info.model = model
			}
		}
		if in := l.text(logger.FieldInstance); in != "" && !slices.Contains(info.instances, in) {
			info.instances = append(info.instances, in)
		}
	}
	return info
}

// callerProcess returns the process that took the request from its caller. Others took it
// from a peer.
func callerProcess(lines []Line) process {
	takers := make(map[process]bool)
	for _, l := range lines {
		if l.Message == logger.LineHopTaken {
			takers[l.process()] = true
		}
	}
	for _, l := range lines {
		if !takers[l.process()] {
			return l.process()
		}
	}
	return lines[0].process()
}

// isRelevant reports whether a line that does not name the request helps to explain
// it.
func (r requestInfo) isRelevant(l Line) bool {
	if l.At < r.from-marginBefore || l.At > r.to+marginAfter || l.text(logger.FieldRequest) != "" {
		return false
	}
	switch l.Message {
	case logger.LineInstanceLost:
		if l.text("source") == "peer" && l.process() != r.process {
			return false
		}
		return slices.Contains(r.instances, l.text(logger.FieldInstance)) || slices.Contains(r.upstreams, l.text(logger.FieldGroup))
	case logger.LineInstanceRecovered, logger.LineOrderSent, logger.LineOrderFailed:
		return slices.Contains(r.instances, l.text(logger.FieldInstance)) || slices.Contains(r.upstreams, l.text(logger.FieldGroup))
	case logger.LineGroups:
		return r.model != "" && l.text(logger.FieldModel) == r.model && l.At >= r.from && l.At <= r.to
	case logger.LinePathCut, logger.LinePathRestored:
		return l.process() == r.process
	case logger.LineConfigInForce, logger.LineEvacuated, logger.LineEvacuationEnded, logger.LineStoreRegained, logger.LineStoreLost, logger.LineEntryStopping, logger.LineEntryStopped, logger.LineDropped, logger.LineReloaded:
		return l.process() == r.process && l.At >= r.from
	}
	return false
}

// describeEnd describes how the request ended and why. It takes the lines of the
// request and all lines of its explanation.
func (r requestInfo) describeEnd(requestLines, lines []Line) string {
	lastLine := requestLines[len(requestLines)-1]
	for _, l := range requestLines {
		if l.Message == logger.LineEnded || l.Message == logger.LineRefused {
			lastLine = l
		}
	}
	where := fmt.Sprintf("at %s", r.process.entry)
	if len(r.peers) > 0 {
		where += fmt.Sprintf(" by way of %s", strings.Join(r.peers, ", "))
	}
	switch lastLine.Message {
	case logger.LineRefused:
		return r.describeRefusal(where, lastLine, requestLines, lines)
	case logger.LineEnded:
		complete, _ := lastLine.Fields[logger.FieldComplete].(bool)
		status := int(lastLine.number("status"))
		switch {
		case !complete && r.lastAttemptError(requestLines) != "":
			return fmt.Sprintf("its stream was broken off %s after %d events: %s", where, int(lastLine.number("events")), r.describeFailure(requestLines, lines))
		case !complete:
			return fmt.Sprintf("its caller disconnected %s after %d events", where, int(lastLine.number("events")))
		case len(r.upstreams) > 1:
			return fmt.Sprintf("answered %d %s after %d tries: %s", status, where, len(r.upstreams), r.describeFailure(requestLines, lines))
		}
		return fmt.Sprintf("answered %d %s in %d ms, %d ms of them in the queue", status, where, int(lastLine.number("took_ms")), int(lastLine.number("queued_ms")))
	}
	return fmt.Sprintf("still in flight %s when the logs end, or its last lines were dropped", where)
}

func (r requestInfo) describeRefusal(where string, lastLine Line, requestLines, lines []Line) string {
	kind, outcome := lastLine.text(logger.FieldKind), lastLine.text(logger.FieldOutcome)
	text := fmt.Sprintf("refused %d %s (%s, %s)", int(lastLine.number("status")), where, kind, strings.ReplaceAll(outcome, "_", " "))
	reason := refusalReasons[kind]
	switch {
	case r.lastAttemptError(requestLines) != "":
		reason = r.describeFailure(requestLines, lines)
	case kind == kindDeadlineExceeded && len(r.upstreams) > 0:
		reason = fmt.Sprintf("it was sent to %s, from where no answer came within its time", r.upstreams[len(r.upstreams)-1])
	}
	if reason != "" {
		text += ": " + reason
	}
	if age := lastLine.text("config_age"); age != "" {
		text += fmt.Sprintf("; its configuration was %s old", age)
	}
	if groups, found := lastLineWithMessage(lines, logger.LineGroups, lastLine.At); found && r.model != "" {
		text += fmt.Sprintf("; %d groups of %s were open then, %d forming, %d instances ready and %d loading",
			int(groups.number("open")), r.model, int(groups.number("forming")), int(groups.number("ready")), int(groups.number("loading")))
	}
	return text
}

// Kinds of refusals as the forwarder logs them.
const (
	kindOverloaded       = "overloaded"
	kindNoServer         = "no_server"
	kindDeadlineExceeded = "expired"
)

// refusalReasons holds a description of each kind of refusal.
var refusalReasons = map[string]string{
	"unready":            "the entry instance had no configuration yet",
	"no_route":           "no route of its configuration matches",
	"no_key":             "the key is missing or unknown in its configuration",
	"stale_keys":         "the configuration was too old for its keys to be trusted",
	"too_large":          "the body is longer than the limit",
	"malformed":          "the request could not be read",
	kindOverloaded:       "too many requests waited to be started in time",
	kindNoServer:         "no server could be sent the request",
	"leaving":            "the entry instance was about to stop",
	"quarantined":        "the request, or a part of its prompt, is known to crash servers",
	kindDeadlineExceeded: "its deadline had passed",
}

// lastAttemptError returns the error of the last failed attempt, or the empty
// string.
func (r requestInfo) lastAttemptError(requestLines []Line) string {
	last, found := lastLineWithMessage(requestLines, logger.LineAttemptFailed, requestLines[len(requestLines)-1].At)
	if !found {
		return ""
	}
	return last.text(logger.FieldError)
}

// describeFailure describes the last failed attempt and, if there is one, the loss
// of an instance that explains it.
func (r requestInfo) describeFailure(requestLines, lines []Line) string {
	last, found := lastLineWithMessage(requestLines, logger.LineAttemptFailed, requestLines[len(requestLines)-1].At)
	if !found {
		return "no try broke"
	}
	text := fmt.Sprintf("the try at %s broke (%s)", last.text(logger.FieldUpstream), last.text(logger.FieldError))
	for _, l := range lines {
		onFailedUpstream := l.text(logger.FieldGroup) == last.text(logger.FieldUpstream) || l.text(logger.FieldInstance) == last.text(logger.FieldInstance)
		if l.Message == logger.LineInstanceLost && onFailedUpstream {
			return text + fmt.Sprintf("; %s was held for lost by %s", l.text(logger.FieldInstance), l.Entry)
		}
	}
	return text
}

// lastLineWithMessage returns the last line with that message at or before a time.
func lastLineWithMessage(lines []Line, message string, until time.Duration) (Line, bool) {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Message == message && lines[i].At <= until {
			return lines[i], true
		}
	}
	return Line{}, false
}

// describeGroupEnd describes how a group ended, or that it still exists.
func describeGroupEnd(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		l := lines[i]
		switch {
		case l.Message == logger.LineInstanceLost:
			return fmt.Sprintf("ended by the loss of %s, seen by %s", l.text(logger.FieldInstance), l.Entry)
		case l.Message == logger.LineOrderSent && (l.text("order") == "close" || l.text("order") == "leave"):
			return fmt.Sprintf("closed by the control loop at %s in term %d", l.Entry, int(l.number("term")))
		}
	}
	return "according to the logs, it still exists"
}
