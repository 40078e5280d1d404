// Bridgehoist-gateway is the entry of the system on the users' platform: it takes
// callers' requests, decides where and when they run, and relays the answers.
package main

// Importing C links the program against the C library: the platform loads a
// library of its own into each process.

import "C"

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/daemon"
	"github.com/bridgehoist/bridgehoist/internal/gateway"
	"github.com/bridgehoist/bridgehoist/internal/heap"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/internal/waitfor"
	"github.com/bridgehoist/bridgehoist/platform"
)

const (
	component = "gateway"
	// memoryShare is the share of the VM's memory from which on the garbage
	// collector works harder.
	memoryShare = 0.7
)

func main() {
	var cfg gateway.Config
	set := settings.New("bridgehoist-gateway")
	cfg.Register(set)
	daemon.Main(set, os.Stdout, &cfg.LogLines, func() { cfg.Check(set) }, func(ctx context.Context, p *daemon.Process) error {
		return run(ctx, p, cfg)
	})
}

func run(ctx context.Context, p *daemon.Process, cfg gateway.Config) error {
	go heap.Bound(ctx)
	reload := reloads(ctx, p.Hangups, p.Logger(component, ""))
	for {
		err := serve(ctx, p, cfg, reload)
		if !errors.Is(err, gateway.ErrAddressesChanged) {
			return err
		}
		p.Logger(component, "").Warn("starting anew", "reason", err)
	}
}

// serve runs a gateway by the settings in force.
func serve(ctx context.Context, p *daemon.Process, cfg gateway.Config, reload <-chan platform.Settings) error {
	logger := p.Logger(component, "")
	vm, err := waitfor.Success(ctx, logger, "settings", platform.SettingsPath(), func() (platform.Settings, error) {
		return read(ctx, logger)
	})
	if err != nil {
		logger.Info("stopped before the settings were valid")
		return nil
	}
	if vm.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(vm.Limits.MemoryBytes)))
	}
	g := gateway.New(cfg, vm, p.Logger(component, vm.VM))
	g.RereadWhileWaiting(func() (platform.Settings, error) {
		s, _, err := platform.ReadSettings(ctx, platform.SettingsPath())
		return s, err
	})
	return g.Run(ctx, reload)
}

// read reads the settings file and logs what isn't used of it.
func read(ctx context.Context, logger *log.Logger) (platform.Settings, error) {
	s, findings, err := platform.ReadSettings(ctx, platform.SettingsPath())
	if err == nil && len(findings) > 0 {
		logger.Warn("settings not used", "findings", findings)
	}
	return s, err
}

// reloads reads the settings file again at each SIGHUP.
func reloads(ctx context.Context, hup <-chan os.Signal, logger *log.Logger) <-chan platform.Settings {
	out := make(chan platform.Settings)
	go func() {
		for range hup {
			s, err := read(ctx, logger)
			if err != nil {
				logger.Error("settings not reloaded", "error", err)
				continue
			}
			select {
			case out <- s:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}
