// Package integration holds the tests that run the whole system as real
// processes on the loopback network, behind fault-injecting proxies. All code is
// in test files.
package integration
