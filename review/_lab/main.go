// Command lab plays the scripted cases of the review with stand-ins of the platform, the
// workers and the consumers, against processes of the daemon.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// started holds all machines, so that their processes end with this one.
var started struct {
	sync.Mutex
	entries []*entry
}

// endOnSignal ends all processes that were started if this one is told to end.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		started.Lock()
		defer started.Unlock()
		for _, e := range started.entries {
			e.stop()
		}
		os.Exit(2)
	}()
}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE DAEMON FOLDER RECORD")
		os.Exit(2)
	}
	endOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	switch name, daemon, dir, path := os.Args[1], os.Args[2], os.Args[3], os.Args[4]; name {
	case "memory":
		os.Exit(runMemory(dir, daemon, path, trouble))
	case "settings":
		os.Exit(runSettings(dir, daemon, path, trouble))
	case "dark":
		os.Exit(runDark(dir, daemon, path, trouble))
	case "restart":
		os.Exit(runRestart(dir, daemon, path, trouble))
	default:
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
}
