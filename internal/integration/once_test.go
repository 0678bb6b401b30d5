package integration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/engineemulator"
	"github.com/waxwingmount/waxwingmount/pkg/caller"
)

// runsBySubject counts the runs that engines and services began, by the
// beginning of the prompt or body.
func runsBySubject(runs []engineemulator.ServerEvent) map[string]int {
	counts := make(map[string]int)
	for _, r := range runs {
		if r.Kind != engineemulator.EventOrder {
			counts[r.Subject]++
		}
	}
	return counts
}

// checkAtMostOnce demands that no subject ran more than once, and that what
// was told as complete ran.
func checkAtMostOnce(t *testing.T, c *cluster, told map[string]string) {
	t.Helper()
	counts := runsBySubject(c.records())
	for subject, outcome := range told {
		assert.Assert(t, counts[subject] <= 1, "%q ran %d times", subject, counts[subject])
		if outcome == caller.OutcomeComplete {
			assert.Equal(t, counts[subject], 1, "%q was told as complete", subject)
		}
	}
}

// TestAtMostOnce sends calls of a plain service with idempotency keys through
// every entry instance at once and again later, under failures. No key may
// ever run twice, and a key told as complete has run.
func TestAtMostOnce(t *testing.T) {
	for name, fail := range onceFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, plan{entries: 3, services: 2})
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			w := &repeaters{told: make(map[string]string), stop: make(chan struct{})}
			for worker := range 8 {
				w.done.Go(func() { w.repeat(ctx, c, worker) })
			}
			time.Sleep(time.Second)
			fail(c)
			time.Sleep(time.Second)
			close(w.stop)
			w.done.Wait()
			for worker := range 8 {
				c.sendEverywhere(ctx, reminder(0, worker))
			}
			complete := 0
			for _, outcome := range w.told {
				if outcome == caller.OutcomeComplete {
					complete++
				}
			}
			t.Logf("%d keys, %d complete", len(w.told), complete)
			assert.Assert(t, complete > 0)
			checkAtMostOnce(t, c, w.told)
		})
	}
}

// repeaters are callers that send each call through every entry instance.
type repeaters struct {
	stop chan struct{}
	done sync.WaitGroup

	mu   sync.Mutex
	told map[string]string
}

func reminder(number, worker int) string {
	return fmt.Sprintf("reminder %d of worker %d", number, worker)
}

func (w *repeaters) repeat(ctx context.Context, c *cluster, worker int) {
	for i := 0; ; i++ {
		select {
		case <-w.stop:
			return
		default:
		}
		subject := reminder(i, worker)
		outcome := c.sendEverywhere(ctx, subject)
		w.mu.Lock()
		w.told[subject] = outcome
		w.mu.Unlock()
	}
}

// onceFailures are what happens while calls are repeated.
var onceFailures = map[string]func(c *cluster){
	"nothing fails": func(*cluster) {},
	"an entry instance is killed": func(c *cluster) {
		c.kill("entry-1")
	},
	"an entry instance is frozen and wakes": func(c *cluster) {
		c.signal("entry-1", syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		c.signal("entry-1", syscall.SIGCONT)
	},
	"the table is down for a while": func(c *cluster) {
		c.cutPlatform(true)
		time.Sleep(3 * time.Second)
		c.cutPlatform(false)
	},
	"replies of the table are lost": func(c *cluster) {
		for range 5 {
			for _, link := range c.links {
				c.addToxic(link, `{"name":"lost","type":"reset_peer","stream":"downstream","attributes":{"timeout":0}}`)
			}
			time.Sleep(200 * time.Millisecond)
			for _, link := range c.links {
				c.clearToxics(link)
			}
			time.Sleep(200 * time.Millisecond)
		}
	},
	"a service is killed": func(c *cluster) { c.kill("service-0") },
}

// sendEverywhere sends the same call with the same key through every entry
// instance at once. It returns complete when any of them said so.
func (c *cluster) sendEverywhere(ctx context.Context, subject string) string {
	var mu sync.Mutex
	outcome := ""
	var sending sync.WaitGroup
	for entry := range c.callers {
		sending.Go(func() {
			told := c.sendOnce(ctx, entry, subject)
			mu.Lock()
			defer mu.Unlock()
			if outcome != caller.OutcomeComplete {
				outcome = told
			}
		})
	}
	sending.Wait()
	return outcome
}

func (c *cluster) sendOnce(ctx context.Context, entry, subject string) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	result, err := c.clientOf(entry).Do(ctx, caller.Request{
		Path:           "/portal/reminders",
		Body:           []byte(subject),
		IdempotencyKey: subject,
	})
	if err != nil && result == nil {
		return ""
	}
	return result.Outcome
}

// clientOf returns the caller of one entry instance, made once: each has its own
// connections.
func (c *cluster) clientOf(entry string) *caller.Client {
	client, _ := c.clients.LoadOrStore(entry, caller.New(c.only(entry), caller.WithKey(organisationKey)))
	return client.(*caller.Client)
}

// TestRepeatedKey sends the same key again after its run: the recorded answer
// comes back, and another request under that key is refused.
func TestRepeatedKey(t *testing.T) {
	c := start(t, plan{entries: 3, services: 1, domains: map[string]int{"fabric-a": 4}, config: fmt.Sprintf(assistModel, 1)})
	c.awaitOpen("entry-0", 1)
	c.awaitOpen("entry-1", 1)
	key := map[string]string{"Idempotency-Key": "review-17"}
	_, _, first, err := c.post("entry-0", "/portal/reviews", "file review 17", key)
	assert.NilError(t, err)
	c.await("the recorded answer through another entry", func() bool {
		status, header, second, err := c.post("entry-1", "/portal/reviews", "file review 17", key)
		return err == nil && status == 200 && second == first && header.Get("Waxwing-Outcome") == "complete"
	})
	status, header, _, err := c.post("entry-2", "/portal/reviews", "file review 18", key)
	assert.NilError(t, err)
	assert.Equal(t, status, 422)
	assert.Equal(t, header.Get("Waxwing-Outcome"), "not_run")

	prompt := `{"model":"assist","stream":true,"max_tokens":9,"prompt":"summarise review 17"}`
	key["Idempotency-Key"] = "summary-17"
	_, _, first, err = c.post("entry-0", "/v1/completions", prompt, key)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(first, "data: [DONE]\n\n"), first)
	c.await("the recorded stream through another entry", func() bool {
		_, _, second, err := c.post("entry-1", "/v1/completions", prompt, key)
		return err == nil && second == first
	})
	counts := runsBySubject(c.records())
	assert.Equal(t, counts["file review 17"], 1)
	assert.Equal(t, counts["file review 18"], 0)
	assert.Equal(t, counts["summarise review 17"], 1)
}

// TestRefusalsAreTrue refuses requests in many ways while groups come and go,
// and compares every "not run" with the record of what ran.
func TestRefusalsAreTrue(t *testing.T) {
	c := start(t, plan{
		entries:    3,
		domains:    map[string]int{"fabric-a": 5},
		engineArgs: []string{"--token-interval", "5ms", "--load-time", "300ms"},
		config: fmt.Sprintf(assistModel, 1) + `
[admission]
max_in_flight = 4
queue_length = 4
retry_ratio = 0
`,
	})
	group := c.awaitOpen("entry-0", 1)[0]
	w := &repeaters{told: make(map[string]string), stop: make(chan struct{})}
	for worker := range 40 {
		w.done.Go(func() { w.question(c, worker) })
	}
	time.Sleep(time.Second)
	c.kill(group.Members[2].Instance)
	time.Sleep(2 * time.Second)
	c.startEngine(group.Members[2].Instance, group.FabricDomain)
	time.Sleep(time.Second)
	close(w.stop)
	w.done.Wait()
	counts := runsBySubject(c.records())
	outcomes := make(map[string]int)
	for subject, outcome := range w.told {
		outcomes[outcome]++
		if outcome == caller.OutcomeNotRun {
			assert.Equal(t, counts[subject], 0, "%q was told as not run", subject)
		}
		if outcome == caller.OutcomeComplete {
			assert.Assert(t, counts[subject] >= 1, "%q was told as complete", subject)
		}
	}
	t.Logf("outcomes: %v", outcomes)
	assert.Assert(t, outcomes[caller.OutcomeNotRun] > 0, "nothing was refused")
	assert.Assert(t, outcomes[caller.OutcomeComplete] > 0, "nothing was complete")
}

// question sends completions to one entry instance, each once.
func (w *repeaters) question(c *cluster, worker int) {
	for i := 0; ; i++ {
		select {
		case <-w.stop:
			return
		default:
		}
		subject := fmt.Sprintf("question %d of worker %d", i, worker)
		body := fmt.Sprintf(`{"model":"assist","max_tokens":20,"prompt":%q}`, subject)
		headers := map[string]string{"Waxwing-Timeout": "2s"}
		status, header, _, err := c.post(fmt.Sprintf("entry-%d", worker%3), "/v1/completions", body, headers)
		outcome := ""
		if err == nil {
			outcome = header.Get("Waxwing-Outcome")
		}
		if status >= 500 && outcome == caller.OutcomeNotRun {
			assert.Check(c.t, header.Get("Retry-After") != "", "no time to come back: status %d", status)
		}
		w.mu.Lock()
		w.told[subject] = outcome
		w.mu.Unlock()
	}
}

// TestCrashingRequest sends a request that crashes each engine that runs it,
// again and again through every entry instance.
func TestCrashingRequest(t *testing.T) {
	const mostCrashes = 2
	c := start(t, plan{
		entries: 3,
		domains: map[string]int{"fabric-a": 4, "fabric-b": 4, "fabric-c": 4, "fabric-d": 4},
		config:  fmt.Sprintf(assistModel, 4),
	})
	for entry := range c.callers {
		c.awaitOpen(entry, 4)
	}
	body := fmt.Sprintf(`{"model":"assist","max_tokens":5,"prompt":"please %s now"}`, engineemulator.CrashMarker)
	var last string
	for i := range 12 {
		began := time.Now()
		status, header, _, err := c.post(fmt.Sprintf("entry-%d", i%3), "/v1/completions", body, nil)
		assert.NilError(t, err)
		last = header.Get("Waxwing-Outcome")
		if i == 0 {
			assert.Equal(t, last, caller.OutcomeMayHaveRun)
		} else {
			assert.Equal(t, status, 422)
			assert.Equal(t, last, caller.OutcomeNotRun)
			assert.Equal(t, header.Get("Retry-After"), "")
			assert.Assert(t, time.Since(began) < time.Second, "the refusal did not come at once")
		}
	}
	crashes := 0
	for subject, count := range runsBySubject(c.records()) {
		if strings.Contains(subject, engineemulator.CrashMarker) {
			crashes += count
		}
	}
	assert.Assert(t, crashes >= 1 && crashes <= mostCrashes, "%d engines were crashed", crashes)
}
