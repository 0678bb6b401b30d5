package quarantiner

import (
	"encoding/json"
	"strconv"
	"time"
)

// storedStrikes are strikes in their stored JSON format.
type storedStrikes struct {
	Strikes []storedStrike `json:"strikes"`
}

type storedStrike struct {
	// Request is the fingerprint, and Parts are the parts, in hexadecimal digits.
	Request string   `json:"request"`
	Site    string   `json:"site"`
	Parts   []string `json:"parts,omitempty"`
	// CrashedAtMS is the time of the crash in Unix milliseconds.
	CrashedAtMS int64 `json:"crashed_at_ms"`
}

// EncodeStrikes returns strikes in a format in which they can be stored. now is the time of
// day as of which their ages count.
func EncodeStrikes(now time.Time, strikes []Strike) ([]byte, error) {
	var stored storedStrikes
	for _, s := range strikes {
		e := storedStrike{
			Request: strconv.FormatUint(uint64(s.Fingerprint), 16), Site: s.Site, CrashedAtMS: now.Add(-s.Age).UnixMilli(),
		}
		for _, p := range s.Parts {
			e.Parts = append(e.Parts, p.String())
		}
		stored.Strikes = append(stored.Strikes, e)
	}
	return json.Marshal(stored)
}

// DecodeStrikes decodes what [EncodeStrikes] returned, with the ages as of the time of day
// now. A crash in the future, where clocks differ, has no age. Strikes that can't be decoded
// are left out and counted.
func DecodeStrikes(now time.Time, data []byte) (strikes []Strike, invalid int, err error) {
	var stored storedStrikes
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, 0, err
	}
	for _, e := range stored.Strikes {
		s, err := e.strike(now)
		if err != nil {
			invalid++
			continue
		}
		strikes = append(strikes, s)
	}
	return strikes, invalid, nil
}

func (e storedStrike) strike(now time.Time) (Strike, error) {
	fingerprint, err := strconv.ParseUint(e.Request, 16, 64)
	if err != nil {
		return Strike{}, err
	}
	s := Strike{Fingerprint: Fingerprint(fingerprint), Site: e.Site, Age: max(0, now.Sub(time.UnixMilli(e.CrashedAtMS)))}
	for _, text := range e.Parts {
		id, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return Strike{}, err
		}
		s.Parts = append(s.Parts, Part(id))
	}
	return s, nil
}
