// Bridgehoist-controller gives the orders to the engines of its data centre: it
// brings them to the models that the fleet list says.
package main

import (
	"context"
	"os"

	"github.com/bridgehoist/bridgehoist/internal/controller"
	"github.com/bridgehoist/bridgehoist/internal/daemon"
	"github.com/bridgehoist/bridgehoist/internal/settings"
)

func main() {
	var cfg controller.Config
	set := settings.New("bridgehoist-controller")
	cfg.Register(set)
	daemon.Main(set, os.Stderr, &daemon.LogLines, func() { cfg.Check(set) }, func(ctx context.Context, p *daemon.Process) error {
		logger := p.Logger("controller", cfg.VM)
		p.IgnoreHangups(logger)
		if cfg.PeerTLS.Await(ctx, logger) != nil {
			logger.Info("stopped before the TLS files were valid")
			return nil
		}
		c, err := controller.New(cfg, logger)
		if err != nil {
			return err
		}
		return c.Run(ctx)
	})
}
