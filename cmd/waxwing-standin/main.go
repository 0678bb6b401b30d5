// Command waxwing-standin runs an emulator of the platform, of a model engine, of
// a plain service or of callers that misbehave. It serves tests and experiments and
// is not deployed.
//
// # Usage
//
//	waxwing-standin platform --address 127.0.0.1:7000
//	waxwing-standin engine --address 127.0.0.1:7101 --id inst-1
//	waxwing-standin service --address 127.0.0.1:7201 --id rota
//	waxwing-standin crowd --address 127.0.0.1:8000 --path /v1/chat/completions --crowd "conns=300 length=1048576 sent=1048575" --stay 10s
//
// A crowd prints what became of its connections; package crowder says what a description may
// hold.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/crowder"
	"github.com/waxwingmount/waxwingmount/internal/engineemulator"
	"github.com/waxwingmount/waxwingmount/internal/platformemulator"
)

// crashExitCode is the exit status after a request has crashed the backend server.
const crashExitCode = 3

const recordFileMode = 0o644

const (
	// defaultStay is how long a crowd stays.
	defaultStay      = 3 * time.Second
	crowdDialTimeout = 2 * time.Second
)

// options holds the values of the command-line flags.
type options struct {
	address         string
	id              string
	recordFile      string
	platformAddress string
	listLag         time.Duration
	tokenInterval   time.Duration
	firstToken      time.Duration
	loadTime        time.Duration
	delay           time.Duration
	crowd           string
	host            string
	path            string
	key             string
	stay            time.Duration
	ignoreFence     bool
	cannotResume    bool
}

func main() {
	o := options{tokenInterval: time.Millisecond, path: "/", stay: defaultStay}
	platform := flaggy.NewSubcommand("platform")
	engine := flaggy.NewSubcommand("engine")
	service := flaggy.NewSubcommand("service")
	crowd := flaggy.NewSubcommand("crowd")
	crowd.String(&o.address, "a", "address", "The IP address and port of the entry instance, on this machine.")
	crowd.String(&o.crowd, "c", "crowd", "What the crowd sends, such as conns=300 length=1048576 sent=1048575.")
	crowd.String(&o.host, "", "host", "The Host header; the address if it is empty.")
	crowd.String(&o.path, "p", "path", "The path of the requests.")
	crowd.String(&o.key, "k", "key", "The API key.")
	crowd.Duration(&o.stay, "s", "stay", "How long the crowd stays once it has sent all.")
	flaggy.AttachSubcommand(crowd, 1)
	for _, sub := range []*flaggy.Subcommand{platform, engine, service} {
		sub.String(&o.address, "a", "address", "The IP address and port to listen on.")
		sub.String(&o.id, "i", "id", "The id of the instance or the name of the service.")
		sub.String(&o.recordFile, "r", "record", "A file to which one line is appended for each request that is run.")
		flaggy.AttachSubcommand(sub, 1)
	}
	platform.Duration(&o.listLag, "", "list-lag", "The delay before a change shows in the instance list.")
	engine.Duration(&o.tokenInterval, "", "token-interval", "The time between two tokens.")
	engine.Duration(&o.firstToken, "", "first-token", "The time to the first token.")
	engine.Duration(&o.loadTime, "", "load-time", "The time that a model takes to load.")
	engine.String(&o.platformAddress, "", "platform", "The address of the platform, which serves the weight store.")
	engine.Bool(&o.ignoreFence, "", "ignore-fence", "Execute orders whose fencing number is out of date.")
	engine.Bool(&o.cannotResume, "", "cannot-resume", "Refuse to resume streams that another instance started.")
	service.Duration(&o.delay, "", "delay", "The response time of each call.")
	flaggy.Parse()
	action := func() error { return run(o, platform.Used, engine.Used, service.Used) }
	if crowd.Used {
		action = func() error { return runCrowd(o, os.Stdout) }
	}
	if err := action(); err != nil {
		log.WithError(err).Error("emulator stopped")
		os.Exit(1)
	}
}

// runCrowd lets a crowd loose on an entry instance and prints what became of it.
func runCrowd(o options, out io.Writer) error {
	c, err := crowder.Parse(o.crowd)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(o.address)
	if err != nil {
		return err
	}
	if !address.Addr().IsLoopback() {
		return errors.Newf("%s is not on this machine", address)
	}
	dial := func() (net.Conn, error) { return net.DialTimeout("tcp", address.String(), crowdDialTimeout) }
	gathering := c.Gather(dial, crowder.Target{Host: cmp.Or(o.host, o.address), Path: o.path, Key: o.key})
	time.Sleep(o.stay)
	return json.NewEncoder(out).Encode(gathering.Disperse())
}

func run(o options, platform, engine, service bool) error {
	record, err := openRecord(o.recordFile)
	if err != nil {
		return err
	}
	crash := func() { os.Exit(crashExitCode) }
	switch {
	case platform:
		store := platformemulator.NewStore(platformemulator.WithListLag(o.listLag))
		return listenAndServe(o.address, platformemulator.NewHandler(store))
	case engine:
		return runEngine(o, record, crash)
	case service:
		return listenAndServe(o.address, engineemulator.NewService(o.id, o.delay, record, crash))
	}
	flaggy.ShowHelpAndExit("Missing subcommand: platform, engine, service or crowd.")
	return nil
}

func runEngine(o options, record io.Writer, crash func()) error {
	engineOptions := []engineemulator.Option{
		engineemulator.WithTokenInterval(o.tokenInterval),
		engineemulator.WithTimeToFirstToken(o.firstToken),
		engineemulator.WithLoadTime(o.loadTime),
		engineemulator.WithFencing(!o.ignoreFence),
		engineemulator.WithResume(!o.cannotResume),
		engineemulator.WithEventLog(record),
		engineemulator.WithCrash(crash),
	}
	if o.platformAddress != "" {
		address, err := netip.ParseAddrPort(o.platformAddress)
		if err != nil {
			return err
		}
		engineOptions = append(engineOptions, engineemulator.WithPlatform(address))
	}
	engine := engineemulator.New(o.id, engineOptions...)
	engine.Start(context.Background())
	return listenAndServe(o.address, engine.Handler())
}

func openRecord(path string) (io.Writer, error) {
	if path == "" {
		return io.Discard, nil
	}
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordFileMode)
}

func listenAndServe(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return http.Serve(listener, handler)
}
