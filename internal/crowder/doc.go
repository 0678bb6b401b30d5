// Package crowder holds the tests of callers that misbehave in numbers: each starts an
// entry instance as a process of its own on loopback addresses, with low limits in its
// settings, lets a crowd loose on it, and judges what the kernel says of the process:
// memory with the bytes in its sockets, descriptors, and that an ordinary request is
// answered beside the crowd. All code is in test files.
//
// The tests measure a whole process, so they run alone, one at a time, and only with the
// build tag crowds.
//
// # Usage
//
//	go test -tags crowds -count=1 -p 1 ./internal/crowder
//	go test -tags crowds -count=1 -p 1 ./internal/crowder -run TestCrowds/length -daemon /path/of/waxwingd
package crowder
