//go:build crowds

package crowder

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usage is what the kernel says of a process.
type usage struct {
	// resident is the resident memory, and queued the bytes in the sockets: received and not
	// read, or written and not acknowledged.
	resident, queued int64
	descriptors      int
}

func (u usage) memory() int64 { return u.resident + u.queued }

// gauge samples the usage of a process and keeps the peaks.
type gauge struct {
	pid  int
	stop chan struct{}
	done chan struct{}

	mu sync.Mutex
	// worst is the sample with the most memory, and descriptors the most in any sample.
	worst       usage
	descriptors int
	samples     int
}

const sampleInterval = 20 * time.Millisecond

func startGauge(pid int) *gauge {
	g := &gauge{pid: pid, stop: make(chan struct{}), done: make(chan struct{})}
	go g.run()
	return g
}

func (g *gauge) run() {
	defer close(g.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
		}
		if u, alive := measure(g.pid); alive {
			g.record(u)
		}
	}
}

func (g *gauge) record(u usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u.memory() > g.worst.memory() {
		g.worst = u
	}
	g.descriptors = max(g.descriptors, u.descriptors)
	g.samples++
}

// end stops the sampling and returns the peaks.
func (g *gauge) end() (worst usage, descriptors, samples int) {
	close(g.stop)
	<-g.done
	return g.worst, g.descriptors, g.samples
}

// measure returns the usage of a process. It reports false if the process has ended.
func measure(pid int) (usage, bool) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	resident, found := statusField(dir, "VmRSS:")
	if !found {
		return usage{}, false
	}
	entries, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return usage{}, false
	}
	sockets := make(map[string]bool)
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, "fd", e.Name())); err == nil {
			if inode, isSocket := strings.CutPrefix(target, "socket:["); isSocket {
				sockets[strings.TrimSuffix(inode, "]")] = true
			}
		}
	}
	return usage{resident: resident, queued: queuedBytes(dir, sockets), descriptors: len(entries)}, true
}

// peakResident returns the most resident memory that a process has had.
func peakResident(pid int) (int64, bool) {
	return statusField(filepath.Join("/proc", strconv.Itoa(pid)), "VmHWM:")
}

// statusField returns a size in the status of a process.
func statusField(dir, name string) (int64, bool) {
	data, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(data) {
		if value, found := strings.CutPrefix(string(line), name); found {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kb << 10, err == nil
		}
	}
	return 0, false
}

// Columns of the kernel's table of connections.
const (
	columnState  = 3
	columnQueues = 4
	columnInode  = 9
	stateListen  = "0A"
)

// queuedBytes returns the bytes in the queues of the sockets of a process.
func queuedBytes(dir string, sockets map[string]bool) int64 {
	file, err := os.Open(filepath.Join(dir, "net", "tcp"))
	if err != nil {
		return 0
	}
	defer file.Close()
	var sum int64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= columnInode || fields[columnState] == stateListen || !sockets[fields[columnInode]] {
			continue
		}
		for queue := range strings.SplitSeq(fields[columnQueues], ":") {
			if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
				sum += n
			}
		}
	}
	return sum
}
