package hostedrunner

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/internal/relayer"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// gaugeLoop keeps the metrics that tell how things stand.
func (n *Node) gaugeLoop(ctx context.Context) {
	pacer.Repeat(ctx, metricInterval, func(context.Context) {
		n.scope.Gauge("config_age_seconds").Update(n.observer.ConfigAge().Seconds())
		n.scope.Gauge("list_age_seconds").Update(n.observer.ListAge().Seconds())
		if config := n.observer.Config(); config != nil {
			n.scope.Gauge("config_version").Update(float64(config.Version))
		}
		n.scope.Gauge("live_requests").Update(float64(n.forwarder.ActiveRequests()))
		n.scope.Gauge("entry_instances").Update(float64(len(n.introducer.Live())))
		n.scope.Gauge("log_lines_dropped").Update(float64(n.process.LinesDropped()))
	})
}

// storeMeter counts the calls to the platform's store.
type storeMeter struct {
	table  provider.Table
	source relayer.Platform
	scope  tally.Scope
}

func (m *storeMeter) count(op string, began time.Time, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	scope := m.scope.Tagged(map[string]string{"op": op, "outcome": outcome})
	scope.Counter("store_calls").Inc(1)
	scope.Histogram("store_call_time", storeBuckets).RecordDuration(time.Since(began))
}

// storeBuckets go from an undisturbed transaction to the end of patience.
var storeBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 10)

// Read implements [provider.Reader].
func (m *storeMeter) Read(ctx context.Context, key string) (provider.Row, error) {
	began := time.Now()
	row, err := m.table.Read(ctx, key)
	m.count("read", began, err)
	return row, err
}

// Scan implements [provider.Reader].
func (m *storeMeter) Scan(ctx context.Context, prefix string) ([]provider.Row, error) {
	began := time.Now()
	rows, err := m.table.Scan(ctx, prefix)
	m.count("scan", began, err)
	return rows, err
}

// Commit implements [provider.Committer].
func (m *storeMeter) Commit(ctx context.Context, tx provider.Transaction) (provider.Outcome, error) {
	began := time.Now()
	outcome, err := m.table.Commit(ctx, tx)
	m.count("commit", began, err)
	return outcome, err
}

// ListInstances implements [provider.Lister].
func (m *storeMeter) ListInstances(ctx context.Context) ([]provider.Instance, error) {
	began := time.Now()
	instances, err := m.source.ListInstances(ctx)
	m.count("list_instances", began, err)
	return instances, err
}

// ReadConfig implements [relayer.Platform].
func (m *storeMeter) ReadConfig(ctx context.Context) (*mapper.RouteTable, error) {
	began := time.Now()
	config, err := m.source.ReadConfig(ctx)
	m.count("read_config", began, err)
	return config, err
}
