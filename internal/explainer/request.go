package explainer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/logger"
)

// requestInfo is a request as its own lines tell of it.
type requestInfo struct {
	process  process
	from, to time.Duration
	model    string
	// upstreams and instances are where it was sent.
	upstreams     []string
	instances []string
}

func newRequestInfo(lines []Line) requestInfo {
	s := requestInfo{process: lines[0].process(), from: lines[0].At, to: lines[len(lines)-1].At}
	for _, l := range lines {
		if model := l.text(logger.FieldModel); model != "" {
			s.model = model
		}
		if upstream := l.text(logger.FieldUpstream); upstream != "" && !slices.Contains(s.upstreams, upstream) {
			s.upstreams = append(s.upstreams, upstream)
			// A group is named after its model.
			if model, _, group := strings.Cut(upstream, "~"); group {
				s.model = model
			}
		}
		if in := l.text(logger.FieldInstance); in != "" && !slices.Contains(s.instances, in) {
			s.instances = append(s.instances, in)
		}
	}
	return s
}

// isRelevant reports whether a line that does not name the request isRelevant on it.
func (s requestInfo) isRelevant(l Line) bool {
	if l.At < s.from-marginBefore || l.At > s.to+marginAfter || l.text(logger.FieldRequest) != "" {
		return false
	}
	switch l.Message {
	case logger.LineInstanceLost:
		if l.text("source") == "peer" && l.process() != s.process {
			return false
		}
		return slices.Contains(s.instances, l.text(logger.FieldInstance)) || slices.Contains(s.upstreams, l.text(logger.FieldGroup))
	case logger.LineInstanceRecovered, logger.LineOrderSent, logger.LineOrderFailed:
		return slices.Contains(s.instances, l.text(logger.FieldInstance)) || slices.Contains(s.upstreams, l.text(logger.FieldGroup))
	case logger.LineGroups:
		return s.model != "" && l.text(logger.FieldModel) == s.model && l.At >= s.from && l.At <= s.to
	case logger.LineConfigInForce, logger.LineStoreRegained, logger.LineStoreLost, logger.LineEntryStopping, logger.LineEntryStopped, logger.LineDropped, logger.LineReloaded:
		return l.process() == s.process && l.At >= s.from
	}
	return false
}

// describeEnd says how the request ended and why.
func (s requestInfo) describeEnd(own, all []Line) string {
	end := own[len(own)-1]
	for _, l := range own {
		if l.Message == logger.LineEnded || l.Message == logger.LineRefused {
			end = l
		}
	}
	where := fmt.Sprintf("at %s", s.process.entry)
	switch end.Message {
	case logger.LineRefused:
		return s.describeRefusal(where, end, own, all)
	case logger.LineEnded:
		complete, _ := end.Fields[logger.FieldComplete].(bool)
		status := int(end.number("status"))
		switch {
		case !complete && s.lastAttemptError(own) != "":
			return fmt.Sprintf("its stream was broken off %s after %d events: %s", where, int(end.number("events")), s.describeFailure(own, all))
		case !complete:
			return fmt.Sprintf("its caller left %s after %d events", where, int(end.number("events")))
		case len(s.upstreams) > 1:
			return fmt.Sprintf("answered %d %s after %d tries: %s", status, where, len(s.upstreams), s.describeFailure(own, all))
		}
		return fmt.Sprintf("answered %d %s in %d ms, %d ms of them in the queue", status, where, int(end.number("took_ms")), int(end.number("queued_ms")))
	}
	return fmt.Sprintf("still under way %s when the logs end, or its last lines were dropped", where)
}

func (s requestInfo) describeRefusal(where string, end Line, own, all []Line) string {
	kind, outcome := end.text(logger.FieldKind), end.text(logger.FieldOutcome)
	text := fmt.Sprintf("refused %d %s (%s, %s)", int(end.number("status")), where, kind, strings.ReplaceAll(outcome, "_", " "))
	reason := refusalReasons[kind]
	switch {
	case s.lastAttemptError(own) != "":
		reason = s.describeFailure(own, all)
	case kind == kindDeadlineExceeded && len(s.upstreams) > 0:
		reason = fmt.Sprintf("it was sent to %s, from where no answer came within its time", s.upstreams[len(s.upstreams)-1])
	}
	if reason != "" {
		text += ": " + reason
	}
	if age := end.text("config_age"); age != "" {
		text += fmt.Sprintf("; its configuration was %s old", age)
	}
	if groups, found := lastMessage(all, logger.LineGroups, end.At); found && s.model != "" {
		text += fmt.Sprintf("; %d groups of %s were open then, %d forming, %d instances ready and %d loading",
			int(groups.number("open")), s.model, int(groups.number("forming")), int(groups.number("ready")), int(groups.number("loading")))
	}
	return text
}

const kindDeadlineExceeded = "expired"

// refusalReasons say what a kind of refusal rests on.
var refusalReasons = map[string]string{
	"unready":     "the entry instance had no configuration yet",
	"no_route":    "no route of its configuration matches",
	"no_key":      "the key is missing or unknown in its configuration",
	"stale_keys":  "the configuration was too old for keys to count",
	"too_large":   "the body is longer than the limit",
	"malformed":   "the request could not be read",
	"overloaded":  "too many requests waited to be started in time",
	"no_server":   "no server could be sent the request",
	"leaving":     "the entry instance was about to stop",
	"quarantined": "the request is known to crash servers",
	kindDeadlineExceeded:   "its time was over",
}

// lastAttemptError returns the error of the last try that lastAttemptError.
func (s requestInfo) lastAttemptError(own []Line) string {
	last, found := lastMessage(own, logger.LineAttemptFailed, own[len(own)-1].At)
	if !found {
		return ""
	}
	return last.text(logger.FieldError)
}

// describeFailure says what became of the try that broke last.
func (s requestInfo) describeFailure(own, all []Line) string {
	last, found := lastMessage(own, logger.LineAttemptFailed, own[len(own)-1].At)
	if !found {
		return "no try broke"
	}
	text := fmt.Sprintf("the try at %s broke (%s)", last.text(logger.FieldUpstream), last.text(logger.FieldError))
	for _, l := range all {
		onLane := l.text(logger.FieldGroup) == last.text(logger.FieldUpstream) || l.text(logger.FieldInstance) == last.text(logger.FieldInstance)
		if l.Message == logger.LineInstanceLost && onLane {
			return text + fmt.Sprintf("; %s was held for lost by %s", l.text(logger.FieldInstance), l.Entry)
		}
	}
	return text
}

// lastMessage returns the last line of that message up to a time.
func lastMessage(lines []Line, message string, until time.Duration) (Line, bool) {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Message == message && lines[i].At <= until {
			return lines[i], true
		}
	}
	return Line{}, false
}

// describeGroupEnd says how the life of a group ended.
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
	return "as far as the logs tell, it stands"
}
