// Package permitter keeps entry instances, together, within the rate of requests
// that a backend server says it takes. For each server with a limit one entry
// instance, the permit owner, issues permits at that rate, each for one request;
// which instance that is follows from the live members, so that nothing has to be
// agreed on. What servers state travels with the requests for permits, and the
// newest statement wins.
//
// # Usage
//
// Every entry instance observes the responses and asks for permits:
//
//	limits := permitter.NewServerLimits()
//	limits.Observe(now, sentAt, server, limit)
//	if limits.Usable(now, server) {
//		limits.Use(server)
//		send(server)
//	} else if limits.Want(now, server) {
//		for _, request := range limits.Requests(now) {
//			limits.Complete(now, sentAt, request.Server, call(owner, request))
//		}
//	}
//
// The owner answers:
//
//	issuer := permitter.NewIssuer(rand.Float64)
//	reply := issuer.Issue(now, request)
//
// Rates are in requests per second.
package permitter

import "time"

// RateLimit is the rate of requests that a backend server takes from all entry
// instances together.
type RateLimit struct {
	// Limited is false if the server takes requests at any rate.
	Limited   bool
	PerSecond float64
}

// Statement is the newest limit that is known of a backend server. It is sent
// between entry instances and therefore carries an age instead of a time.
type Statement struct {
	Limit RateLimit
	Age   time.Duration
}
