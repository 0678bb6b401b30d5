package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/normalizer"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
)

// callTimeout is the timeout of one call to the platform.
const callTimeout = 2 * time.Second

func init() {
	Platforms.Register("http", func(address netip.AddrPort) (Platform, error) {
		return NewHTTP(address), nil
	})
	Platforms.SetFallback("http")
}

const (
	// maxResponseBytes bounds a response of the platform, which may be a whole object;
	// maxHeaderBytes bounds its header.
	maxResponseBytes = 32 << 20
	maxHeaderBytes   = 64 << 10
)

// HTTP is a client of a platform that is called over HTTP with JSON bodies.
type HTTP struct {
	base   url.URL
	client *http.Client
}

// NewHTTP returns a client of the platform that listens at address.
func NewHTTP(address netip.AddrPort) *HTTP {
	transport := responsechecker.Wrap(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeaderBytes})
	return &HTTP{
		base:   url.URL{Scheme: "http", Host: address.String()},
		client: &http.Client{Transport: transport, Timeout: callTimeout},
	}
}

// Read implements [Reader].
func (h *HTTP) Read(ctx context.Context, key string) (Row, error) {
	var row Row
	err := h.call(ctx, "read row", http.MethodGet, "/table/row", url.Values{"key": {key}}, nil, &row)
	return row, err
}

// Scan implements [Reader].
func (h *HTTP) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := h.call(ctx, "scan rows", http.MethodGet, "/table/rows", url.Values{"prefix": {prefix}}, nil, &rows)
	return rows, err
}

// Commit implements [Committer].
func (h *HTTP) Commit(ctx context.Context, tx Transaction) (Outcome, error) {
	var outcome Outcome
	body, err := json.Marshal(tx)
	if err != nil {
		return outcome, faulter.New("commit", KindInvalid, err)
	}
	err = h.call(ctx, "commit", http.MethodPost, "/table/commit", nil, body, &outcome)
	return outcome, err
}

// GetObject implements [ObjectStore].
func (h *HTTP) GetObject(ctx context.Context, name string) ([]byte, error) {
	return h.roundTrip(ctx, "get object", http.MethodGet, "/objects", url.Values{"name": {name}}, nil)
}

// PutObject implements [ObjectStore].
func (h *HTTP) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := h.roundTrip(ctx, "put object", http.MethodPut, "/objects", url.Values{"name": {name}}, data)
	return err
}

// ListInstances implements [Lister].
func (h *HTTP) ListInstances(ctx context.Context) ([]Instance, error) {
	const op = "list instances"
	var entries []normalizer.Optional[Instance]
	if err := h.call(ctx, op, http.MethodGet, "/instances", nil, nil, &entries); err != nil {
		return nil, err
	}
	instances := make([]Instance, 0, len(entries))
	var ignored error
	for i, e := range entries {
		switch in := e.Value; {
		case e.Err != nil:
			ignored = faulter.New(op, KindInvalidEntry, errors.Wrapf(e.Err, "entry %d", i))
		case in.ID == "" || !in.Address.IsValid() || in.Address.Port() == 0:
			ignored = faulter.Newf(op, KindInvalidEntry, "entry %d: an ID and an address are required", i)
		default:
			instances = append(instances, in)
		}
	}
	return instances, ignored
}

func (h *HTTP) call(ctx context.Context, op, method, path string, query url.Values, body []byte, into any) error {
	data, err := h.roundTrip(ctx, op, method, path, query, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return faulter.New(op, KindUnavailable, err)
	}
	return nil
}

func (h *HTTP) roundTrip(ctx context.Context, op, method, path string, query url.Values, body []byte) ([]byte, error) {
	target := h.base
	target.Path = path
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, faulter.New(op, KindInvalid, err)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, faulter.New(op, KindUnavailable, err)
	}
	defer response.Body.Close()
	data, err := bounder.ReadAll(response.Body, maxResponseBytes, nil)
	if err != nil {
		return nil, faulter.New(op, KindUnavailable, err)
	}
	return data, statusError(op, response.StatusCode, data)
}

func statusError(op string, status int, data []byte) error {
	switch {
	case status < http.StatusBadRequest:
		return nil
	case status == http.StatusNotFound:
		return faulter.New(op, KindNotFound, nil)
	case status < http.StatusInternalServerError:
		return faulter.Newf(op, KindInvalid, "%s", data)
	default:
		return faulter.Newf(op, KindUnavailable, "status %d", status)
	}
}
