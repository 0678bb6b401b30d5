// Package demonstrator runs a complete system in one process: real entry
// instances, and emulators of the platform, the model engines and a plain
// service. It is for demonstrations and experiments, not for production.
//
// # Usage
//
//	system, err := demonstrator.Start(ctx, demonstrator.Settings{Entries: 3, Groups: 2})
//	fmt.Println(system.Callers)
package demonstrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/engineemulator"
	"github.com/waxwingmount/waxwingmount/internal/loader"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/platformemulator"
	"github.com/waxwingmount/waxwingmount/internal/starter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// Key is the bearer key of the organisation in the demonstration's configuration.
const Key = "demonstration-key"

// groupSize is the number of instances in a group.
const groupSize = 4

// Settings holds the size of the system and the options of its processes.
type Settings struct {
	Entries int
	Groups  int
	// TokenInterval is the time between two tokens of the emulated engines.
	TokenInterval time.Duration
	// TraceFile is the file that receives the trace spans of the entry instances;
	// if it is empty, no spans are written.
	TraceFile string
}

// System is a running demonstration.
type System struct {
	CallerAddresses   []netip.AddrPort
	OperatorAddresses []netip.AddrPort
	EngineAddresses   []netip.AddrPort
	// Config is the configuration for the caller to apply. Start does not apply it.
	Config []byte
	// Stopped is closed when every entry instance has stopped.
	Stopped chan struct{}
}

const configText = `[system]
deployment = demonstration

[class.demo]
priority = 0
deadline = 1m

[organisation.demo]
key_sha256 = %s
class = demo

[model.assist]
version = 1
instances_per_group = %d
groups = %d

[service.portal]
addresses = %s

[route.portal]
path_prefix = /portal/
service = portal
`

// Start starts all parts of the system on loopback addresses. The entry instances
// stop when ctx is done.
func Start(ctx context.Context, s Settings) (*System, error) {
	system := &System{Stopped: make(chan struct{})}
	store := platformemulator.NewStore()
	platform, err := serve(platformemulator.NewHandler(store))
	if err != nil {
		return nil, err
	}
	if err := system.startEngines(ctx, s, store); err != nil {
		return nil, err
	}
	service, err := serve(engineemulator.NewService("portal", 0, io.Discard, func() {}))
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256([]byte(Key))
	system.Config = fmt.Appendf(nil, configText, hex.EncodeToString(sum[:]), groupSize, s.Groups, service)
	return system, system.startEntries(ctx, s, platform)
}

func (system *System) startEngines(ctx context.Context, s Settings, store *platformemulator.Store) error {
	for i := range s.Groups * groupSize {
		id := fmt.Sprintf("instance-%d", i+1)
		engine := engineemulator.New(id, engineemulator.WithTokenInterval(s.TokenInterval))
		engine.Start(ctx)
		address, err := serve(engine.Handler())
		if err != nil {
			return err
		}
		system.EngineAddresses = append(system.EngineAddresses, address)
		store.PutInstance(provider.Instance{
			ID:           id,
			Address:      address,
			FabricDomain: fmt.Sprintf("fabric-%d", i/groupSize+1),
			DataCentre:   "hall-a",
		})
	}
	return nil
}

func (system *System) startEntries(ctx context.Context, s Settings, platform netip.AddrPort) error {
	var stopped []chan struct{}
	var seeds []netip.AddrPort
	for i := range s.Entries {
		settings := loader.Defaults()
		settings.ID = fmt.Sprintf("entry-%d", i+1)
		settings.DataCentre = "hall-a"
		settings.PlatformAddress = platform
		settings.AddressTTL = time.Second
		settings.Seeds = seeds
		settings.TraceFile = s.TraceFile
		for _, address := range []*netip.AddrPort{&settings.CallerAddress, &settings.PeerAddress, &settings.OperatorAddress} {
			free, err := freeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		seeds = append(seeds, settings.PeerAddress)
		node, err := starter.New(settings, logger.NewProcess(settings.ID), provider.NewHTTP(platform))
		if err != nil {
			return err
		}
		done := make(chan struct{})
		stopped = append(stopped, done)
		go func() {
			defer close(done)
			node.Run(ctx)
		}()
		system.CallerAddresses = append(system.CallerAddresses, settings.CallerAddress)
		system.OperatorAddresses = append(system.OperatorAddresses, settings.OperatorAddress)
	}
	go func() {
		for _, done := range stopped {
			<-done
		}
		close(system.Stopped)
	}()
	return nil
}

// serve serves a handler at a free loopback address and returns the address.
func serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	go http.Serve(listener, handler)
	return netip.ParseAddrPort(listener.Addr().String())
}

func freeAddress() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return netip.ParseAddrPort(listener.Addr().String())
}
