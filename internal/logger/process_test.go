package logger

import (
	"bytes"
	stdjson "encoding/json"
	"io"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"gotest.tools/v3/assert"
)

// TestWrapHandler checks that a line has the entry instance, the run and the
// uptime, and that the fields passed by the caller are not changed.
func TestWrapHandler(t *testing.T) {
	var out bytes.Buffer
	process := NewProcess("e")
	fields := log.Fields{FieldRequest: "r"}
	line := log.Logger{Handler: process.WrapHandler(json.New(&out)), Level: log.InfoLevel}
	line.WithFields(fields).Info(LineSent)
	var read struct {
		Message string
		Fields  map[string]any
	}
	assert.NilError(t, stdjson.Unmarshal(out.Bytes(), &read))
	assert.Equal(t, read.Message, LineSent)
	assert.Equal(t, read.Fields[FieldEntry], "e")
	assert.Equal(t, read.Fields[FieldRun], RunID(process.Epoch))
	assert.Assert(t, read.Fields[FieldUptime].(float64) >= 0)
	assert.DeepEqual(t, fields, log.Fields{FieldRequest: "r"})
}

// BenchmarkLine measures the cost of logging one "request sent" line, up to its
// place in the queue of the writer.
func BenchmarkLine(b *testing.B) {
	line := log.Logger{Handler: NewProcess("e").WrapHandler(json.New(New(io.Discard))), Level: log.InfoLevel}
	for b.Loop() {
		line.WithFields(log.Fields{
			FieldRequest: "9c41d07be2a35f68", FieldUpstream: "daka510000~1048650", FieldInstance: "i-7f3a91c2", "try": 1,
			"delivered": 0, "running": 7, "predicted_ms": 52, "list_age_ms": 612, "config_version": 94,
		}).Info(LineSent)
	}
}
