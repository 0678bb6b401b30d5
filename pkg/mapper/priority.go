package mapper

import "slices"

// PriorityRanks is the number of priority ranks of routes.
const PriorityRanks = 100

// Priority returns the priority of an organisation's requests on a route; the lowest number
// is served first. The rank of the organisation takes precedence over that of the route.
func Priority(o Organisation, r Route) int { return o.Priority*PriorityRanks + r.Priority }

// priorities returns the priorities that requests can have, sorted.
func (c Config) priorities() []int {
	ranks := make(map[int]bool)
	for _, r := range c.Routes {
		ranks[r.Priority] = true
	}
	// Requests without a key have the rank of the zero organisation.
	organisations := map[int]bool{0: true}
	for _, o := range c.Organisations {
		organisations[o.Priority] = true
	}
	var all []int
	for o := range organisations {
		for r := range ranks {
			all = append(all, Priority(Organisation{Priority: o}, Route{Priority: r}))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// RankClass returns the class of a priority out of the given number of classes; 0 is the
// most urgent. It follows from the configuration alone, so that entry instances with the
// same one agree on it. Neighbouring priorities share a class if there are more of them
// than classes.
func (t *RouteTable) RankClass(priority, classes int) int {
	position, _ := slices.BinarySearch(t.priorities, priority)
	if n := len(t.priorities); n > classes {
		position = position * classes / n
	}
	return min(position, classes-1)
}

// rankedServices returns the services of which the routes differ in priority.
func (c Config) rankedServices() map[string]bool {
	first := make(map[string]int)
	ranked := make(map[string]bool)
	for _, r := range c.Routes {
		for _, target := range r.Targets {
			if priority, found := first[target.Service]; !found {
				first[target.Service] = r.Priority
			} else if priority != r.Priority {
				ranked[target.Service] = true
			}
		}
	}
	return ranked
}

// Ranked reports whether the routes of a service differ in priority.
func (t *RouteTable) Ranked(service string) bool { return t.ranked[service] }
