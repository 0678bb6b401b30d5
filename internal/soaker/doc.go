// Package soaker plays the real daemon against an emulated platform under
// seeded faults from outside, and checks what callers and backend servers saw.
// All of it is in test files.
//
// # Usage
//
//	go test ./internal/soaker -run TestSoak -seeds 50 -first 1000
//	go test ./internal/soaker -run TestSoak -seeds 1 -first 1007 -keep-logs DIR
package soaker
