package commander

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/loadgenerator"
	"github.com/waxwingmount/waxwingmount/pkg/caller"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

func init() {
	register(verb{name: "load", help: "Load the system with completions and show what callers see.", flags: load})
}

// loadFlags are the flags of the load verb.
type loadFlags struct {
	seeds   string
	direct  string
	key     string
	tlsFile string
	plan    loadgenerator.Plan
}

func load(sub *flaggy.Subcommand) func(*session) error {
	f := &loadFlags{seeds: "127.0.0.1:8000", plan: loadgenerator.Plan{
		Model:       "assist",
		Callers:     1,
		Duration:    10 * time.Second,
		MaxTokens:   100,
		PromptBytes: 512,
		Timeout:     time.Minute,
	}}
	sub.String(&f.seeds, "", "seeds", "Entry instances to ask for addresses, parted by commas.")
	sub.String(&f.direct, "", "direct", "Send straight to this engine instead, for comparison.")
	sub.String(&f.key, "", "key", "The organisation's bearer key.")
	sub.String(&f.tlsFile, "", "caller-authority", "A file with the certificate authority of the entry instances.")
	sub.String(&f.plan.Model, "", "model", "The model to ask for.")
	sub.Float64(&f.plan.Rate, "", "rate", "Requests a second of an open load; zero makes it closed.")
	sub.Int(&f.plan.Callers, "", "callers", "Callers of a closed load.")
	sub.Duration(&f.plan.Duration, "", "duration", "How long to send.")
	sub.Int(&f.plan.MaxTokens, "", "tokens", "Tokens of each completion.")
	sub.Int(&f.plan.PromptBytes, "", "prompt-bytes", "Length of each prompt.")
	sub.Int(&f.plan.SharedPrefixBytes, "", "shared-bytes", "How much of each prompt is the same in all.")
	sub.Duration(&f.plan.Timeout, "", "timeout", "Bound of each request.")
	return func(s *session) error {
		client, err := f.client()
		if err != nil {
			return err
		}
		f.plan.Client = client
		report := loadgenerator.Run(context.Background(), f.plan)
		return s.print(report, func() [][]string { return loadRows(report) })
	}
}

func (f *loadFlags) client() (*caller.Client, error) {
	options := []caller.Option{caller.WithKey(f.key)}
	if f.tlsFile != "" {
		pem, err := os.ReadFile(f.tlsFile)
		if err != nil {
			return nil, faulter.New("read authority", KindUsage, err)
		}
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(pem)
		options = append(options, caller.WithTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}))
	}
	text := f.seeds
	if f.direct != "" {
		text = f.direct
	}
	var addresses []netip.AddrPort
	for _, part := range strings.Split(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, usagef("load", "%q is not an IP address and port", part)
		}
		addresses = append(addresses, address)
	}
	if f.direct != "" {
		options = append(options, caller.WithFixedAddresses())
	}
	return caller.New(addresses, options...), nil
}

func loadRows(r loadgenerator.Report) [][]string {
	rows := [][]string{
		{"sent", strconv.Itoa(r.Sent)},
		{"lost", strconv.Itoa(r.NoResponse)},
		{"retried", strconv.Itoa(r.Retried)},
		{"wrong length", strconv.Itoa(r.WrongLength)},
		{"tokens/s", fmt.Sprintf("%.0f", r.TokensPerSecond)},
	}
	for _, outcome := range sortedKeys(r.Outcomes) {
		rows = append(rows, []string{outcome, strconv.Itoa(r.Outcomes[outcome])})
	}
	rows = append(rows, []string{}, []string{"", "P50", "P95", "P99", "MAX"})
	rows = append(rows, quantileRow("first token", r.TimeToFirstToken), quantileRow("gap", r.TokenGap))
	return rows
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func quantileRow(name string, q loadgenerator.Quantiles) []string {
	row := []string{name}
	for _, us := range []int64{q.P50, q.P95, q.P99, q.Max} {
		row = append(row, (time.Duration(us) * time.Microsecond).String())
	}
	return row
}
