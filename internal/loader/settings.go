// Package loader loads the settings of one entry instance's process: its
// addresses, its data centre, the platform's address, and its keys. Settings of
// the whole system are part of the operators' configuration; see package
// configurer.
//
// # Usage
//
//	settings, err := loader.Load("entry.ini")
package loader

import (
	"net/netip"
	"os"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/decoder"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// Settings are the settings of one entry instance's process, read at its start.
type Settings struct {
	// ID is the id of the entry instance.
	ID         string
	DataCentre string
	// CallerAddress, PeerAddress and OperatorAddress are the addresses to listen on
	// for callers, for peers and for operators.
	CallerAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
	// Platform is the name of the platform's plug-in, and PlatformAddress the
	// platform's address.
	Platform        string
	PlatformAddress netip.AddrPort
	// Seeds are addresses of peers to contact while the table is unavailable.
	Seeds []netip.AddrPort
	// AddressTTL is how long callers may cache the addresses of entry instances.
	AddressTTL time.Duration
	// DrainTimeout is how long a shutdown waits for requests in progress. The
	// default is the maximum deadline of a class.
	DrainTimeout time.Duration
	// HeartbeatInterval is the time between two gossip exchanges with peers.
	HeartbeatInterval time.Duration
	// Degree is how many peers to gossip with.
	Degree int
	// TraceFile is the path of the file for trace spans; empty means no traces.
	TraceFile string
	LogLevel  string
	TLS       TLS
	Limits    Limits
	// OperatorToken is the bearer token that operators' requests need; empty
	// means none.
	OperatorToken string
	// PeerToken is the token that peers' connections need; empty means none.
	PeerToken string
}

// Limits are what the process may take of its instance; zero means that it is not known.
type Limits struct {
	// MemoryMB is the memory in units of 2^20 bytes.
	MemoryMB    int
	Descriptors int
}

// TLS holds the paths of the TLS key and certificate files; empty paths turn TLS
// off.
type TLS struct {
	CertificateFile string
	KeyFile         string
	// CAFile is the certificate file of the authority that signs peers'
	// certificates.
	CAFile string
}

// Enabled reports whether connections are encrypted.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

const (
	// A process with less than minMemoryMB or minDescriptors can't serve.
	minMemoryMB    = 64
	maxMemoryMB    = 1 << 20
	minDescriptors = 256
	maxDescriptors = 1 << 20
)

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Platform:          "http",
		AddressTTL:        5 * time.Second,
		DrainTimeout:      time.Hour,
		HeartbeatInterval: 500 * time.Millisecond,
		Degree:            4,
		LogLevel:          "info",
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(decoder.Source{Name: path, Data: data})
}

// Parse checks the content of a settings file.
func Parse(source decoder.Source) (Settings, error) {
	s := Defaults()
	document, err := decoder.Parse(source)
	if err != nil {
		return s, err
	}
	return s, document.Decode(s.schema, "[entry], [platform], [peers], [tls], [operator], [limits]",
		"entry", "platform", "peers", "operator")
}

func (s *Settings) schema(section *decoder.Section) ([]decoder.Field, bool) {
	switch section.Kind {
	case "entry":
		return s.entry(), section.Name == ""
	case "platform":
		return []decoder.Field{
			decoder.OneOf("plugin", &s.Platform, provider.Platforms.Names()...),
			decoder.Required(decoder.Address("address", &s.PlatformAddress)),
		}, section.Name == ""
	case "peers":
		return []decoder.Field{
			decoder.Required(decoder.Address("address", &s.PeerAddress)),
			decoder.Addresses("seeds", &s.Seeds),
			decoder.Duration("heartbeat_interval", &s.HeartbeatInterval, 10*time.Millisecond, time.Minute),
			decoder.Int("degree", &s.Degree, 1, 64),
			decoder.String("token", &s.PeerToken),
		}, section.Name == ""
	case "tls":
		return []decoder.Field{
			decoder.Required(decoder.String("certificate", &s.TLS.CertificateFile)),
			decoder.Required(decoder.String("key", &s.TLS.KeyFile)),
			decoder.Required(decoder.String("authority", &s.TLS.CAFile)),
		}, section.Name == ""
	case "limits":
		return []decoder.Field{
			decoder.Int("memory_mb", &s.Limits.MemoryMB, minMemoryMB, maxMemoryMB),
			decoder.Int("descriptors", &s.Limits.Descriptors, minDescriptors, maxDescriptors),
		}, section.Name == ""
	case "operator":
		return []decoder.Field{
			decoder.Required(decoder.Address("address", &s.OperatorAddress)),
			decoder.String("token", &s.OperatorToken),
		}, section.Name == ""
	}
	return nil, false
}

func (s *Settings) entry() []decoder.Field {
	return []decoder.Field{
		decoder.Required(decoder.String("id", &s.ID)),
		decoder.Required(decoder.String("data_centre", &s.DataCentre)),
		decoder.Required(decoder.Address("address", &s.CallerAddress)),
		decoder.Duration("keep_answer", &s.AddressTTL, 100*time.Millisecond, 10*time.Minute),
		decoder.Duration("drain_timeout", &s.DrainTimeout, 0, time.Hour),
		decoder.String("trace_file", &s.TraceFile),
		decoder.OneOf("log_level", &s.LogLevel, "debug", "info", "warn", "error"),
	}
}
