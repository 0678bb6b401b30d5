package quarantiner

import "strconv"

// Part identifies a part of a prompt that several requests may share.
type Part uint64

// String returns the part's ID in hexadecimal digits.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }
