package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

func init() { cases["silent"] = silentCase }

func silentCase(l *lab) (bool, error) {
	if _, err := l.addWorker("w-old", service, 30, nil); err != nil {
		return false, err
	}
	if _, err := l.addWorker("w-new", "portal-2", 30, nil); err != nil {
		return false, err
	}
	if err := l.writeConfig(func(c *emulator.Config) {
		c.Routes = append(c.Routes, emulator.Route{Prefix: "/x/", Repeat: mapper.Once, Service: "portal-2", Timeout: 6 * time.Second})
	}); err != nil {
		return false, err
	}
	if err := l.addEntries(3, memoryMB, descriptors); err != nil {
		return false, err
	}
	var proxies []*proxy
	for _, e := range l.entries {
		p, err := newProxy(l.address)
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
		e.settings.Store = p.address
	}
	for _, e := range l.entries {
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := l.awaitService("/once/x", nil); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	t0 := time.Now()
	if l.trouble {
		for i, p := range proxies {
			l.write("%d connections of %s to the store are silent", p.silence(), l.entries[i].settings.ID)
		}
	}
	time.Sleep(200 * time.Millisecond)
	if err := l.writeConfig(func(c *emulator.Config) { c.Routes[0].Service = "portal-2" }); err != nil {
		return false, err
	}
	acked := time.Now()
	l.write("acknowledged %.3f s after", acked.Sub(t0).Seconds())
	var mu sync.Mutex
	late := 0
	var wg sync.WaitGroup
	for _, e := range l.entries {
		wg.Go(func() {
			c := newConsumer()
			for n := 0; time.Since(t0) < 10*time.Second; n++ {
				sent := time.Now()
				a := c.do(e, call{id: fmt.Sprintf("%s-%d", e.settings.ID, n), path: "/once/x", body: "x", key: key, timeout: 3 * time.Second})
				old := a.by() == "w-old"
				l.write("%s sent %.3f s after: status %d by %s", e.settings.ID, sent.Sub(t0).Seconds(), a.status, a.by())
				if old && sent.Sub(t0) > 3*time.Second && sent.Sub(acked) > 2*time.Second {
					mu.Lock()
					late++
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	l.conclude("%d requests ran by the old configuration, sent over 2 s after the acknowledgement by machines in touch", late)
	return late == 0, nil
}
