package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/waxwingmount/waxwingmount/pkg/decoder"
)

// TestSchemaErrors parses each testdata/*.ini and compares the error with the
// .golden file of the same name. Update the golden files with -update.
func TestSchemaErrors(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		name := filepath.Base(path)
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			_, err = Parse(decoder.Source{Name: name, Data: data})
			assert.Assert(t, err != nil, "the file is accepted")
			golden.Assert(t, err.Error()+"\n", strings.TrimSuffix(name, ".ini")+".golden")
		})
	}
}

// TestExamples checks that the example of each deployment is accepted, and that
// its overlay overrides the base file.
func TestExamples(t *testing.T) {
	for _, paths := range [][]string{
		{"../../examples/thistlegate/base.ini", "../../examples/thistlegate/scot-central.ini"},
		{"../../examples/coastline/base.ini", "../../examples/coastline/bc-west.ini"},
	} {
		var sources []decoder.Source
		for _, path := range paths {
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			sources = append(sources, decoder.Source{Name: path, Data: data})
		}
		config, err := Parse(sources...)
		assert.NilError(t, err)
		assert.Equal(t, len(config.Organisations), 10)
		for _, m := range config.Models {
			assert.Equal(t, m.Groups, 11, "the overlay doesn't override the base")
		}
	}
}

// TestVersionNeverDecreases applies versions that arrive out of order, as the
// table and peers may report them.
func TestVersionNeverDecreases(t *testing.T) {
	var tracker VersionTracker
	assert.Assert(t, !tracker.Ready())
	assert.Assert(t, tracker.Observe(Head{Version: 5}))
	assert.Assert(t, !tracker.Apply(Head{Version: 4}), "a first version older than a known one was applied")
	assert.Assert(t, tracker.Apply(Head{Version: 5}))
	assert.Assert(t, tracker.Ready() && !tracker.Behind())
	assert.Assert(t, !tracker.Apply(Head{Version: 3}))
	assert.Assert(t, !tracker.Apply(Head{Version: 5}))
	assert.Assert(t, tracker.Observe(Head{Version: 8}) && tracker.Behind() && tracker.Ready())
	assert.Assert(t, tracker.Apply(Head{Version: 7}) && tracker.Behind())
	assert.Equal(t, tracker.Applied().Version, uint64(7))
}
