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
	register(command{name: "load", help: "Generate completion requests and report outcomes and latencies as callers see them.", setup: load})
}

// loadFlags holds the flags of the load command.
type loadFlags struct {
	seeds         string
	directAddress string
	key           string
	caFile        string
	plan          loadgenerator.Plan
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
	sub.String(&f.seeds, "", "seeds", "Entry instances to ask for addresses, separated by commas.")
	sub.String(&f.directAddress, "", "direct", "Send directly to this engine instead, for comparison.")
	sub.String(&f.key, "", "key", "The organisation's bearer key.")
	sub.String(&f.caFile, "", "caller-authority", "A file with the certificate authority of the entry instances.")
	sub.String(&f.plan.Model, "", "model", "The model to request.")
	sub.Float64(&f.plan.Rate, "", "rate", "Requests per second of an open-loop load; zero means a closed-loop load.")
	sub.Int(&f.plan.Callers, "", "callers", "Concurrent callers of a closed-loop load.")
	sub.Duration(&f.plan.Duration, "", "duration", "How long to send requests.")
	sub.Int(&f.plan.MaxTokens, "", "tokens", "Tokens of each completion.")
	sub.Int(&f.plan.PromptBytes, "", "prompt-bytes", "The length of each prompt in bytes.")
	sub.Int(&f.plan.SharedPrefixBytes, "", "shared-bytes", "The length in bytes of the prefix that all prompts share.")
	sub.Duration(&f.plan.Timeout, "", "timeout", "The timeout of each request.")
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
	if f.caFile != "" {
		pem, err := os.ReadFile(f.caFile)
		if err != nil {
			return nil, faulter.New("read authority", KindUsage, err)
		}
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(pem)
		options = append(options, caller.WithTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}))
	}
	text := f.seeds
	if f.directAddress != "" {
		text = f.directAddress
	}
	var addresses []netip.AddrPort
	for _, part := range strings.Split(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, usagef("load", "%q is not an IP address and port", part)
		}
		addresses = append(addresses, address)
	}
	if f.directAddress != "" {
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
