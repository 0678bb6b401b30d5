package provider

// Row is one row of the table service.
type Row struct {
	// Key identifies the row; its parts are separated by slashes.
	Key string `json:"key"`
	// Version increases with every write; zero means that the row does not exist.
	Version uint64 `json:"version"`
	// Value is the content, in a format chosen by its writer.
	Value []byte `json:"value,omitempty"`
}

// Exists reports whether the row exists.
func (r Row) Exists() bool { return r.Version != 0 }
