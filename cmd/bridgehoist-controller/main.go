// Bridgehoist-controller gives the orders to the engines of its data centre: it
// brings them to the models that the fleet list says.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bridgehoist/bridgehoist/internal/controller"
	"github.com/bridgehoist/bridgehoist/internal/logging"
	"github.com/bridgehoist/bridgehoist/internal/settings"
)

func main() {
	var cfg controller.Config
	set := settings.New("bridgehoist-controller")
	cfg.Register(set)
	settings.Main(set, func() { cfg.Check(set) }, func() error {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		c, err := controller.New(cfg, logging.New(os.Stderr, "controller", cfg.VM))
		if err != nil {
			return err
		}
		return c.Run(ctx)
	})
}
