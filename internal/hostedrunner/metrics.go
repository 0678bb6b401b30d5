package hostedrunner

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/internal/relayer"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// gaugeLoop updates the gauges of this instance's state once every
// metricsInterval.
func (n *Node) gaugeLoop(ctx context.Context) {
	pacer.Repeat(ctx, metricsInterval, func(context.Context) {
		n.scope.Gauge("config_age_seconds").Update(n.observer.ConfigAge().Seconds())
		n.scope.Gauge("list_age_seconds").Update(n.observer.ListAge().Seconds())
		if config := n.observer.Config(); config != nil {
			n.scope.Gauge("config_version").Update(float64(config.Version))
		}
		n.scope.Gauge("live_requests").Update(float64(n.forwarder.ActiveRequests()))
		n.scope.Gauge("entry_instances").Update(float64(n.discoverer.Count()))
		n.scope.Gauge("peer_connections").Update(float64(n.pool.Connections()))
		n.forwarder.UpdatePoolGauges()
		n.scope.Gauge("log_lines_dropped").Update(float64(n.process.LinesDropped()))
	})
}

// storeMetrics wraps the platform's store and records the number, outcome and
// duration of the calls to it.
type storeMetrics struct {
	table  provider.Table
	source relayer.Platform
	scope  tally.Scope
}

func (m *storeMetrics) recordCall(op string, started time.Time, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	scope := m.scope.Tagged(map[string]string{"op": op, "outcome": outcome})
	scope.Counter("store_calls").Inc(1)
	scope.Histogram("store_call_time", callTimeBuckets).RecordDuration(time.Since(started))
}

// callTimeBuckets range from 4 ms, below the 8 ms of an undisturbed transaction,
// to 2 s, above the timeout of a store call.
var callTimeBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 10)

// Era implements [relayer.Platform].
func (m *storeMetrics) Era() uint64 { return m.source.Era() }

// Read implements [provider.Reader].
func (m *storeMetrics) Read(ctx context.Context, key string) (provider.Row, error) {
	started := time.Now()
	row, err := m.table.Read(ctx, key)
	m.recordCall("read", started, err)
	return row, err
}

// Scan implements [provider.Reader].
func (m *storeMetrics) Scan(ctx context.Context, prefix string) ([]provider.Row, error) {
	started := time.Now()
	rows, err := m.table.Scan(ctx, prefix)
	m.recordCall("scan", started, err)
	return rows, err
}

// Commit implements [provider.Committer].
func (m *storeMetrics) Commit(ctx context.Context, tx provider.Transaction) (provider.Outcome, error) {
	started := time.Now()
	outcome, err := m.table.Commit(ctx, tx)
	m.recordCall("commit", started, err)
	return outcome, err
}

// ReadInstances implements [relayer.Platform].
func (m *storeMetrics) ReadInstances(ctx context.Context, hold bool) (relayer.InstancesReading, error) {
	started := time.Now()
	reading, err := m.source.ReadInstances(ctx, hold)
	m.recordCall("read_instances", started, err)
	return reading, err
}

// ReadConfig implements [relayer.Platform].
func (m *storeMetrics) ReadConfig(ctx context.Context, hold bool) (relayer.ConfigReading, error) {
	started := time.Now()
	reading, err := m.source.ReadConfig(ctx, hold)
	m.recordCall("read_config", started, err)
	return reading, err
}
