// Package caller is a client of the system. It fetches the addresses of the
// entry instances, caches them for the time given in the response, and sends
// requests to them in turn. It retries a rejected request if the response says
// that the request was not run.
//
// # Usage
//
//	client := caller.New(seeds, caller.WithKey("organisation-key"))
//	result, err := client.Do(ctx, caller.Request{Path: "/v1/completions", Body: body})
//
// Do returns an error when there was no response at all, and otherwise a
// [Result], also for a response with an error status.
package caller

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
)

//go:generate stringer -type=Kind -trimprefix=Kind -linecomment -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of error.
const (
	// KindNoAddress means that no entry instance returned any addresses.
	KindNoAddress Kind = iota
	// KindNoResponse means that a request was sent and got no complete response.
	KindNoResponse // Unanswered
	// KindContextDone means that the context was canceled or its deadline passed.
	KindContextDone // Expired
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

const (
	dialTimeout          = 500 * time.Millisecond
	addressFetchTimeout  = time.Second
	defaultRetryDelay    = 50 * time.Millisecond
	maxIdleConnsPerEntry = 256
	maxRetryDelay        = 2 * time.Second
	// fixedAddressTTL is long enough that fixed addresses never expire.
	fixedAddressTTL = 100 * 365 * 24 * time.Hour
)

// Client sends requests to the system. It is safe for concurrent use.
type Client struct {
	seeds      []netip.AddrPort
	key        string
	scheme     string
	httpClient *http.Client
	// firstByteTimeout bounds the wait for the response headers; zero means no bound.
	firstByteTimeout time.Duration

	mu        sync.Mutex
	addresses []netip.AddrPort
	expiry    time.Time
	next      int
}

// Option configures a new Client.
type Option func(*Client)

// WithKey sets the organisation's bearer key.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// WithTLS makes the client connect with TLS.
func WithTLS(config *tls.Config) Option {
	return func(c *Client) {
		c.scheme = "https"
		c.httpClient.Transport.(*responsechecker.Transport).TLSClientConfig = config
	}
}

// WithFirstByteTimeout makes the client retry at another entry instance when no
// response has begun within the timeout. It applies only to requests that may
// be sent again: idempotent ones and those with an idempotency key.
func WithFirstByteTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.firstByteTimeout = timeout }
}

// WithFixedAddresses makes the client use the seeds themselves as entry
// instances and never fetch addresses.
func WithFixedAddresses() Option {
	return func(c *Client) {
		c.addresses = c.seeds
		c.expiry = time.Now().Add(fixedAddressTTL)
	}
}

const (
	// maxResponseBytes bounds a response that is read whole, and maxHeaderBytes its
	// header.
	maxResponseBytes = 64 << 20
	maxHeaderBytes   = 64 << 10
)

// New returns a client that fetches the addresses of the entry instances from
// the seeds.
func New(seeds []netip.AddrPort, options ...Option) *Client {
	c := &Client{
		seeds:  seeds,
		scheme: "http",
		httpClient: &http.Client{Transport: responsechecker.Wrap(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdleConnsPerEntry,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeaderBytes,
		})},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// addressResponse is the response body of /v1/addresses.
type addressResponse struct {
	Addresses  []netip.AddrPort `json:"addresses"`
	CacheForMS int64            `json:"keep_for_ms"`
}

// address returns the next entry instance in turn, and fetches the addresses
// first if they have expired.
func (c *Client) address(ctx context.Context) (netip.AddrPort, error) {
	c.mu.Lock()
	valid := time.Now().Before(c.expiry) && len(c.addresses) > 0
	c.mu.Unlock()
	if !valid {
		c.refresh(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return netip.AddrPort{}, faulter.New("choose address", KindNoAddress, ctx.Err())
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)], nil
}

// refresh fetches the addresses, from the entry instances known so far and then
// from the seeds.
func (c *Client) refresh(ctx context.Context) {
	c.mu.Lock()
	candidates := append(append([]netip.AddrPort{}, c.addresses...), c.seeds...)
	c.mu.Unlock()
	for _, candidate := range candidates {
		list, err := c.fetchAddresses(ctx, candidate)
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		c.mu.Lock()
		c.addresses = list.Addresses
		c.expiry = time.Now().Add(time.Duration(list.CacheForMS) * time.Millisecond)
		c.mu.Unlock()
		return
	}
}

func (c *Client) fetchAddresses(ctx context.Context, entry netip.AddrPort) (addressResponse, error) {
	var list addressResponse
	ctx, cancel := context.WithTimeout(ctx, addressFetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+entry.String()+"/v1/addresses", nil)
	if err != nil {
		return list, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	data, err := bounder.ReadAll(response.Body, maxResponseBytes, nil)
	if err != nil {
		return list, err
	}
	return list, json.Unmarshal(data, &list)
}
