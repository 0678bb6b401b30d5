// Command waxwing-standin runs a stand-in for the platform, for a model engine
// or for a plain service. It is for tests and trials and no part of the product.
//
// # Usage
//
//	waxwing-standin platform --address 127.0.0.1:7000
//	waxwing-standin engine --address 127.0.0.1:7101 --id inst-1
//	waxwing-standin service --address 127.0.0.1:7201 --id rota
package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/engineemulator"
	"github.com/waxwingmount/waxwingmount/internal/platformemulator"
)

// crashStatus is the exit status of an engine that a request has crashed.
const crashStatus = 3

const recordMode = 0o644

// options are the command line.
type options struct {
	address       string
	id            string
	record        string
	platform      string
	listLag       time.Duration
	tokenInterval time.Duration
	firstToken    time.Duration
	loadTime      time.Duration
	delay         time.Duration
	ignoreFence   bool
	cannotResume  bool
}

func main() {
	o := options{tokenInterval: time.Millisecond}
	platform := flaggy.NewSubcommand("platform")
	engine := flaggy.NewSubcommand("engine")
	service := flaggy.NewSubcommand("service")
	for _, sub := range []*flaggy.Subcommand{platform, engine, service} {
		sub.String(&o.address, "a", "address", "The IP address and port to listen on.")
		sub.String(&o.id, "i", "id", "The name of the instance or service.")
		sub.String(&o.record, "r", "record", "A file to append a line to for each run.")
		flaggy.AttachSubcommand(sub, 1)
	}
	platform.Duration(&o.listLag, "", "list-lag", "How far the instance list lags.")
	engine.Duration(&o.tokenInterval, "", "token-interval", "The time between two tokens.")
	engine.Duration(&o.firstToken, "", "first-token", "The time to the first token.")
	engine.Duration(&o.loadTime, "", "load-time", "How long a model takes to load.")
	engine.String(&o.platform, "", "platform", "The address of the platform with the weight store.")
	engine.Bool(&o.ignoreFence, "", "ignore-fence", "Obey orders with an old fencing number.")
	engine.Bool(&o.cannotResume, "", "cannot-resume", "Refuse to go on with streams cut elsewhere.")
	service.Duration(&o.delay, "", "delay", "How long a call takes.")
	flaggy.Parse()
	if err := run(o, platform.Used, engine.Used, service.Used); err != nil {
		log.WithError(err).Error("stand-in ended")
		os.Exit(1)
	}
}

func run(o options, platform, engine, service bool) error {
	record, err := openRecord(o.record)
	if err != nil {
		return err
	}
	crash := func() { os.Exit(crashStatus) }
	switch {
	case platform:
		store := platformemulator.NewStore(platformemulator.WithListLag(o.listLag))
		return serve(o.address, platformemulator.NewHandler(store))
	case engine:
		return runEngine(o, record, crash)
	case service:
		return serve(o.address, engineemulator.NewService(o.id, o.delay, record, crash))
	}
	flaggy.ShowHelpAndExit("Name one of: platform, engine, service.")
	return nil
}

func runEngine(o options, record io.Writer, crash func()) error {
	settings := []engineemulator.Option{
		engineemulator.WithTokenInterval(o.tokenInterval),
		engineemulator.WithTimeToFirstToken(o.firstToken),
		engineemulator.WithLoadTime(o.loadTime),
		engineemulator.WithFencing(!o.ignoreFence),
		engineemulator.WithResume(!o.cannotResume),
		engineemulator.WithEventLog(record),
		engineemulator.WithCrash(crash),
	}
	if o.platform != "" {
		address, err := netip.ParseAddrPort(o.platform)
		if err != nil {
			return err
		}
		settings = append(settings, engineemulator.WithPlatform(address))
	}
	engine := engineemulator.New(o.id, settings...)
	engine.Start(context.Background())
	return serve(o.address, engine.Handler())
}

func openRecord(path string) (io.Writer, error) {
	if path == "" {
		return io.Discard, nil
	}
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordMode)
}

func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return http.Serve(listener, handler)
}
