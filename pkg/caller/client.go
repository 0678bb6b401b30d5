// Package caller is a client of the system: it asks for the addresses of the
// entry instances, keeps the answer as long as it says, connects to one of
// them, and comes back when a refusal says that the request was not run.
//
// # Usage
//
//	client := caller.New(seeds, caller.WithKey("organisation-key"))
//	result, err := client.Do(ctx, caller.Request{Path: "/v1/completions", Body: body})
//
// An error says that no answer came at all; a [Result] says what came.
package caller

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -linecomment -output=kind_string.go

// Kind sorts the failures of this package.
type Kind int

// Kinds of failure.
const (
	// KindNoAddress says that no entry instance could be asked for addresses.
	KindNoAddress Kind = iota
	// KindUnanswered says that a request was sent and no answer came.
	KindUnanswered
	// KindContextDone says that the context ended.
	KindContextDone // Expired
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

const (
	dialTimeout       = 500 * time.Millisecond
	addressTimeout    = time.Second
	defaultRetryDelay = 50 * time.Millisecond
	maxIdlePerEntry   = 256
	maxRetryDelay     = 2 * time.Second
	// fixedAddressTTL is how long fixed addresses last, which is for ever.
	fixedAddressTTL = 100 * 365 * 24 * time.Hour
)

// Client calls the system. It is safe for concurrent use.
type Client struct {
	seeds      []netip.AddrPort
	key        string
	scheme     string
	httpClient *http.Client
	// firstByteTimeout is how long to wait for the first byte of an answer.
	firstByteTimeout time.Duration

	mu        sync.Mutex
	addresses []netip.AddrPort
	expiry    time.Time
	next      int
}

// Option changes a new Client.
type Option func(*Client)

// WithKey sets the organisation's bearer key.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// WithTLS makes the client encrypt its connections.
func WithTLS(config *tls.Config) Option {
	return func(c *Client) {
		c.scheme = "https"
		c.httpClient.Transport.(*http.Transport).TLSClientConfig = config
	}
}

// WithFirstByteTimeout makes the client turn to another entry instance when no first
// byte of an answer has come for so long. It does so only for requests that
// may be sent again: idempotent ones and those with a key.
func WithFirstByteTimeout(patience time.Duration) Option {
	return func(c *Client) { c.firstByteTimeout = patience }
}

// WithFixedAddresses makes the client use the seeds as they are and never ask.
func WithFixedAddresses() Option {
	return func(c *Client) {
		c.addresses = c.seeds
		c.expiry = time.Now().Add(fixedAddressTTL)
	}
}

// New returns a client that asks the seeds for the addresses to use.
func New(seeds []netip.AddrPort, options ...Option) *Client {
	c := &Client{
		seeds:  seeds,
		scheme: "http",
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdlePerEntry,
			DisableCompression:  true,
		}},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// addressResponse is the system's answer with its addresses.
type addressResponse struct {
	Addresses []netip.AddrPort `json:"addresses"`
	KeepForMS int64            `json:"keep_for_ms"`
}

// address returns the next address to use.
func (c *Client) address(ctx context.Context) (netip.AddrPort, error) {
	c.mu.Lock()
	fresh := time.Now().Before(c.expiry) && len(c.addresses) > 0
	c.mu.Unlock()
	if !fresh {
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

// refresh asks for the addresses, first where they were good before.
func (c *Client) refresh(ctx context.Context) {
	c.mu.Lock()
	candidates := append(append([]netip.AddrPort{}, c.addresses...), c.seeds...)
	c.mu.Unlock()
	for _, candidate := range candidates {
		answer, err := c.fetchAddresses(ctx, candidate)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.mu.Lock()
		c.addresses = answer.Addresses
		c.expiry = time.Now().Add(time.Duration(answer.KeepForMS) * time.Millisecond)
		c.mu.Unlock()
		return
	}
}

func (c *Client) fetchAddresses(ctx context.Context, entry netip.AddrPort) (addressResponse, error) {
	var answer addressResponse
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+entry.String()+"/v1/addresses", nil)
	if err != nil {
		return answer, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(data, &answer)
}
