package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
)

// maxConcurrentOrders bounds the orders in flight.
const maxConcurrentOrders = 32

// sender sends orders to engines over HTTP.
type sender struct {
	client *http.Client
}

// maxHeaderBytes bounds the header of a response to an order.
const maxHeaderBytes = 64 << 10

func newSender() *sender {
	// Keep-alives are off, so that an order never waits on a connection that its
	// engine has already closed.
	transport := responsechecker.Wrap(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes})
	return &sender{client: &http.Client{Transport: transport, Timeout: orderTimeout}}
}

// sendOrders sends the orders that bring the engines to the state in the
// snapshot.
func (c *Controller) sendOrders(ctx context.Context, snapshot grouper.Snapshot) {
	addresses := make(map[string]string)
	for _, in := range c.Instances() {
		addresses[in.ID] = in.Address.String()
	}
	slots := make(chan struct{}, maxConcurrentOrders)
	var sending sync.WaitGroup
	for _, o := range reconciler.Plan(snapshot, c.Prober.Reports()) {
		address, listed := addresses[o.Instance]
		if !listed {
			continue
		}
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			c.sendOrder(ctx, address, o)
		})
	}
	sending.Wait()
}

func (c *Controller) sendOrder(ctx context.Context, address string, o reconciler.Order) {
	entry := log.WithFields(log.Fields{"instance": o.Instance, "action": o.Action.String(), "group": o.Group, "fence": o.Fence})
	if !c.canSendOrders() {
		entry.Warn("order not sent: the lease is about to expire")
		return
	}
	if err := c.sender.send(ctx, address, o); err != nil {
		entry.WithError(err).Warn("order failed")
		return
	}
	c.Scope.Tagged(map[string]string{"action": o.Action.String()}).Counter("orders").Inc(1)
	entry.Info("order accepted")
}

func (s *sender) send(ctx context.Context, address string, o reconciler.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	target := url.URL{Scheme: "http", Host: address, Path: "/orders"}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Newf("status %d", response.StatusCode)
	}
	return nil
}
