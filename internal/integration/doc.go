// Package integration holds the tests that run the system as real processes
// on loopback, behind fault-injecting proxies. It has no code of its own.
package integration
