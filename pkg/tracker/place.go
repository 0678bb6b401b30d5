package tracker

import "github.com/waxwingmount/waxwingmount/pkg/provider"

// Place is a set of instances that are likely to fail together.
type Place struct{ dataCentre, domain string }

// PlaceOf returns the place of an instance.
func PlaceOf(in provider.Instance) Place {
	if in.FabricDomain == "" {
		// A plain server fails by itself.
		return Place{in.DataCentre, in.ID}
	}
	return Place{in.DataCentre, in.FabricDomain}
}
