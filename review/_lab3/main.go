// Command lab3 plays the script cases of this review: it starts the entry instances as
// processes, and stands in for the platform's store, the workers and the consumers.
//
// # Usage
//
//	lab3 CASE RECORD
//
// TROUBLE=0 in the environment leaves the disruption out. The exit status is 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases maps the names of the cases to their functions. A case returns whether the rule held.
var cases = map[string]func(*lab) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		os.Exit(2)
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.close()
		fmt.Fprintln(os.Stderr, "the case was ended before its time")
		os.Exit(2)
	}()
	held, err := cases[os.Args[1]](l)
	l.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}
