// Bridgehoist-gateway is the entry of the system on the users' platform: it takes
// callers' requests, decides where and when they run, and relays the answers.
package main

// Importing C links the program against the C library: the platform loads a
// library of its own into each process.

import "C"

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bridgehoist/bridgehoist/internal/gateway"
	"github.com/bridgehoist/bridgehoist/internal/heap"
	"github.com/bridgehoist/bridgehoist/internal/logging"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/platform"
)

const (
	// memoryShare is the share of the VM's memory from which on the garbage
	// collector works harder.
	memoryShare = 0.7
	// logFlush is how long the end of the process waits for the log.
	logFlush = 100 * time.Millisecond
)

func main() {
	var cfg gateway.Config
	set := settings.New("bridgehoist-gateway")
	cfg.Register(set)
	settings.Main(set, func() { cfg.Check(set) }, func() error { return run(cfg) })
}

func run(cfg gateway.Config) error {
	// From here on no signal ends the process by its default action.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	vm, err := platform.ReadSettings(platform.SettingsPath())
	if err != nil {
		return err
	}
	if vm.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(vm.Limits.MemoryBytes)))
	}
	out := logging.NewBounded(os.Stdout, cfg.LogLines)
	defer out.Close(logFlush)
	logger := logging.New(out, "gateway", vm.VM)
	go heap.Bound(ctx)
	return gateway.New(cfg, vm, logger).Run(ctx, reloads(ctx, hup, logger))
}

// reloads reads the settings file again at each SIGHUP.
func reloads(ctx context.Context, hup <-chan os.Signal, logger *log.Logger) <-chan platform.Settings {
	out := make(chan platform.Settings)
	go func() {
		for range hup {
			s, err := platform.ReadSettings(platform.SettingsPath())
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
