// Bridgehoist-entry is the data path on an entry VM: it takes the callers'
// requests, decides where and when they run, and relays the answers.
package main

import (
	"context"
	"os"

	"github.com/bridgehoist/bridgehoist/internal/daemon"
	"github.com/bridgehoist/bridgehoist/internal/entry"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/internal/tlsconfig"
)

func main() {
	var cfg entry.Config
	set := settings.New("bridgehoist-entry")
	cfg.Register(set)
	daemon.Main(set, os.Stderr, &daemon.LogLines, func() { cfg.Check(set) }, func(ctx context.Context, p *daemon.Process) error {
		logger := p.Logger("entry", cfg.VM)
		p.IgnoreHangups(logger)
		for _, files := range []tlsconfig.Files{cfg.PeerTLS, cfg.OperatorTLS} {
			if files.Await(ctx, logger) != nil {
				logger.Info("stopped before the TLS files were valid")
				return nil
			}
		}
		e, err := entry.New(cfg, logger)
		if err != nil {
			return err
		}
		return e.Run(ctx)
	})
}
