package permitter

import "time"

// Request asks the owner of a server's permits for one, and tells it what
// the sender knows of the server's limit.
type Request struct {
	Server    string
	Statement Statement
	// Wanted is false if the request only tells the owner of the limit's end.
	Wanted bool
}

// Reply is the owner's reply to a [Request].
type Reply struct {
	Granted bool
	// Wait is the time after which a request that was not granted may be repeated.
	Wait time.Duration
	// Statement is the newest limit that the owner knows.
	Statement Statement
}
