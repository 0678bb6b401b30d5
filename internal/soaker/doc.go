// Package soaker holds the soak test: it runs the real daemon against an
// emulated platform, injects a seeded schedule of faults from outside, and
// checks what callers and backend servers observed. All code is in test files.
//
// # Usage
//
//	go test ./internal/soaker -run TestSoak -seeds 50 -first 1000
//	go test ./internal/soaker -run TestSoak -seeds 1 -first 1007 -keep-logs DIR
//	go test ./internal/soaker -run TestCrowdSoak -seeds 8 -first 1 -parallel 3
//	go test ./internal/soaker -run TestCutSoak -seeds 8 -first 1 -parallel 3
//	go test ./internal/soaker -run TestCutInstancesServeTheirCallers -cuts -parallel 2
package soaker
