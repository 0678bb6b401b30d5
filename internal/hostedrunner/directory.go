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

// Directory tells callers which entry instances to use.
type Directory interface {
	// Addresses returns the addresses for a caller in a data centre, and how
	// long to keep them.
	Addresses(dataCentre string, limit int) ([]netip.AddrPort, time.Duration)
}

// Addresses implements [Directory]. It leaves out the instances that are
// leaving, silent or without a current configuration.
func (n *Node) Addresses(_ string, limit int) ([]netip.AddrPort, time.Duration) {
	var addresses []netip.AddrPort
	for _, m := range n.introducer.Live() {
		if !m.Leaving && m.ConfigVersion > 0 {
			addresses = append(addresses, m.Caller)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(limit, len(addresses))], min(keepAnswer, n.settings.AddressTTL)
}

// ready reports whether this instance may be counted on.
func (n *Node) ready() bool { return n.current() && !n.introducer.Self().Leaving }

// current reports whether the configuration is proved to be young enough.
func (n *Node) current() bool {
	age := time.Duration(staleShare * float64(n.settings.KeyTTL))
	return n.observer.Config() != nil && n.observer.ConfigAge() < age
}

// memberLoop publishes whether this instance serves. A member with no version
// of the configuration does not offer itself.
func (n *Node) memberLoop(ctx context.Context) {
	pacer.Repeat(ctx, heartbeatInterval, func(context.Context) {
		version := uint64(0)
		if n.current() {
			version = n.observer.Config().Version
		}
		n.introducer.Update(func(m *gossiper.Member) { m.ConfigVersion = version })
	})
}

// metrics returns the handler for the metrics address.
func (n *Node) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return mux
}
