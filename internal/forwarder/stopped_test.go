package forwarder

import (
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/permitter"
)

// stopProcess stops this process for a time, as SIGSTOP does to an entry instance. The
// servers and the platform of the fixture stop too; what changes meanwhile has to be changed
// before.
func stopProcess(t *testing.T, d time.Duration) {
	t.Helper()
	pid := strconv.Itoa(os.Getpid())
	script := "kill -STOP " + pid + "; sleep " + strconv.FormatFloat(d.Seconds(), 'f', 3, 64) + "; kill -CONT " + pid
	assert.NilError(t, exec.Command("sh", "-c", script).Run())
}

const (
	// testStop is shorter than the timeout of the routes.
	testStop = 1200 * time.Millisecond
	// readingDelay is the time that a reading of the platform's state takes.
	readingDelay = 400 * time.Millisecond
)

// patientConfig is the test configuration with routes whose requests may wait for longer than
// the process is stopped, also on a busy machine.
func patientConfig(version uint64) mapper.Config {
	config := testConfig(version)
	for i := range config.Routes {
		config.Routes[i].Timeout = 10 * testRouteTimeout
	}
	return config
}

// TestStoppedBeforeSend guards against a process that was stopped between the choice of a
// server and the sending acting on what held before: a server that leaves, a key that was
// revoked, a permit that has expired.
func TestStoppedBeforeSend(t *testing.T) {
	type change func(f *fixture)
	for name, test := range map[string]struct {
		change change
		status int
	}{
		"server leaves": {func(f *fixture) {
			f.platform.set(func(p *platformStub) { p.instances[0].Leaving = true })
		}, http.StatusOK},
		"server restarts": {func(f *fixture) {
			f.platform.set(func(p *platformStub) { p.instances[0].Incarnation = "2"; p.instances[0].Leaving = true })
		}, http.StatusOK},
		"key is revoked": {func(f *fixture) {
			config := patientConfig(2)
			config.Organisations[0].Keys = []string{"new"}
			f.platform.configure(config)
		}, http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var reached atomic.Int32
			f.addServer("a", "plain", func(w http.ResponseWriter, r *http.Request) { reached.Add(1); answer(w, r) })
			f.apply(patientConfig(1))
			f.platform.set(func(p *platformStub) { p.delay = readingDelay })
			var once sync.Once
			onLogLine(t, logger.LineSent, func() {
				once.Do(func() {
					f.addServer("b", "plain", answer)
					test.change(f)
					stopProcess(t, testStop)
				})
			})
			status, _, err := f.call("POST", "/once/", "r1")
			assert.NilError(t, err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, reached.Load(), int32(0))
		})
	}
}

// TestStoppedWithPermit guards against a permit that was issued before the process was
// stopped being used after it has expired.
func TestStoppedWithPermit(t *testing.T) {
	f := newFixture(t)
	var stopped atomic.Int32
	var goesOnAt, permitAt, usedPermitAt atomic.Int64
	issue := f.platform.issuePermit
	f.platform.issuePermit = func(r permitter.Request) permitter.Reply {
		permitAt.Store(time.Now().UnixNano())
		return issue(r)
	}
	f.addServer("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		usedPermitAt.Store(permitAt.Load())
		w.Header().Set("Limit", "10")
		answer(w, r)
	})
	f.apply(patientConfig(1))
	_, _, err := f.call("POST", "/once/", "r0")
	assert.NilError(t, err)
	onLogLine(t, logger.LineSent, func() {
		if stopped.Add(1) == 1 {
			goesOnAt.Store(time.Now().Add(testStop).UnixNano())
			stopProcess(t, testStop)
		}
	})
	status, _, err := f.call("POST", "/once/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, usedPermitAt.Load() > goesOnAt.Load(), "the permit of before the stop was used")
}

// TestStoppedInQueue guards against a request that waited when the process was stopped being
// sent after its time.
func TestStoppedInQueue(t *testing.T) {
	f := newFixture(t)
	var reached atomic.Int32
	f.addServer("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		// It ends while the process is stopped.
		time.Sleep(testStop / 2)
		answer(w, r)
	})
	config := testConfig(1)
	for i := range config.Routes {
		config.Routes[i].Timeout = time.Second
	}
	f.apply(config)
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() { f.call("POST", "/once/", "busy") })
	}
	f.eventually(func() bool { return reached.Load() == 2 })
	queued := make(chan struct{})
	onLogLine(t, logger.LineQueued, func() { close(queued) })
	var status int
	calls.Go(func() { status, _, _ = f.call("POST", "/once/", "r1") })
	<-queued
	stopProcess(t, testStop)
	calls.Wait()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, reached.Load(), int32(2))
}

// TestStoppedBeforeArrival guards against a request that arrives while the process is stopped
// being judged by the configuration of before: a revoked key is refused, a new one is not.
func TestStoppedBeforeArrival(t *testing.T) {
	f := newFixture(t)
	var reached atomic.Int32
	f.addServer("a", "plain", func(w http.ResponseWriter, r *http.Request) { reached.Add(1); answer(w, r) })
	f.applyConfig()
	f.platform.set(func(p *platformStub) { p.delay = readingDelay })
	for i := range 5 {
		config := testConfig(uint64(2 + i))
		config.Organisations[0].Keys = []string{"k" + strconv.Itoa(i)}
		key := "k" + strconv.Itoa(i-1)
		if i == 0 {
			key = "k"
		}
		f.platform.configure(config)
		stopProcess(t, testStop)
		want, allowed := http.StatusUnauthorized, int32(0)
		if i%2 == 1 {
			key, want, allowed = config.Organisations[0].Keys[0], http.StatusOK, 1
		}
		reached.Store(0)
		status, _, err := f.callWith("POST", "/once/", "r1", key)
		assert.NilError(t, err)
		assert.Equal(t, status, want)
		assert.Equal(t, reached.Load(), allowed)
	}
}
