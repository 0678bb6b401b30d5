package loader

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/decoder"
)

// TestExample checks that the example file is accepted, both as it is and with
// its commented-out optional keys enabled.
func TestExample(t *testing.T) {
	data, err := os.ReadFile("../../examples/entry.ini")
	assert.NilError(t, err)
	settings, err := Parse(decoder.Source{Name: "entry.ini", Data: data})
	assert.NilError(t, err)
	assert.Equal(t, settings.ID, "entry-1")
	assert.Assert(t, !settings.TLS.Enabled())

	_, rest, found := strings.Cut(string(data), "[entry]")
	assert.Assert(t, found)
	all := strings.ReplaceAll("[entry]"+rest, "\n; ", "\n")
	settings, err = Parse(decoder.Source{Name: "entry.ini", Data: []byte(all)})
	assert.NilError(t, err)
	assert.Assert(t, settings.TLS.Enabled() && settings.OperatorToken != "" && settings.PeerToken != "" && settings.TraceFile != "")
}

// TestMissingSection checks that the error names each missing section.
func TestMissingSection(t *testing.T) {
	_, err := Parse(decoder.Source{Name: "entry.ini", Data: []byte("[entry]\nid = e\ndata_centre = a\naddress = 10.0.0.1:1\n")})
	for _, section := range []string{"platform", "peers", "operator"} {
		assert.ErrorContains(t, err, "["+section+"]")
	}
}
