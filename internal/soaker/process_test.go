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

// The environment variables that make this test binary run as one of the
// emulated processes, and the roles.
const (
	roleVariable     = "WAXWING_SOAK_ROLE"
	settingsVariable = "WAXWING_SOAK_SETTINGS"
	roleStore        = "store"
	roleServer       = "worker"
	// commandComeBack makes the store come back from a copy of a given age.
	commandComeBack = "come_back"
)

// storeSettings are the settings of the store process.
type storeSettings struct {
	Address   netip.AddrPort
	Heartbeat time.Duration
}

// serverSettings are the settings of a backend server process.
type serverSettings struct {
	Address netip.AddrPort
	Worker  emulator.BackendServerSettings
}

// runRole runs an emulated process until it ends.
func runRole(role string) error {
	signal.Ignore(syscall.SIGINT)
	data := []byte(os.Getenv(settingsVariable))
	if role == roleStore {
		var s storeSettings
		if err := json.Unmarshal(data, &s); err != nil {
			return err
		}
		store := emulator.NewStore(s.Heartbeat)
		go readCommands(func(fields []string) {
			if fields[0] == commandComeBack {
				age, err := time.ParseDuration(fields[1])
				if err == nil {
					store.ComeBack(age)
				}
				return
			}
			var fault emulator.StoreFault
			if _, err := fmt.Sscan(fields[0], &fault); err == nil {
				store.SetFault(fault)
			}
		})
		return http.ListenAndServe(s.Address.String(), store)
	}
	var s serverSettings
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
	go readCommands(func(fields []string) { handleServerCommand(worker, fields) })
	server := &http.Server{Addr: s.Address.String(), Handler: worker.Handler()}
	go server.ListenAndServe()
	worker.Run(context.Background())
	return nil
}

// Commands to a server. All but the first take a duration.
const (
	commandDrain       = "drain"
	commandRefuse      = "refuse"
	commandEndless     = "endless"
	commandDelayOrders = "delay_orders"
)

func handleServerCommand(worker *emulator.BackendServer, fields []string) {
	if fields[0] == commandDrain {
		worker.Drain()
		return
	}
	duration, err := time.ParseDuration(fields[1])
	switch {
	case err != nil:
	case fields[0] == commandRefuse:
		worker.RefuseFor(duration)
	case fields[0] == commandEndless:
		worker.SendEndlessFor(duration)
	case fields[0] == commandDelayOrders:
		worker.DelayOrdersFor(duration)
	}
}

// readCommands passes the fields of each line of the standard input to handle,
// and exits the process at the end of the input.
func readCommands(handle func([]string)) {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 0 {
			handle(fields)
		}
	}
	os.Exit(0)
}

// process is a child process that can be restarted.
type process struct {
	name    string
	command func() *exec.Cmd
	// onLine is called with each line of the standard output.
	onLine func(line []byte)
	// onExit is called when the process exits without SIGKILL or SIGTERM from the
	// test.
	onExit func(name string, err error)

	mu            sync.Mutex
	running       *exec.Cmd
	input         io.WriteCloser
	stopRequested bool
	done          chan struct{}
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
	p.running, p.stopRequested, p.done = cmd, false, make(chan struct{})
	go p.run(cmd, output, p.done)
	return nil
}

// run reads the output of the process and waits until it exits.
func (p *process) run(cmd *exec.Cmd, output io.Reader, done chan struct{}) {
	reader := bufio.NewReader(output)
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 {
			p.onLine(line)
		}
		if err != nil {
			break
		}
	}
	err := cmd.Wait()
	p.mu.Lock()
	stopRequested := p.stopRequested
	p.running = nil
	p.mu.Unlock()
	close(done)
	if !stopRequested {
		p.onExit(p.name, err)
	}
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopRequested = true
	}
	p.running.Process.Signal(s)
}

// pid returns the identifier of the running process, or zero.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return 0
	}
	return p.running.Process.Pid
}

// writeLine writes a line to the standard input of the process.
func (p *process) writeLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		io.WriteString(p.input, line+"\n")
	}
}

// waitFor reports whether the process exits within the timeout.
func (p *process) waitFor(timeout time.Duration) bool {
	p.mu.Lock()
	done, running := p.done, p.running != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}
