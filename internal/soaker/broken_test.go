package soaker

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

// noon is the moment around which the histories of this file play.
var noon = time.Unix(1_800_000_000, 0)

func began(path, instance string) emulator.ServerEvent {
	return emulator.ServerEvent{Kind: emulator.Began, Request: "r", Path: path, Instance: instance, Organisation: "o", Time: noon}
}

func request(path string) attempt {
	return attempt{
		Request: emulator.Request{ID: "r", Path: path, Key: "o-key", Timeout: time.Minute, Events: 2},
		began:   noon, ended: noon.Add(time.Second),
	}
}

func answered(path string, status int, body string, err error) attempt {
	a := request(path)
	a.answer = emulator.Response{Status: status, ID: a.ID, Verified: true, Body: body, Err: err}
	return a
}

func member(kind emulator.ServerEventKind, instance, group string, after time.Duration) emulator.ServerEvent {
	return emulator.ServerEvent{Kind: kind, Instance: instance, Group: group, Members: []string{"a", "b"}, Time: noon.Add(after)}
}

// TestCheckerFinds shows that each promise can be found broken.
func TestCheckerFinds(t *testing.T) {
	for _, test := range []struct {
		want   string
		events func(c *checker)
	}{
		{"twice", func(c *checker) { c.sawRun(began(pathOnce, "a")); c.sawRun(began(pathOnce, "b")) }},
		{"refused", func(c *checker) {
			c.sawAnswer(answered(pathOnce, http.StatusServiceUnavailable, "", nil))
			c.sawRun(began(pathOnce, "a"))
		}},
		{"mixed", func(c *checker) { c.sawAnswer(answered(pathRepeat, http.StatusOK, "POST /other/ ", nil)) }},
		{"order", func(c *checker) {
			c.sawAnswer(answered(pathStream, http.StatusOK, emulator.EventText(1)+emulator.EventText(1), http.ErrAbortHandler))
		}},
		{"key", func(c *checker) {
			c.revoked["o-key"] = noon.Add(-time.Minute)
			c.sawAnswer(request(pathRepeat))
			c.sawRun(began(pathRepeat, "a"))
		}},
		{"organisation", func(c *checker) {
			a := request(pathRepeat)
			a.Key = "other-key"
			c.sawAnswer(a)
			c.sawRun(began(pathRepeat, "a"))
		}},
		{"lost", func(c *checker) {
			c.sawAnswer(answered(pathRepeat, 0, "", http.ErrAbortHandler))
			c.sawRun(began(pathRepeat, "a"))
		}},
		{"config", func(c *checker) {
			c.routes = []routeChange{{at: noon.Add(-time.Minute), there: true}}
			c.sawAnswer(answered(pathExtra, http.StatusNotFound, "", nil))
		}},
		{"partial", func(c *checker) {
			c.sawRun(member(emulator.Ready, "a", "g", 0))
			r := member(emulator.Began, "a", "g", time.Second)
			r.Request = "r"
			c.sawRun(r)
		}},
		{"two", func(c *checker) {
			c.sawRun(member(emulator.Joined, "b", "g", 0))
			c.sawRun(member(emulator.Opened, "a", "g", time.Second))
			c.sawRun(member(emulator.Joined, "b", "h", 2*time.Second))
		}},
		{"budget", func(c *checker) {
			for range 3 {
				c.sawRun(began(pathRepeat, "a"))
			}
		}},
	} {
		c := newChecker(bounds{keyTTL: time.Second, apply: time.Second, retrySlack: 1, maxAttempts: 4})
		test.events(c)
		found := c.finish()
		assert.Equal(t, len(found), 1, "%s: %v", test.want, found)
		assert.Assert(t, strings.HasPrefix(found[0], test.want+":"), "%v", found)
	}
}
