package estimator

// ModelLoad is the load of one model of a service, over the whole fleet.
type ModelLoad struct {
	// Offered is the instance time that the arriving requests need, in instance
	// seconds per second.
	Offered float64
	// Arrived is the number of requests per second.
	Arrived float64
	// Missed is the share of the requests that were refused or late.
	Missed float64
}
