package provider

import (
	"encoding/json"
	"strconv"
)

// Version identifies the content of a row. A table that comes back from an older
// copy begins a new era, in which it gives out the numbers of lost versions again.
// Versions of a row are the same if they are equal; they have no order.
type Version struct {
	// Era is zero for a table that has no eras.
	Era uint64 `json:"era"`
	// Number is zero if the row does not exist.
	Number uint64 `json:"number"`
}

// String returns "era.number", or only the number in era zero.
func (v Version) String() string {
	if v.Era == 0 {
		return strconv.FormatUint(v.Number, 10)
	}
	return strconv.FormatUint(v.Era, 10) + "." + strconv.FormatUint(v.Number, 10)
}

// versionFields is Version without its methods.
type versionFields Version

// MarshalJSON implements [json.Marshaler]. In era zero the version is a number.
func (v Version) MarshalJSON() ([]byte, error) {
	if v.Era == 0 {
		return json.Marshal(v.Number)
	}
	return json.Marshal(versionFields(v))
}

// UnmarshalJSON implements [json.Unmarshaler].
func (v *Version) UnmarshalJSON(data []byte) error {
	var number uint64
	if json.Unmarshal(data, &number) == nil {
		*v = Version{Number: number}
		return nil
	}
	return json.Unmarshal(data, (*versionFields)(v))
}
