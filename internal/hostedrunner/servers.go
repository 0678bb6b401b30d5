package hostedrunner

import (
	"net/http"
	"net/netip"

	"github.com/waxwingmount/waxwingmount/internal/partitioner"
	"github.com/waxwingmount/waxwingmount/internal/server"
)

// Parts returns what the parts of the process may take.
func (s Settings) Parts() partitioner.Parts {
	return partitioner.Divide(partitioner.Resources{MemoryBytes: s.MemoryBytes, Descriptors: server.MaxDescriptors(s.MaxDescriptors)})
}

// limiter returns the limiter of a listener at which the limits of the configuration hold.
func (n *Node) limiter(s server.LimiterSettings) *server.Limiter {
	s.Bounds, s.Scope = n.clientBounds, n.scope
	return server.NewLimiter(s)
}

// clientBounds returns what the configuration in force allows to clients.
func (n *Node) clientBounds() server.Bounds {
	config := n.observer.Config()
	if config == nil {
		return server.Bounds{}
	}
	return server.Bounds{HeaderBytes: config.Limits.HeaderBytes, HeadTimeout: config.Limits.HeadTimeout, IdleTimeout: config.Limits.IdleTimeout}
}

// startOtherServers starts the servers of readiness, the directory and metrics.
func (n *Node) startOtherServers() error {
	for _, s := range []struct {
		name        string
		address     netip.AddrPort
		handler     http.Handler
		connections int
	}{
		{"readiness", n.settings.ReadinessAddress, n.platform.NewReadinessHandler(n.ready), n.parts.ControlConnections},
		{"directory", n.settings.DirectoryAddress, n.platform.NewDirectoryHandler(n), n.parts.DirectoryConnections},
		{"metrics", n.settings.MetricsAddress, n.metricsHandler(), n.parts.ControlConnections},
	} {
		if !s.address.IsValid() {
			continue
		}
		limiter := n.limiter(server.LimiterSettings{Name: s.name, Connections: s.connections, Memory: n.parts.Control})
		if _, err := server.Start(s.address, s.handler, server.WithLimiter(limiter)); err != nil {
			return err
		}
	}
	return nil
}
