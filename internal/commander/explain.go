package commander

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/explainer"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

func init() {
	register(command{name: "explain", help: "Reconstruct from logs what happened to a request, a replica group or a version of the configuration.", setup: explain})
}

// stdinName is the file name that means the standard input.
const stdinName = "-"

func explain(sub *flaggy.Subcommand) func(*session) error {
	var subject string
	var group, config bool
	files := []string{}
	sub.AddPositionalValue(&subject, "id", 1, true, "The id of the request or, with --group, the name of the group, or, with --config, the version of the configuration.")
	sub.Bool(&group, "g", "group", "Explain a replica group instead of a request.")
	sub.Bool(&config, "c", "config", "Explain a version of the configuration: who had it when, and which requests were handled by an older one.")
	sub.StringSlice(&files, "l", "logs", "A log file of an entry instance; may be repeated. By default the standard input is read.")
	return func(s *session) error {
		lines, err := readLogs(files)
		if err != nil {
			return err
		}
		timeline := explainer.New(lines)
		explainSubject := timeline.ExplainRequest
		switch {
		case group && config:
			return usagef("explain", "--group and --config exclude each other")
		case group:
			explainSubject = timeline.ExplainGroup
		case config:
			explainSubject = func(text string) (explainer.Explanation, error) {
				version, err := strconv.ParseUint(text, 10, 64)
				if err != nil {
					return explainer.Explanation{}, usagef("explain", "%q is not a version of the configuration, which is a whole number", text)
				}
				return timeline.ExplainConfig(version)
			}
		}
		explanation, err := explainSubject(subject)
		if err != nil {
			return faulter.New("explain", KindUsage, err)
		}
		if err := s.print(explanation, func() [][]string { return explanationRows(explanation) }); err != nil || s.jsonOutput {
			return err
		}
		_, err = fmt.Fprintf(s.out, "\n%s: %s\n", explanation.Subject, explanation.Cause)
		return err
	}
}

func readLogs(files []string) ([]explainer.Line, error) {
	if len(files) == 0 {
		files = []string{stdinName}
	}
	var all []explainer.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]explainer.Line, error) {
	var source io.Reader = os.Stdin
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return nil, faulter.New("read log", KindUsage, err)
		}
		defer file.Close()
		source = file
	}
	lines, skipped, err := explainer.Read(source)
	if err != nil {
		return nil, faulter.New("read log", KindUsage, err)
	}
	if len(lines) == 0 {
		return nil, usagef("read log", "%s has no log line of an entry instance, and %d other lines", name, skipped)
	}
	return lines, nil
}

func explanationRows(explanation explainer.Explanation) [][]string {
	rows := [][]string{{"AT", "ENTRY", "WHAT", "WITH"}}
	for _, l := range explanation.Lines {
		rows = append(rows, []string{fmt.Sprintf("%.3f", l.At.Seconds()), l.Entry, l.Message, formatFields(l.Fields, explanation.Subject)})
	}
	return rows
}

// formatFields formats fields as name=value pairs sorted by name. It omits fields
// that repeat the subject and source locations in Go files.
func formatFields(fields map[string]any, subject string) string {
	var pairs []string
	for name, value := range fields {
		if value == subject || name == "source" && strings.Contains(fmt.Sprint(value), ".go:") {
			continue
		}
		pairs = append(pairs, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}
