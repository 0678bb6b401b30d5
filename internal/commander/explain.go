package commander

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/explainer"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

func init() {
	register(verb{name: "explain", help: "Tell from logs what became of a request or a replica group.", flags: explain})
}

// standardInput is the file name that stands for it.
const standardInput = "-"

func explain(sub *flaggy.Subcommand) func(*session) error {
	var subject string
	var group bool
	files := []string{}
	sub.AddPositionalValue(&subject, "id", 1, true, "The request's id, or with --group the group's name.")
	sub.Bool(&group, "g", "group", "Tell the life of a replica group.")
	sub.StringSlice(&files, "l", "logs", "A log of an entry instance; may be given again. Without it, the standard input.")
	return func(s *session) error {
		lines, err := readLogs(files)
		if err != nil {
			return err
		}
		history := explainer.New(lines)
		tell := history.ExplainRequest
		if group {
			tell = history.ExplainGroup
		}
		story, err := tell(subject)
		if err != nil {
			return faulter.New("explain", KindUsage, err)
		}
		if err := s.print(story, func() [][]string { return storyRows(story) }); err != nil || s.json {
			return err
		}
		_, err = fmt.Fprintf(s.out, "\n%s: %s\n", story.Subject, story.Cause)
		return err
	}
}

func readLogs(files []string) ([]explainer.Line, error) {
	if len(files) == 0 {
		files = []string{standardInput}
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
	if name != standardInput {
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
		return nil, usagef("read log", "%s holds no line of an entry instance, %d of something else", name, skipped)
	}
	return lines, nil
}

func storyRows(story explainer.Explanation) [][]string {
	rows := [][]string{{"AT", "ENTRY", "WHAT", "WITH"}}
	for _, l := range story.Lines {
		rows = append(rows, []string{fmt.Sprintf("%.3f", l.At.Seconds()), l.Entry, l.Message, fieldText(l.Fields, story.Subject)})
	}
	return rows
}

// fieldText writes fields in the order of their names, without the subject.
func fieldText(fields map[string]any, subject string) string {
	var words []string
	for name, value := range fields {
		if value == subject || name == "source" && strings.Contains(fmt.Sprint(value), ".go:") {
			continue
		}
		words = append(words, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}
