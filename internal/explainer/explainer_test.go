package explainer

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestExplanations explains logs of several instances whose times of day differ and
// compares the explanations with golden files. The first line of a log names the
// request or group to explain.
func TestExplanations(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(logs) > 0)
	for _, path := range logs {
		name := strings.TrimSuffix(filepath.Base(path), ".jsonl")
		t.Run(name, func(t *testing.T) {
			golden.Assert(t, explainLog(t, path), name+".golden")
		})
	}
}

func explainLog(t *testing.T, path string) string {
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer file.Close()
	reader := bufio.NewReader(file)
	first, err := reader.ReadString('\n')
	assert.NilError(t, err)
	lines, skipped, err := Read(reader)
	assert.NilError(t, err)
	assert.Equal(t, skipped, 0)
	kind, subject, _ := strings.Cut(strings.TrimSpace(strings.TrimPrefix(first, "#")), " ")
	timeline := New(lines)
	explanation, err := timeline.ExplainRequest(subject)
	switch kind {
	case "group":
		explanation, err = timeline.ExplainGroup(subject)
	case "config":
		version, parseErr := strconv.ParseUint(subject, 10, 64)
		assert.NilError(t, parseErr)
		explanation, err = timeline.ExplainConfig(version)
	}
	if err != nil {
		return err.Error() + "\n"
	}
	var text strings.Builder
	for _, l := range explanation.Lines {
		text.WriteString(l.At.Round(time.Millisecond).String() + " " + l.Entry + " " + l.Message + "\n")
	}
	return text.String() + explanation.Cause + "\n"
}

// TestReadSkips checks that lines that no entry instance wrote are skipped and
// counted.
func TestReadSkips(t *testing.T) {
	text := "collector: started\n" +
		`12.5 host-1 {"message":"request ended","fields":{"entry":"e","run":"1","at_ms":5}}` + "\n" +
		"{\"message\":\n{}\n"
	lines, skipped, err := Read(strings.NewReader(text))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 3)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].Uptime, 5*time.Millisecond)
}

// TestUnconnectedByTimeOfDay checks that processes without a call between them are
// ordered by their time of day.
func TestUnconnectedByTimeOfDay(t *testing.T) {
	noon := time.Unix(1_800_000_000, 0)
	late := Line{Entry: "a", Run: "1", Uptime: time.Second, Wall: noon.Add(time.Minute), Message: "late"}
	early := Line{Entry: "b", Run: "1", Uptime: time.Hour, Wall: noon, Message: "early"}
	history := New([]Line{late, early})
	assert.Equal(t, history.lines[0].Message, "early")
	assert.Equal(t, history.lines[1].At, time.Minute)
}
