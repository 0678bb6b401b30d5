// Command waxwing operates a waxwingmount system.
//
// # Usage
//
//	waxwing --operator 127.0.0.1:8002 status
package main

import (
	"os"

	"github.com/waxwingmount/waxwingmount/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
