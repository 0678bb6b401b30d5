package provider

// Row is one row of the table service.
type Row struct {
	// Key names the row; its parts are joined by slashes.
	Key string `json:"key"`
	// Version rises with every write; zero means that the row does not exist.
	Version uint64 `json:"version"`
	// Value is the content, in a format that its writer chooses.
	Value []byte `json:"value,omitempty"`
}

// Exists reports whether the row is there.
func (r Row) Exists() bool { return r.Version != 0 }
