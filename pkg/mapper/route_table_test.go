package mapper

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testTable() *RouteTable {
	return New(Config{
		Routes: []Route{
			{Name: "root", Host: "h", Prefix: "/", Targets: []Target{{Service: "s", Weight: 1}}},
			{Name: "a", Host: "h", Prefix: "/a/", Targets: []Target{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}, {Service: "u"}}},
			{Name: "ab", Host: "h", Prefix: "/a/b/"},
			{Name: "other", Host: "g", Prefix: "/a/"},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}},
	})
}

func TestRoute(t *testing.T) {
	for _, test := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "ab"},
		{"h", "/a/b", "a"},
		{"h", "/a/", "a"},
		{"h", "/a", "root"},
		{"h", "/x/a/b/", "root"},
		{"g", "/a/b/c", "other"},
		{"g", "/b/", ""},
		{"f", "/", ""},
		{"h", "", ""},
	} {
		route, found := testTable().Route(test.host, test.path)
		assert.Equal(t, route.Name, test.want, "%s%s", test.host, test.path)
		assert.Equal(t, found, test.want != "")
	}
}

func TestPickServiceByWeight(t *testing.T) {
	route, _ := testTable().Route("h", "/a/")
	random := rand.New(rand.NewPCG(1, 2))
	counts := make(map[string]int)
	for range 4000 {
		counts[route.PickService(random)]++
	}
	assert.Assert(t, counts["s"] > 2850 && counts["s"] < 3150, "%v", counts)
	assert.Equal(t, counts["u"], 0)
	assert.Assert(t, route.AllowsService("t") && !route.AllowsService("u"))
}

func TestOrganisation(t *testing.T) {
	o, found := testTable().Organisation("k2")
	assert.Assert(t, found)
	assert.Equal(t, o.Name, "o")
	_, found = testTable().Organisation("")
	assert.Assert(t, !found)
}

func TestCallerTimeout(t *testing.T) {
	for _, test := range []struct {
		route Route
		want  time.Duration
	}{
		{Route{Objective: 300 * time.Millisecond, GapObjective: 200 * time.Millisecond}, 2 * time.Second},
		{Route{Objective: 400 * time.Millisecond, GapObjective: 300 * time.Millisecond}, 2400 * time.Millisecond},
		{Route{Objective: time.Second}, 4 * time.Second},
	} {
		assert.Equal(t, test.route.CallerTimeout(), test.want)
	}
}
