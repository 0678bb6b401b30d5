package hostedrunner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// Directory returns the addresses of the entry instances that callers should use.
type Directory interface {
	// Addresses returns up to limit addresses for a caller in a data centre, and
	// how long the caller may cache them.
	Addresses(dataCentre string, limit int) ([]netip.AddrPort, time.Duration)
}

// Addresses implements [Directory]. It leaves out instances that are shutting
// down, that do not respond to peers, or that have no current configuration.
func (n *Node) Addresses(_ string, limit int) ([]netip.AddrPort, time.Duration) {
	addresses := advertised(n.discoverer.Live())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(limit, len(addresses))], min(maxAddressTTL, n.settings.AddressTTL)
}

// advertised returns the caller addresses of the members that callers should use. Members
// whose path to servers is cut are left out, unless fewer than half would remain: these
// would have to take all callers, while the others can hand requests to them.
func advertised(members []gossiper.Member) []netip.AddrPort {
	var all, connected []netip.AddrPort
	for _, m := range members {
		if m.Leaving || m.ConfigVersion == 0 {
			continue
		}
		all = append(all, m.Caller)
		if !m.PathCut {
			connected = append(connected, m.Caller)
		}
	}
	if 2*len(connected) < len(all) {
		return all
	}
	return connected
}

// ready reports whether this instance can serve requests.
func (n *Node) ready() bool { return n.configFresh() && !n.discoverer.Self().Leaving }

// configFresh reports whether the configuration was confirmed recently enough
// for this instance to advertise itself.
func (n *Node) configFresh() bool {
	age := time.Duration(staleConfigFraction * float64(n.settings.KeyTTL))
	return n.observer.Config() != nil && n.observer.ConfigAge() < age
}

// publishFreshnessLoop publishes whether this instance can serve, and whether its path to
// backend servers is cut. A member whose
// configuration version is zero is not offered to callers. The record keeps the first
// version after that: if it followed each one, every change of the configuration would
// change the records of all members. Exchanges carry the current version.
func (n *Node) publishFreshnessLoop(ctx context.Context) {
	pacer.Repeat(ctx, heartbeatInterval, func(context.Context) {
		fresh, cut := n.configFresh(), n.observer.MostlyCut()
		n.discoverer.Update(func(m *gossiper.Member) {
			m.PathCut = cut
			switch {
			case !fresh:
				m.ConfigVersion = 0
			case m.ConfigVersion == 0:
				m.ConfigVersion = max(1, n.observer.Config().Version)
			}
		})
	})
}

// metricsHandler returns the handler of the metrics address.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return mux
}
