package provider

// Row is one row of the table service.
type Row struct {
	// Key identifies the row; its parts are separated by slashes.
	Key string `json:"key"`
	// Version changes with every write. The version of a row that does not exist has
	// the era in which that was read.
	Version Version `json:"version"`
	// Value is the content, in a format chosen by its writer.
	Value []byte `json:"value,omitempty"`
}

// Exists reports whether the row exists.
func (r Row) Exists() bool { return r.Version.Number != 0 }
