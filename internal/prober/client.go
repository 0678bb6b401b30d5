package prober

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/gatekeeper"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
)

const (
	probeTimeout = 500 * time.Millisecond
	// maxReportBytes and maxHeaderBytes bound the response of an engine to a probe.
	maxReportBytes = 64 << 10
	maxHeaderBytes = 64 << 10
	// noIdleConns makes a transport close each connection after one response. On a connection
	// that is in use again, a late second copy of a report would count as fresh evidence.
	noIdleConns = -1
)

// client fetches the reports of engines over HTTP.
type client struct {
	http *http.Client
}

func newClient() *client {
	transport := responsechecker.Wrap(&http.Transport{MaxIdleConnsPerHost: noIdleConns, MaxResponseHeaderBytes: maxHeaderBytes})
	return &client{http: &http.Client{Transport: transport, Timeout: probeTimeout}}
}

// probe probes one instance. It reports false if the probe was inconclusive: a
// missing answer does not prove a loss, and earlier evidence expires by itself.
// A refused connection, or an answer from another instance, proves a loss.
func (c *client) probe(ctx context.Context, t target) (gatekeeper.Evidence, bool) {
	sent := time.Now()
	report, err := c.fetchReport(ctx, t.address)
	switch {
	case err == nil && report.Instance == t.instance:
		return gatekeeper.Evidence{Report: report, ObservedAt: sent}, true
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		lost := reconciler.Report{Instance: t.instance}
		return gatekeeper.Evidence{Report: lost, ObservedAt: sent, Lost: true}, true
	}
	return gatekeeper.Evidence{}, false
}

func (c *client) fetchReport(ctx context.Context, address netip.AddrPort) (reconciler.Report, error) {
	var report reconciler.Report
	source := url.URL{Scheme: "http", Host: address.String(), Path: "/report"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source.String(), nil)
	if err != nil {
		return report, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	data, err := bounder.ReadAll(response.Body, maxReportBytes, nil)
	if err != nil {
		return report, err
	}
	if response.StatusCode != http.StatusOK {
		return report, errors.Newf("status %d", response.StatusCode)
	}
	return report, json.Unmarshal(data, &report)
}
