// Command lab2 plays the cases of the review: it starts the system's processes on loopback
// addresses with stand-ins around them, and judges what clients and workers have seen.
//
//	lab2 CASE RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the time after which a case is given up.
const timeLimit = 110 * time.Second

// cases holds the cases. Each returns the violations of the rule; disturbed is false with
// TROUBLE=0.
var cases = map[string]func(c string, disturbed bool) []string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(2)
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-ends:
			fail("%v", s)
		case <-time.After(timeLimit):
			fail("it took longer than %v", timeLimit)
		}
	}()
	violations := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	for _, v := range violations {
		running.record.printf("BROKEN: %s", v)
		fmt.Println("BROKEN:", v)
	}
	running.stop()
	if len(violations) > 0 {
		os.Exit(1)
	}
	running.record.printf("the rule held")
	fmt.Println("held")
}
