package main

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one request of a consumer.
type call struct {
	id, method, path, body, key string
	// host is another way to write the name of the host, or empty.
	host    string
	header  map[string]string
	timeout time.Duration
}

// answer is what a consumer got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// by returns the worker that has answered.
func (a answer) by() string {
	id, _, _ := strings.Cut(a.header.Get("X-Server-Stamp"), ".")
	return id
}

// consumer sends requests over kept connections.
type consumer struct{ client http.Client }

func newConsumer() *consumer {
	return &consumer{client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// do sends a request to an entry instance, once.
func (c *consumer) do(e *entry, r call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	if r.method == "" {
		r.method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+e.settings.CallerAddress.String()+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = cmp.Or(r.host, host)
	request.Header.Set("X-Request-Id", r.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+r.key)
	for name, value := range r.header {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// awaitService waits until an entry instance serves requests of a path.
func (l *lab) awaitService(path string, header map[string]string) error {
	c := newConsumer()
	for _, e := range l.entries {
		if err := l.await(e.settings.ID+" to serve "+path, 20*time.Second, func() error {
			a := c.do(e, call{id: "first", path: path, body: "x", key: key, header: header, timeout: 3 * time.Second})
			if a.status != http.StatusOK {
				return errStatus(a)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}
