package provider

// Guard demands that a row still has the version that was read.
type Guard struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that apply together while all guards hold.
type Transaction struct {
	// OperationID makes a repeat harmless: the first outcome is returned again.
	OperationID string  `json:"operation_id"`
	Guards      []Guard `json:"guards,omitempty"`
	Writes      []Write `json:"writes"`
}

// Outcome is the result of a commit.
type Outcome struct {
	// Committed says whether the writes were applied.
	Committed bool `json:"committed"`
	// Conflicts holds the rows, as they are now, whose guards failed.
	Conflicts []Row `json:"conflicts,omitempty"`
}
