// Bridgehoist-entry is the data path on an entry VM: it takes the callers'
// requests, decides where and when they run, and relays the answers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bridgehoist/bridgehoist/internal/entry"
	"github.com/bridgehoist/bridgehoist/internal/logging"
	"github.com/bridgehoist/bridgehoist/internal/settings"
)

func main() {
	var cfg entry.Config
	set := settings.New("bridgehoist-entry")
	cfg.Register(set)
	settings.Main(set, func() { cfg.Check(set) }, func() error { return run(cfg) })
}

func run(cfg entry.Config) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e, err := entry.New(cfg, logging.New(os.Stderr, "entry", cfg.VM))
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
