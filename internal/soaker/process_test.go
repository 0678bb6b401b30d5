package soaker

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

// The variables that make this test binary one of the emulated processes.
const (
	roleVariable     = "WAXWING_SOAK_ROLE"
	settingsVariable = "WAXWING_SOAK_SETTINGS"
	roleStore        = "store"
	roleWorker       = "worker"
)

// storeSettings are what the store's process is told.
type storeSettings struct {
	Address   netip.AddrPort
	Heartbeat time.Duration
}

// workerSettings are what a server's process is told.
type workerSettings struct {
	Address netip.AddrPort
	Worker  emulator.BackendServerSettings
}

// playRole is the whole life of an emulated process.
func playRole(role string) error {
	signal.Ignore(syscall.SIGINT)
	data := []byte(os.Getenv(settingsVariable))
	if role == roleStore {
		var s storeSettings
		if err := json.Unmarshal(data, &s); err != nil {
			return err
		}
		store := emulator.NewStore(s.Heartbeat)
		go readCommands(func(fields []string) {
			var fault emulator.StoreFault
			if _, err := fmt.Sscan(fields[0], &fault); err == nil {
				store.SetFault(fault)
			}
		})
		return http.ListenAndServe(s.Address.String(), store)
	}
	var s workerSettings
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	var mu sync.Mutex
	encoder := json.NewEncoder(os.Stdout)
	worker := emulator.NewBackendServer(s.Worker, func(r emulator.ServerEvent) {
		mu.Lock()
		defer mu.Unlock()
		encoder.Encode(r)
	})
	go readCommands(func([]string) { worker.Drain() })
	server := &http.Server{Addr: s.Address.String(), Handler: worker.Handler()}
	go server.ListenAndServe()
	worker.Run(context.Background())
	return nil
}

// readCommands obeys lines of the standard input and ends the process with it.
func readCommands(obey func([]string)) {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 0 {
			obey(fields)
		}
	}
	os.Exit(0)
}

// process is one process that the soak has started.
type process struct {
	name    string
	command func() *exec.Cmd
	// lines takes what it writes to its standard output.
	lines func(line []byte)
	// ended takes the end of a process that nobody asked for.
	ended func(name string, err error)

	mu      sync.Mutex
	running *exec.Cmd
	input   io.WriteCloser
	asked   bool
	done    chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		return nil
	}
	cmd := p.command()
	output, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if p.input, err = cmd.StdinPipe(); err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.running, p.asked, p.done = cmd, false, make(chan struct{})
	go p.run(cmd, output, p.done)
	return nil
}

// run reads a process's lines and waits for its end.
func (p *process) run(cmd *exec.Cmd, output io.Reader, done chan struct{}) {
	reader := bufio.NewReader(output)
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 {
			p.lines(line)
		}
		if err != nil {
			break
		}
	}
	err := cmd.Wait()
	p.mu.Lock()
	asked := p.asked
	p.running = nil
	p.mu.Unlock()
	close(done)
	if !asked {
		p.ended(p.name, err)
	}
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.asked = true
	}
	p.running.Process.Signal(s)
}

// tell writes a line to the process's standard input.
func (p *process) tell(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		io.WriteString(p.input, line+"\n")
	}
}

// wait reports whether the process ends within the time.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	done, running := p.done, p.running != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}
