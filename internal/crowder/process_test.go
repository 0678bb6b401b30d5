//go:build crowds

package crowder

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// process is a daemon under test.
type process struct {
	t       *testing.T
	command *exec.Cmd
	ended   chan struct{}
}

func newProcess(t *testing.T) process { return process{t: t, ended: make(chan struct{})} }

// start runs a command until the test ends.
func (p *process) start(command *exec.Cmd) {
	p.t.Helper()
	p.command = command
	command.Stderr = os.Stderr
	if *showLogs {
		command.Stdout = os.Stdout
	}
	assert.NilError(p.t, command.Start())
	go p.run()
	p.t.Cleanup(func() {
		command.Process.Kill()
		<-p.ended
	})
}

// run waits for the end of the process.
func (p *process) run() {
	defer close(p.ended)
	p.command.Wait()
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

const (
	retryDelay = 100 * time.Millisecond
	// patience is how long something is awaited. It bounds a test that fails; no time is
	// judged.
	patience = time.Minute
)

// await repeats an attempt until it succeeds.
func (p *process) await(what string, attempt func() error) {
	p.t.Helper()
	var err error
	for until := time.Now().Add(patience); time.Now().Before(until) && p.alive(); time.Sleep(retryDelay) {
		if err = attempt(); err == nil {
			return
		}
	}
	p.t.Fatalf("waiting for %s: alive %v, last: %v", what, p.alive(), err)
}

// checkLimits checks the peaks of the process against its settings.
func (p *process) checkLimits(meter *gauge, memoryMB, fds int) {
	p.t.Helper()
	assert.Assert(p.t, p.alive(), "the process has ended")
	peak, found := peakResident(p.command.Process.Pid)
	assert.Assert(p.t, found)
	worst, descriptors, samples := meter.end()
	p.t.Logf("peak resident %d MB; with sockets %d MB, of them %d MB in queues; descriptors %d; %d samples",
		peak>>20, worst.memory()>>20, worst.queued>>20, descriptors, samples)
	assert.Assert(p.t, samples > 0)
	limit := int64(memoryMB) << 20
	assert.Check(p.t, peak <= limit, "%d MB resident, %d are allowed", peak>>20, memoryMB)
	assert.Check(p.t, worst.memory() <= limit, "%d MB with the bytes in the sockets, %d are allowed", worst.memory()>>20, memoryMB)
	assert.Check(p.t, descriptors <= fds-reservedFDs, "%d descriptors of %d are in use, of which %d are for files", descriptors, fds, reservedFDs)
}
