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

// serviceMark stands in the names of services' back ends, between the service
// and its address.
const serviceMark = "@"

// backends returns where a request may be sent now.
func (d *Dispatcher) backends(r Request) []backend {
	if r.Service != "" {
		return d.serviceBackends(r.Service)
	}
	return d.groupBackends(r.Model)
}

func (d *Dispatcher) serviceBackends(name string) []backend {
	var found []backend
	config := d.configs.Config()
	if config == nil {
		return nil
	}
	for _, address := range config.Services[name].Addresses {
		site := name + serviceMark + address.String()
		found = append(found, backend{name: site, site: site, address: address})
	}
	return found
}

func (d *Dispatcher) groupBackends(model string) []backend {
	var found []backend
	for _, group := range d.configs.Groups().Sorted() {
		if group.Model != model || !d.gates.Check(group).Open() {
			continue
		}
		head := group.Head()
		if e, known := d.gates.Evidence(head.Instance); known {
			d.report(group.ID, e.ObservedAt, e.Report.InFlight)
		}
		found = append(found, groupBackend(group))
	}
	return found
}

func groupBackend(group grouper.Group) backend {
	head := group.Head()
	return backend{
		name:    group.ID,
		site:    group.ID + "/" + strconv.FormatUint(group.Fence, 10),
		address: head.Address,
		group:   &group,
	}
}

func (d *Dispatcher) report(group string, at time.Time, inFlight int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Report(at, group, inFlight)
}

// pick chooses a back end, rather one that has not failed the request, and counts the request there.
func (d *Dispatcher) pick(r Request, failed map[string]bool) (backend, bool) {
	config := d.configs.Config()
	found := prefer(d.backends(r), failed)
	if config == nil || len(found) == 0 {
		return backend{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := d.candidates(config, r, found)
	if len(candidates) == 0 {
		return backend{}, false
	}
	picked := d.policy(config, r).Pick(r.routing(), candidates, d.random)
	name := candidates[picked].Group
	d.tracker.Begin(name)
	for _, b := range found {
		if b.name == name {
			return b, true
		}
	}
	return backend{}, false
}

// prefer leaves out the back ends that failed, unless there is no other.
func prefer(found []backend, failed map[string]bool) []backend {
	var others []backend
	for _, b := range found {
		if !failed[b.name] {
			others = append(others, b)
		}
	}
	if len(others) == 0 {
		return found
	}
	return others
}

func (d *Dispatcher) candidates(config *configurer.Config, r Request, found []backend) []router.Candidate {
	var candidates []router.Candidate
	for _, b := range found {
		if r.Service == "" && d.tracker.InFlight(b.name) >= config.Admission.MaxInFlight {
			continue
		}
		candidates = append(candidates, router.Candidate{Group: b.name, Load: d.tracker.Load(b.name)})
	}
	return d.tracker.FilterEjected(time.Now(), candidates)
}

// policy returns the routing policy of the request's model or service.
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
		// The configuration was checked against the same names.
		panic(err)
	}
	policy = factory()
	d.policies[key] = policy
	return policy
}

// release counts the end of a try at a back end.
func (d *Dispatcher) release(b backend, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.End(time.Now(), b.name, failed)
}
