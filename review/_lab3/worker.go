package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

// addWorker starts a worker of a plain service that writes its entry to the store. Requests other
// than those of the platform's own interface go to handle, or are run as the emulator does if it is
// nil. It returns the emulated worker.
func (l *lab) addWorker(id, service string, slots int, handle http.HandlerFunc) (*emulator.BackendServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := emulator.NewBackendServer(emulator.BackendServerSettings{
		ID: id, Service: service, AdvertisedAddress: listener.Addr().(*net.TCPAddr).AddrPort(), Store: l.address,
		DataCentre: zone, Slots: slots, Heartbeat: heartbeat,
	}, func(e emulator.ServerEvent) {
		if e.Kind == emulator.Began {
			l.write("run %s at %s path %s", e.Request, e.Instance, e.Path)
		}
	})
	own := w.Handler()
	go (&http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if handle == nil || strings.HasPrefix(r.URL.Path, "/waxwingmount/") {
			own.ServeHTTP(rw, r)
			return
		}
		handle(rw, r)
	})}).Serve(listener)
	go w.Run(l.ctx)
	return w, nil
}

// addModelWorker starts the emulated model worker with that number among some that may share a
// group.
func (l *lab) addModelWorker(id, service string, address netip.AddrPort, all []netip.AddrPort) error {
	peers := map[string]netip.AddrPort{}
	for i, a := range all {
		peers[fmt.Sprintf("m-%d", i)] = a
	}
	w := emulator.NewBackendServer(emulator.BackendServerSettings{
		ID: id, Service: service, AdvertisedAddress: address, Store: l.address, DataCentre: zone, FabricDomain: "domain-0",
		Slots: 17, Heartbeat: heartbeat, ServiceTime: 20 * time.Millisecond,
		LoadTime: time.Second, WarmLoadTime: 300 * time.Millisecond, OpenTime: 200 * time.Millisecond, MemberLossTimeout: 4 * time.Second,
		PeerAddresses: peers,
	}, func(e emulator.ServerEvent) {
		if e.Kind == emulator.Began {
			l.write("run %s at %s in %s/%d", e.Request, e.Instance, e.Group, e.Epoch)
		}
	})
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	go (&http.Server{Handler: w.Handler()}).Serve(listener)
	go w.Run(l.ctx)
	return nil
}
