package integration

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/caller"
)

// longStreamTokens is the length of a stream that lasts long enough for a failure
// to be injected while it runs.
const longStreamTokens = 600

// TestStreamsSurviveEngineLoss kills or pauses the head of a group or another member
// while many streams run in the group. If the engines can resume streams, every
// caller gets its complete response; if not, no truncated response is reported as
// complete.
func TestStreamsSurviveEngineLoss(t *testing.T) {
	for name, test := range map[string]struct {
		args         []string
		member       int
		wantComplete bool
	}{
		"head lost and engines resume":            {[]string{"--token-interval", "3ms"}, 0, true},
		"member lost and engines resume":          {[]string{"--token-interval", "3ms"}, 2, true},
		"head lost and engines do not resume":     {[]string{"--token-interval", "3ms", "--cannot-resume"}, 0, false},
		"member paused and engines do not resume": {[]string{"--token-interval", "3ms", "--cannot-resume"}, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterSpec{
				entries:    3,
				domains:    map[string]int{"fabric-a": 4, "fabric-b": 4},
				engineArgs: test.args,
				config:     fmt.Sprintf(assistModel, 2) + "[admission]\nretry_ratio = 1\n",
			})
			groups := c.awaitOpen("entry-0", 2)
			c.awaitOpen("entry-1", 2)
			c.awaitOpen("entry-2", 2)
			const streams = 40
			l := &loadGenerator{cancel: func() {}}
			for i := range streams {
				client := c.client()
				l.done.Go(func() { l.send(client, fmt.Sprintf("long answer %d", i), longStreamTokens) })
			}
			c.await("streams run in the group", func() bool { return c.runCountOf(groups[0].ID) > streams/4 })
			victim := groups[0].Members[test.member].Instance
			if name == "member paused and engines do not resume" {
				c.signal(victim, syscall.SIGSTOP)
			} else {
				c.kill(victim)
			}
			results := l.stop()
			assert.Equal(t, len(results), streams)
			checkNoTruncation(t, results)
			if test.wantComplete {
				checkAllComplete(t, results)
			}
		})
	}
}

// runCountOf returns the number of requests that the engines of a group have begun
// to run.
func (c *cluster) runCountOf(group string) int {
	count := 0
	for _, r := range c.records() {
		if r.Group == group && r.Subject != "" {
			count++
		}
	}
	return count
}

// TestCallerRetriesThroughAnotherEntry kills an entry instance while many streams
// run. No truncated stream is reported as complete: its callers see the
// interruption and get the complete response through another entry instance.
func TestCallerRetriesThroughAnotherEntry(t *testing.T) {
	c := startCluster(t, clusterSpec{
		entries:    3,
		domains:    map[string]int{"fabric-a": 4},
		engineArgs: []string{"--token-interval", "3ms"},
		config:     fmt.Sprintf(assistModel, 1),
	})
	c.awaitOpen("entry-0", 1)
	c.awaitOpen("entry-1", 1)
	c.awaitOpen("entry-2", 1)
	const streams = 30
	var mu sync.Mutex
	interrupted := 0
	var results []requestResult
	var callers sync.WaitGroup
	for i := range streams {
		client := c.client()
		callers.Go(func() {
			prompt := fmt.Sprintf("long answer %d", i)
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			result, text, err := streamCompletion(ctx, client, prompt, longStreamTokens, nil)
			if err != nil || result.Outcome != caller.OutcomeComplete {
				mu.Lock()
				interrupted++
				mu.Unlock()
				result, text, err = streamCompletion(ctx, client, prompt, longStreamTokens, nil)
			}
			mu.Lock()
			defer mu.Unlock()
			s := requestResult{prompt: prompt, text: text, tokens: longStreamTokens, err: err}
			if result != nil {
				s.outcome = result.Outcome
			}
			results = append(results, s)
		})
	}
	c.await("all streams run", func() bool { return c.runCountOf("assist-1") >= streams })
	c.kill("entry-1")
	callers.Wait()
	assert.Assert(t, interrupted > 0, "no stream ran through the entry instance that was killed")
	checkAllComplete(t, results)
}

// TestRollingRestart restarts every entry instance in turn under load, with callers
// that cache the address list.
func TestRollingRestart(t *testing.T) {
	c := startCluster(t, clusterSpec{
		entries:    3,
		domains:    map[string]int{"fabric-a": 4},
		engineArgs: []string{"--token-interval", "2ms"},
		config:     fmt.Sprintf(assistModel, 1),
	})
	for entry := range c.callerAddresses {
		c.awaitOpen(entry, 1)
	}
	l := c.startLoad(12, 200)
	c.await("load", func() bool { return l.count() > 10 })
	for i := range 3 {
		entry := fmt.Sprintf("entry-%d", i)
		c.signal(entry, syscall.SIGTERM)
		c.awaitExit(entry)
		c.startEntry(entry)
		c.awaitOpen(entry, 1)
		before := l.count()
		c.await("load continues", func() bool { return l.count() > before+20 })
	}
	checkAllComplete(t, l.stop())
}

// TestLeavingBackendServerGetsNoNewRequests lets a member announce that it leaves,
// by itself while the instance list of the platform lags, or through the list.
func TestLeavingBackendServerGetsNoNewRequests(t *testing.T) {
	const leavingLimit = 2 * time.Second
	for name, leave := range map[string]func(c *cluster, instance string){
		"the engine reports it and the list lags": func(c *cluster, instance string) {
			_, err := postEmpty("http://" + c.engineAddresses[instance].String() + "/leave")
			assert.NilError(c.t, err)
		},
		"the list reports it": func(c *cluster, instance string) { c.putInstance(instance, true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lag := time.Duration(0)
			if name == "the engine reports it and the list lags" {
				lag = time.Second
			}
			c := startCluster(t, clusterSpec{
				entries: 3,
				listLag: lag,
				domains: map[string]int{"fabric-a": 4, "fabric-b": 4},
				config:  fmt.Sprintf(assistModel, 2),
			})
			groups := c.awaitOpen("entry-0", 2)
			l := c.startLoad(8, 20)
			c.await("load", func() bool { return l.count() > warmUpRequests })
			leave(c, groups[0].Members[1].Instance)
			left := time.Now()
			time.Sleep(observationTime)
			before := l.count()
			c.await("load continues", func() bool { return l.count() > before+warmUpRequests })
			checkAllComplete(t, l.stop())
			late := completionsAfter(c.records(), groups[0], left.Add(leavingLimit))
			assert.Equal(t, len(late), 0, "the last began %s after the member left", latestDelay(late, left))
		})
	}
}
