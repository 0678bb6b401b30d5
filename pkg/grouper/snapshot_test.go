package grouper

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// TestOddRowLeavesOtherGroups guards against a row of another writer that keeps entry instances
// from following the groups, or ends them.
func TestOddRowLeavesOtherGroups(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for name, row := range map[string]provider.Row{
		"nested deeply":              {Key: groupPrefix + "odd", Value: []byte(`{"id":` + deep + `}`)},
		"number too large":           {Key: groupPrefix + "odd", Value: []byte(`{"id":"odd","fence":1e400}`)},
		"not JSON":                   {Key: groupPrefix + "odd", Value: []byte("\xff\xfe")},
		"another ID":                 {Key: groupPrefix + "odd", Value: []byte(`{"id":"sound"}`)},
		"no members":                 {Key: groupPrefix + "odd", Value: []byte(`{"id":"odd","model":"m"}`)},
		"port out of range":          {Key: groupPrefix + "odd", Value: []byte(`{"id":"odd","members":[{"instance":"i2","address":"10.0.0.1:65536"}]}`)},
		"no ID":                      {Key: groupPrefix + "odd", Value: []byte(`{}`)},
		"assignment of another type": {Key: assignmentPrefix + "odd", Value: []byte(`{"group":7}`)},
		"assignment nested deeply":   {Key: assignmentPrefix + "odd", Value: []byte(deep)},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := Decode([]provider.Row{
				{Key: fenceKey, Value: []byte(`{"fence":3}`)},
				{Key: groupPrefix + "sound", Value: []byte(`{"id":"sound","model":"m","members":[{"instance":"i1","address":"10.0.0.1:80"}]}`)},
				{Key: assignmentPrefix + "i1", Value: []byte(`{"group":"sound"}`)},
				row,
			})
			assert.NilError(t, err)
			assert.Equal(t, s.Fence, uint64(3))
			assert.Equal(t, len(s.Groups), 1)
			assert.Equal(t, s.Groups["sound"].Model, "m")
			assert.Equal(t, s.GroupOf("i1"), "sound")
			assert.Equal(t, len(s.Invalid), 1)
		})
	}
}
