package assigner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRankSpread guards against all witnesses of a server being in one place, and against
// rounds that ask the same ones again before the others.
func TestRankSpread(t *testing.T) {
	placeOf := make(map[string]string)
	for i := range 9 {
		placeOf[fmt.Sprint("entry-", i)] = string(rune('a' + i%3))
	}
	for k := range 100 {
		ranked := RankSpread(fmt.Sprint("server-", k), placeOf, "b")
		assert.Equal(t, placeOf[ranked[0]], "b")
		var asked []string
		for round := range 3 {
			witnesses := Round(ranked, 3, round)
			places := make(map[string]bool)
			for _, w := range witnesses {
				places[placeOf[w]] = true
			}
			assert.Equal(t, len(places), 3, "%v", witnesses)
			asked = append(asked, witnesses...)
		}
		slices.Sort(asked)
		assert.Equal(t, len(slices.Compact(asked)), 9)
		assert.DeepEqual(t, Round(ranked, 3, 3), Round(ranked, 3, 0))
	}
	assert.DeepEqual(t, Round([]string{"x", "y"}, 3, 1), []string{"x", "y"})
}
