package forwarder

import (
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
	"github.com/waxwingmount/waxwingmount/pkg/warmer"
)

// entriesInterval is the time between two looks at the live entry instances, which is that
// of their heartbeats.
const entriesInterval = 250 * time.Millisecond

// warmUps is what an entry instance knows of cold servers.
type warmUps struct {
	// warmer is guarded by the forwarder's lock. Only the loop uses the other fields.
	warmer *warmer.Warmer
	// limited reports whether the last configuration limits the cold servers of a service.
	limited bool
	// entriesAt is when the live entry instances were last applied.
	entriesAt time.Time
}

// warmUpLimit returns the limit of a service's cold servers.
func (f *Forwarder) warmUpLimit(service mapper.Service) warmer.Limit {
	s := f.settings.Load()
	return warmer.Limit{WarmUp: service.WarmUp, PerSecond: service.WarmUpRate, Overage: s.WarmUpOverage, Slack: s.WarmUpSlack}
}

// listed returns what the list says of a server.
func listed(in provider.Instance, limit warmer.Limit) warmer.Listed {
	return warmer.Listed{
		Server: limitKey(in), Limit: limit,
		Statement: warmer.Statement{Stated: in.WarmupStated, Left: in.WarmupLeft, Count: in.Sequence},
	}
}

// updateWarmUps applies the list of backend servers and the configuration to the cold
// servers.
func (f *Forwarder) updateWarmUps() {
	limits, limited := f.warmUpLimits()
	if !limited && !f.warmUps.limited {
		return
	}
	// A server whose service is configured later has not started then.
	var instances []provider.Instance
	f.Observer.WithTracker(func(t *tracker.Tracker) { instances = t.Listed() })
	servers := make([]warmer.Listed, 0, len(instances))
	for _, in := range instances {
		servers = append(servers, listed(in, limits[in.Service]))
	}
	idle := f.Idle()
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	// Servers that were listed while nothing was limited have not started since.
	f.warmUps.warmer.Update(now, servers, idle || !f.warmUps.limited)
	f.warmUps.limited = limited
}

// warmUpLimits returns the limits of cold servers by service, and whether there are any.
func (f *Forwarder) warmUpLimits() (limits map[string]warmer.Limit, limited bool) {
	config := f.Observer.Config()
	if config == nil {
		return nil, false
	}
	limits = make(map[string]warmer.Limit, len(config.Services))
	for _, s := range config.Services {
		limits[s.Name] = f.warmUpLimit(s)
		limited = limited || s.WarmUpRate > 0
	}
	return limits, limited
}

// updateWarmUpEntries applies the live entry instances, and logs which servers have become
// cold or warm. Only the loop calls it.
func (f *Forwarder) updateWarmUpEntries() {
	now := clocker.Now()
	if !f.warmUps.limited || now.Sub(f.warmUps.entriesAt) < entriesInterval {
		return
	}
	f.warmUps.entriesAt = now
	entries := f.Peers.Entries()
	f.mu.Lock()
	f.warmUps.warmer.SetEntries(now, entries, f.settings.Load().FewestEntries)
	changes := f.warmUps.warmer.Changes(now)
	cold := f.warmUps.warmer.Cold(now)
	f.mu.Unlock()
	f.metrics.coldServers.Update(float64(cold))
	for _, c := range changes {
		id, _, _ := strings.Cut(c.Server, "/")
		line := log.WithField(logger.FieldInstance, id)
		if c.Cold {
			line.WithField("left_ms", c.Left.Milliseconds()).Info(logger.LineServerCold)
		} else {
			line.Info(logger.LineServerWarm)
		}
	}
}

// confirmWarmUp reports whether an attempt may be sent now, as far as its server is cold.
func (f *Forwarder) confirmWarmUp(a *activeAttempt) bool {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	allowance, allowed := f.warmUps.warmer.Confirm(now, limitKey(a.upstream.head()), a.allowance)
	a.allowance = allowance
	return allowed
}

// HandleWarmup records for how long a backend server has said that it is cold, in response
// to a probe that was sent at sentAt.
func (f *Forwarder) HandleWarmup(in provider.Instance, sentAt time.Time, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warmUps.warmer.ObserveProbe(clocker.Now(), sentAt, limitKey(in), left)
}

// HandleReturn records that the backend servers of a data centre may get requests again
// after its evacuation.
func (f *Forwarder) HandleReturn(dataCentre string) {
	var instances []provider.Instance
	f.Observer.WithTracker(func(t *tracker.Tracker) { instances = t.Instances() })
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, in := range instances {
		if in.DataCentre == dataCentre {
			f.warmUps.warmer.NoteReturn(now, limitKey(in))
		}
	}
}
