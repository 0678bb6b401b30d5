package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
)

// clientFlags holds the flags that say how to reach the operator interface and how
// to print the result.
type clientFlags struct {
	address    string
	tokenFile  string
	caFile     string
	jsonOutput bool
}

const (
	defaultAddress = "127.0.0.1:8002"
	clientTimeout  = 10 * time.Second
	// maxResponseBytes bounds a response of the operator interface.
	maxResponseBytes = 32 << 20
)

func newClientFlags() *clientFlags { return &clientFlags{address: defaultAddress} }

func (c *clientFlags) declare(parser *flaggy.Parser) {
	parser.String(&c.address, "", "operator", "The operator address of any entry instance, or several separated by commas.")
	parser.String(&c.tokenFile, "", "token-file", "A file with the operator token.")
	parser.String(&c.caFile, "", "authority", "A file with the certificates of the certificate authority; it enables TLS.")
	parser.Bool(&c.jsonOutput, "", "json", "Print JSON.")
}

// client calls the operator interface over HTTP.
type client struct {
	baseURLs []string
	token    string
	http     *http.Client
}

func (c *clientFlags) newClient() (*client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	cl := &client{}
	scheme := "http://"
	if c.caFile != "" {
		pem, err := os.ReadFile(c.caFile)
		if err != nil {
			return nil, faulter.New("read authority", KindUsage, err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, usagef("read authority", "no certificate in %s", c.caFile)
		}
		transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
		scheme = "https://"
	}
	cl.http = &http.Client{Transport: responsechecker.Wrap(transport), Timeout: clientTimeout}
	if c.tokenFile != "" {
		data, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, faulter.New("read token", KindUsage, err)
		}
		cl.token = strings.TrimSpace(string(data))
	}
	for _, address := range strings.Split(c.address, ",") {
		cl.baseURLs = append(cl.baseURLs, scheme+strings.TrimSpace(address))
	}
	return cl, nil
}

// call sends a request to the entry instances in turn until one of them is
// available. It returns the error of the last call.
func (c *client) call(method, path string, body, response any) error {
	var err error
	for _, baseURL := range c.baseURLs {
		err = c.callOne(baseURL, method, path, body, response)
		if kind, _ := faulter.KindOf[Kind](err); err == nil || kind != KindUnavailable {
			return err
		}
	}
	return err
}

func (c *client) callOne(baseURL, method, path string, body, result any) error {
	op := strings.TrimPrefix(path, "/operator/")
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return faulter.New(op, KindUsage, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, baseURL+path, bytes.NewReader(data))
	if err != nil {
		return faulter.New(op, KindUsage, err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return faulter.New(op, KindUnavailable, err)
	}
	defer response.Body.Close()
	reply, err := bounder.ReadAll(response.Body, maxResponseBytes, nil)
	if err != nil {
		return faulter.New(op, KindUnavailable, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return responseError(op, response.StatusCode, reply)
	}
	if err := json.Unmarshal(reply, result); err != nil {
		return faulter.New(op, KindFailed, err)
	}
	return nil
}

// responseError converts an error response into an error whose kind follows from
// the HTTP status.
func responseError(op string, status int, reply []byte) error {
	var body operator.ErrorResponse
	if err := json.Unmarshal(reply, &body); err != nil {
		return faulter.New(op, KindFailed, err)
	}
	kind := KindUsage
	switch status {
	case http.StatusConflict:
		kind = KindConflict
	case http.StatusServiceUnavailable:
		kind = KindUnavailable
	case http.StatusForbidden:
		kind = KindFailed
	}
	return faulter.Newf(op, kind, "%s", body.Error)
}
