package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// connection is how to reach an entry instance's operator address.
type connection struct {
	address   string
	token     string
	authority string
	json      bool
}

const (
	defaultAddress = "127.0.0.1:8002"
	clientTimeout  = 10 * time.Second
)

func newConnection() *connection { return &connection{address: defaultAddress} }

func (c *connection) flags(parser *flaggy.Parser) {
	parser.String(&c.address, "", "operator", "The operator address of any entry instance; several are parted by commas.")
	parser.String(&c.token, "", "token-file", "A file with the operator token.")
	parser.String(&c.authority, "", "authority", "A file with the certificate authority; it turns TLS on.")
	parser.Bool(&c.json, "", "json", "Print JSON.")
}

// client calls the operators' interface.
type client struct {
	bases []string
	token string
	http  *http.Client
}

func (c *connection) open() (*client, error) {
	cl := &client{http: &http.Client{Timeout: clientTimeout}}
	scheme := "http://"
	if c.authority != "" {
		pem, err := os.ReadFile(c.authority)
		if err != nil {
			return nil, faulter.New("read authority", KindUsage, err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, usagef("read authority", "no certificate in %s", c.authority)
		}
		cl.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
		scheme = "https://"
	}
	if c.token != "" {
		data, err := os.ReadFile(c.token)
		if err != nil {
			return nil, faulter.New("read token", KindUsage, err)
		}
		cl.token = strings.TrimSpace(string(data))
	}
	for _, address := range strings.Split(c.address, ",") {
		cl.bases = append(cl.bases, scheme+strings.TrimSpace(address))
	}
	return cl, nil
}

// call calls the first entry instance that answers.
func (c *client) call(method, path string, body, answer any) error {
	var err error
	for _, base := range c.bases {
		err = c.callOne(base, method, path, body, answer)
		if kind, _ := faulter.KindOf[Kind](err); err == nil || kind != KindUnavailable {
			return err
		}
	}
	return err
}

func (c *client) callOne(base, method, path string, body, answer any) error {
	op := strings.TrimPrefix(path, "/operator/")
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return faulter.New(op, KindUsage, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(data))
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
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		return faulter.New(op, KindUnavailable, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return refused(op, response.StatusCode, reply)
	}
	if err := json.Unmarshal(reply, answer); err != nil {
		return faulter.New(op, KindFailed, err)
	}
	return nil
}

// refused makes an error of a refusal's body.
func refused(op string, status int, reply []byte) error {
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
