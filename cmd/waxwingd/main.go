// Command waxwingd runs one entry instance.
//
// # Usage
//
//	waxwingd --settings entry.ini
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/loader"
	"github.com/waxwingmount/waxwingmount/internal/starter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

func main() {
	path := ""
	flaggy.SetName("waxwingd")
	flaggy.SetDescription("Runs one entry instance of waxwingmount.")
	flaggy.String(&path, "s", "settings", "The INI file with this instance's settings.")
	flaggy.Parse()
	log.SetHandler(json.New(os.Stderr))
	if err := run(path); err != nil {
		log.WithError(err).Error("entry instance ended")
		os.Exit(1)
	}
}

func run(path string) error {
	settings, err := loader.Load(path)
	if err != nil {
		return err
	}
	log.SetLevelFromString(settings.LogLevel)
	platform, err := provider.Open(settings.Platform, settings.PlatformAddress)
	if err != nil {
		return err
	}
	node, err := starter.New(settings, platform)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return node.Run(ctx)
}
