package configurer

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/decoder"
	"github.com/waxwingmount/waxwingmount/pkg/router"
)

// Bounds of accepted values.
const (
	maxGroupSize       = 64
	maxGroups          = 100_000
	maxBodyBytes       = 64 << 20
	maxRequestCount    = 1_000_000
	maxRate            = 1e6
	maxWeight          = 1_000_000
	maxPriority        = 100
	maxSpares          = 1_000
	maxProbersPerGroup = 16
	maxDeadline        = time.Hour
	minProbeInterval   = 10 * time.Millisecond
	maxProbeInterval   = 10 * time.Second
	maxEvidenceTTL     = time.Minute
)

// Parse parses and checks a base file and overlays, and returns the merged
// configuration. The error lists the schema errors of all sections. Rules that
// concern several keys are checked only if there are none, up to the first that is
// violated.
func Parse(sources ...decoder.Source) (*Config, error) {
	document, err := decoder.Parse(sources...)
	if err != nil {
		return nil, err
	}
	b := &builder{config: defaults()}
	if err := document.Decode(b.schema, acceptedSections, "system"); err != nil {
		return nil, err
	}
	if err := b.build(); err != nil {
		return nil, err
	}
	return b.config, nil
}

const acceptedSections = "[system], [gate], [admission], [capacity], [model.NAME], [service.NAME], [route.NAME], [class.NAME], [organisation.NAME]"

func defaults() *Config {
	return &Config{
		Gate:          Gate{ProbeInterval: 250 * time.Millisecond, EvidenceTTL: time.Second, ProbersPerGroup: 3},
		Admission:     Admission{MaxInFlight: 64, QueueLength: 256, RetryRatio: 0.1, MaxBodyBytes: 1 << 20},
		Capacity:      Capacity{ManageGroups: true},
		Models:        make(map[string]Model),
		Services:      make(map[string]Service),
		Classes:       make(map[string]Class),
		Organisations: make(map[string]Organisation),
		nameByKeyHash: make(map[string]string),
	}
}

// builder collects the values of the sections, assigns them to the configuration,
// and checks the rules that concern more than one key or section.
type builder struct {
	config      *Config
	assignments []func()
	validations []func() error
}

func (b *builder) schema(s *decoder.Section) ([]decoder.Field, bool) {
	if named := s.Name != ""; named != slices.Contains(namedSections, s.Kind) {
		return nil, false
	}
	switch s.Kind {
	case "system":
		return []decoder.Field{decoder.Required(decoder.String("deployment", &b.config.Deployment))}, true
	case "gate":
		return b.gate(s), true
	case "admission":
		return b.admission(), true
	case "capacity":
		return b.capacity(), true
	case "model":
		return b.model(s), true
	case "service":
		return b.service(s), true
	case "route":
		return b.route(s), true
	case "class":
		return b.class(s), true
	case "organisation":
		return b.organisation(s), true
	}
	return nil, false
}

var namedSections = []string{"model", "service", "route", "class", "organisation"}

func (b *builder) gate(s *decoder.Section) []decoder.Field {
	g := &b.config.Gate
	b.validations = append(b.validations, func() error {
		if g.EvidenceTTL < 2*g.ProbeInterval {
			return s.KeyError("evidence_ttl", "shorter than two probe intervals", "at least twice probe_interval")
		}
		return nil
	})
	return []decoder.Field{
		decoder.Duration("probe_interval", &g.ProbeInterval, minProbeInterval, maxProbeInterval),
		decoder.Duration("evidence_ttl", &g.EvidenceTTL, minProbeInterval, maxEvidenceTTL),
		decoder.Int("watchers", &g.ProbersPerGroup, 1, maxProbersPerGroup),
	}
}

func (b *builder) admission() []decoder.Field {
	a := &b.config.Admission
	return []decoder.Field{
		decoder.Int("max_in_flight", &a.MaxInFlight, 1, maxRequestCount),
		decoder.Int("queue_length", &a.QueueLength, 0, maxRequestCount),
		decoder.Float("retry_ratio", &a.RetryRatio, 0, 1),
		decoder.Int("max_body_bytes", &a.MaxBodyBytes, 1, maxBodyBytes),
	}
}

func (b *builder) capacity() []decoder.Field {
	c := &b.config.Capacity
	return []decoder.Field{
		decoder.Bool("control", &c.ManageGroups),
		decoder.Int("spares", &c.Spares, 0, maxSpares),
		decoder.Duration("repair_delay", &c.RepairDelay, 0, time.Hour),
	}
}

func (b *builder) model(s *decoder.Section) []decoder.Field {
	m := &Model{Name: s.Name, InstancesPerGroup: 1, FencingEnforced: true}
	fencing := "enforced"
	b.assignments = append(b.assignments, func() {
		m.FencingEnforced = fencing == "enforced"
		b.config.Models[m.Name] = *m
	})
	return []decoder.Field{
		decoder.Required(decoder.String("version", &m.Version)),
		decoder.Int("instances_per_group", &m.InstancesPerGroup, 1, maxGroupSize),
		decoder.Required(decoder.Int("groups", &m.Groups, 0, maxGroups)),
		decoder.OneOf("policy", &m.Policy, router.Policies.Names()...),
		decoder.OneOf("fencing", &fencing, "enforced", "ignored"),
	}
}

func (b *builder) service(s *decoder.Section) []decoder.Field {
	service := &Service{Name: s.Name}
	b.assignments = append(b.assignments, func() { b.config.Services[service.Name] = *service })
	return []decoder.Field{decoder.Required(decoder.Addresses("addresses", &service.Addresses))}
}

func (b *builder) route(s *decoder.Section) []decoder.Field {
	r := &Route{Name: s.Name, IdempotentMethods: []string{"GET", "HEAD"}}
	b.assignments = append(b.assignments, func() { b.config.Routes = append(b.config.Routes, *r) })
	b.validations = append(b.validations, func() error {
		if !strings.HasPrefix(r.PathPrefix, "/") || strings.HasPrefix(r.PathPrefix, "/v1/") {
			return s.KeyError("path_prefix", "not a path for services", "a path that begins with / and not with /v1/")
		}
		if _, known := b.config.Services[r.Service]; !known {
			return s.KeyError("service", "no such service", "the name of a [service.NAME] section")
		}
		return nil
	})
	return []decoder.Field{
		decoder.Required(decoder.String("path_prefix", &r.PathPrefix)),
		decoder.Required(decoder.String("service", &r.Service)),
		decoder.List("idempotent_methods", &r.IdempotentMethods),
	}
}

func (b *builder) class(s *decoder.Section) []decoder.Field {
	class := &Class{Name: s.Name, Deadline: time.Minute}
	b.assignments = append(b.assignments, func() { b.config.Classes[class.Name] = *class })
	return []decoder.Field{
		decoder.Required(decoder.Int("priority", &class.Priority, 0, maxPriority)),
		decoder.Duration("deadline", &class.Deadline, time.Millisecond, maxDeadline),
	}
}

func (b *builder) organisation(s *decoder.Section) []decoder.Field {
	o := &Organisation{Name: s.Name, RequestsPerSecond: maxRate, Weight: 1}
	b.assignments = append(b.assignments, func() { b.config.Organisations[o.Name] = *o })
	b.validations = append(b.validations, func() error {
		if raw, err := hex.DecodeString(o.KeySHA256); err != nil || len(raw) != 32 {
			return s.KeyError("key_sha256", "not a SHA-256 hash", "64 hexadecimal digits")
		}
		if other, taken := b.config.nameByKeyHash[strings.ToLower(o.KeySHA256)]; taken {
			return s.KeyError("key_sha256", "the key belongs to organisation "+other+" too", "a hash of its own")
		}
		b.config.nameByKeyHash[strings.ToLower(o.KeySHA256)] = o.Name
		if _, known := b.config.Classes[o.Class]; !known {
			return s.KeyError("class", "no such class", "the name of a [class.NAME] section")
		}
		return nil
	})
	return []decoder.Field{
		decoder.Required(decoder.String("key_sha256", &o.KeySHA256)),
		decoder.Required(decoder.String("class", &o.Class)),
		decoder.Float("requests_per_second", &o.RequestsPerSecond, 0, maxRate),
		decoder.Int("weight", &o.Weight, 1, maxWeight),
	}
}

// build adds the named sections to the configuration, validates it, and sorts the
// routes by decreasing prefix length, so that the longest match comes first.
func (b *builder) build() error {
	for _, assign := range b.assignments {
		assign()
	}
	for _, validate := range b.validations {
		if err := validate(); err != nil {
			return err
		}
	}
	slices.SortFunc(b.config.Routes, func(a, b Route) int {
		return len(b.PathPrefix) - len(a.PathPrefix)
	})
	return nil
}
