package tracker

import (
	"maps"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// SetEvacuated sets the data centres whose servers must get no requests. They and the groups
// with a head there are not among [Tracker.Groups] and [Tracker.Servers] until the evacuation
// ends. The groups are neither lost nor broken, and what runs there goes on.
func (t *Tracker) SetEvacuated(dataCentres map[string]bool) {
	if maps.Equal(dataCentres, t.evacuated) {
		return
	}
	t.evacuated = maps.Clone(dataCentres)
	t.selectReachable()
}

// Evacuated reports whether an instance is in an evacuated data centre.
func (t *Tracker) Evacuated(in provider.Instance) bool { return t.evacuated[in.DataCentre] }

// AllEvacuated reports whether a service has instances, and all that do not leave are in
// evacuated data centres. A lost one elsewhere may return at any moment.
func (t *Tracker) AllEvacuated(service string) bool {
	if len(t.evacuated) == 0 {
		return false
	}
	found := false
	for _, in := range t.named {
		if in.Service != service || in.Leaving {
			continue
		}
		if !t.Evacuated(in) {
			return false
		}
		found = true
	}
	return found
}

// usable reports whether an instance can be sent requests from here.
func (t *Tracker) usable(in provider.Instance) bool {
	return !t.Evacuated(in) && t.Reachable(in.ID)
}
