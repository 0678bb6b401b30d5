package provider

// Guard is the precondition that a row still has the version that was read.
type Guard struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that are applied atomically if all guards hold.
type Transaction struct {
	// OperationID makes the commit idempotent: a repeat returns the first outcome.
	OperationID string  `json:"operation_id"`
	Guards      []Guard `json:"guards,omitempty"`
	Writes      []Write `json:"writes"`
}

// Outcome is the result of a commit.
type Outcome struct {
	// Committed reports whether the writes were applied.
	Committed bool `json:"committed"`
	// Conflicts are the current rows whose guards failed.
	Conflicts []Row `json:"conflicts,omitempty"`
}
