// Command waxwingd runs one entry instance.
//
// # Usage
//
//	waxwingd --settings entry.ini
//	waxwingd --hosted
//	waxwingd --settings entry.ini --check
//
// With --hosted the process runs on the users' platform and reads the settings
// that the platform provides; without it, the settings come from an INI file.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/hostedrunner"
	"github.com/waxwingmount/waxwingmount/internal/loader"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/starter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/platform"
)

func main() {
	path, hosted, check, lend := "", false, false, false
	flaggy.SetName("waxwingd")
	flaggy.SetDescription("Runs one entry instance of waxwingmount.")
	flaggy.String(&path, "s", "settings", "The INI file with this instance's settings.")
	flaggy.Bool(&hosted, "", "hosted", "Run on the users' platform with the settings that it provides.")
	flaggy.Bool(&lend, "", "lend", "With --hosted: lend instances from models with room to models that lack it.")
	flaggy.Bool(&check, "c", "check", "Check the settings and exit.")
	flaggy.SetVersion(version())
	flaggy.Parse()
	action := func() error { return start(path, hosted, lend) }
	if check {
		action = func() error { return checkSettings(path, hosted) }
	}
	if err := action(); err != nil {
		log.SetHandler(json.New(os.Stderr))
		log.WithError(err).Error("entry instance failed")
		os.Exit(1)
	}
}

// version returns the module version and the commit that the binary was built from.
func version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	text := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text
}

// checkSettings reads the settings as start does and returns the errors found.
func checkSettings(path string, hosted bool) error {
	if hosted {
		path = os.Getenv(platform.SettingsVariable)
		if _, err := platform.Load(path); err != nil {
			return err
		}
	} else if _, err := loader.Load(path); err != nil {
		return err
	}
	fmt.Println(path + ": the settings are sound")
	return nil
}

// logFlushTimeout bounds how long writing the last log lines may delay the exit.
// It is less than the part of the stop timeout that is left after the shutdown.
const logFlushTimeout = 300 * time.Millisecond

func start(path string, hosted, lend bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logContext, stopWriter := context.WithCancel(context.Background())
	writer := logger.New(os.Stdout)
	writer.Start(logContext)
	defer writer.Wait(logFlushTimeout)
	defer stopWriter()
	log.SetHandler(json.New(writer))
	if hosted {
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		return runHosted(ctx, writer, hangups, withLending(lend))
	}
	return run(ctx, writer, path)
}

func run(ctx context.Context, writer *logger.Writer, path string) error {
	settings, err := loader.Load(path)
	if err != nil {
		return err
	}
	log.SetLevelFromString(settings.LogLevel)
	platform, err := provider.Open(settings.Platform, settings.PlatformAddress)
	if err != nil {
		return err
	}
	if limit := starter.Parts(settings.Limits).RuntimeMemory; limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	process := logger.NewProcess(settings.ID)
	log.SetHandler(process.WrapHandler(json.New(writer)))
	node, err := starter.New(settings, process, platform)
	if err != nil {
		return err
	}
	return node.Run(ctx)
}

// gcPercent is above the default of 100 to save CPU time at the cost of memory.
const gcPercent = 200

// hostedOption changes the settings that the platform provides.
type hostedOption func(*hostedrunner.Settings)

// withLending sets whether instances are lent from one model to another.
func withLending(lend bool) hostedOption {
	return func(s *hostedrunner.Settings) { s.Lend = lend }
}

func runHosted(ctx context.Context, writer *logger.Writer, hangups <-chan os.Signal, options ...hostedOption) error {
	settings, err := platform.Load(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	for _, option := range options {
		option(&settings.Hosted)
	}
	process := hostedrunner.Process{Process: logger.NewProcess(settings.Hosted.ID), LinesDropped: writer.Dropped}
	log.SetHandler(process.WrapHandler(json.New(writer)))
	if limit := settings.Hosted.Parts().RuntimeMemory; limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	debug.SetGCPercent(gcPercent)
	client := platform.NewClient(settings.Store)
	node, err := hostedrunner.New(settings.Hosted, process, hostedrunner.Platform{
		Table:               client,
		Source:              client,
		Prober:              client,
		Identifier:          client,
		OrderSender:         client,
		LeavingSource:       client,
		WarmupSource:        client,
		Codec:               platform.HeaderCodec{},
		NewDirectoryHandler: platform.NewDirectoryHandler,
		NewReadinessHandler: platform.NewReadinessHandler,
	})
	if err != nil {
		return err
	}
	go (&reloader{node: node, hangups: hangups}).run(ctx)
	return node.Run(ctx)
}

// reloader reloads the settings on SIGHUP, which the platform sends when they
// have changed.
type reloader struct {
	node    *hostedrunner.Node
	hangups <-chan os.Signal
}

func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
		}
		settings, err := platform.Load(os.Getenv(platform.SettingsVariable))
		if err != nil {
			log.WithError(err).Error("settings not reloaded; the previous settings stay in force")
			continue
		}
		r.node.Reload(settings.Hosted)
	}
}
