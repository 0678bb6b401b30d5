package dispatcher

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/router"
)

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}

// serviceSeparator separates the service and its address in the names of the
// backends of plain services. A name that contains it is taken for a service's.
const serviceSeparator = "@"

// backends returns the backends that may be sent a request now.
func (d *Dispatcher) backends(r Request) []backend {
	if r.Service != "" {
		return d.serviceBackends(r.Service)
	}
	return d.groupBackends(r.Model)
}

func (d *Dispatcher) serviceBackends(name string) []backend {
	var backends []backend
	config := d.configs.Config()
	if config == nil {
		return nil
	}
	for _, address := range config.Services[name].Addresses {
		site := name + serviceSeparator + address.String()
		backends = append(backends, backend{name: site, site: site, address: address})
	}
	return backends
}

// groupBackends returns the groups of a model whose gates are open. It also
// updates their load from the newest reports.
func (d *Dispatcher) groupBackends(model string) []backend {
	var backends []backend
	for _, group := range d.configs.Groups().SortedGroups() {
		if group.Model != model || !d.gates.Check(group).Open() {
			continue
		}
		head := group.Head()
		if e, known := d.gates.Evidence(head.Instance); known {
			d.recordLoadReport(group.ID, e.ObservedAt, e.Report.InFlight)
		}
		backends = append(backends, groupBackend(group))
	}
	return backends
}

// groupBackend returns the backend of a group. Requests are sent to the head of
// the group.
func groupBackend(group grouper.Group) backend {
	head := group.Head()
	return backend{
		name:    group.ID,
		site:    group.ID + "/" + strconv.FormatUint(group.Fence, 10),
		address: head.Address,
		group:   &group,
	}
}

func (d *Dispatcher) recordLoadReport(group string, at time.Time, inFlight int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Report(at, group, inFlight)
}

// pickBackend chooses a backend by the routing policy, preferably one that has
// not failed this request, and counts the request as in flight there. It reports
// false when there is none with capacity.
func (d *Dispatcher) pickBackend(r Request, failed map[string]bool) (backend, bool) {
	config := d.configs.Config()
	backends := withoutFailed(d.backends(r), failed)
	if config == nil || len(backends) == 0 {
		return backend{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := d.candidates(config, r, backends)
	if len(candidates) == 0 {
		return backend{}, false
	}
	picked := d.policy(config, r).Pick(r.routingRequest(), candidates, d.random)
	name := candidates[picked].Group
	d.tracker.Begin(name)
	for _, b := range backends {
		if b.name == name {
			return b, true
		}
	}
	return backend{}, false
}

// withoutFailed returns the backends that have not failed, or all of them if
// each has failed.
func withoutFailed(backends []backend, failed map[string]bool) []backend {
	var others []backend
	for _, b := range backends {
		if !failed[b.name] {
			others = append(others, b)
		}
	}
	if len(others) == 0 {
		return backends
	}
	return others
}

// candidates returns the backends with capacity for another request, with their
// load. The limit of requests in flight does not apply to plain services.
func (d *Dispatcher) candidates(config *configurer.Config, r Request, backends []backend) []router.Candidate {
	var candidates []router.Candidate
	for _, b := range backends {
		if r.Service == "" && d.tracker.InFlight(b.name) >= config.Admission.MaxInFlight {
			continue
		}
		candidates = append(candidates, router.Candidate{Group: b.name, Load: d.tracker.Load(b.name)})
	}
	return d.tracker.FilterEjected(time.Now(), candidates)
}

// policy returns the routing policy for the request's model or service. The
// caller must hold d.mu.
func (d *Dispatcher) policy(config *configurer.Config, r Request) router.Policy {
	name := config.Models[r.Model].Policy
	if r.Service != "" {
		name = "least_in_flight"
	}
	key := r.Model + "\x00" + r.Service + "\x00" + name
	policy, found := d.policies[key]
	if found {
		return policy
	}
	factory, err := router.Policies.Lookup(name)
	if err != nil {
		// The configuration was validated against the same registry.
		panic(err)
	}
	policy = factory()
	d.policies[key] = policy
	return policy
}

// endAttempt records the end of an attempt at a backend, and whether it failed.
func (d *Dispatcher) endAttempt(b backend, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.End(time.Now(), b.name, failed)
}
