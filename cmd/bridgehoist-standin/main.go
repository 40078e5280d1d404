// Bridgehoist-standin stands in for what is outside the system: the platform,
// an engine or a plain service, by its first argument.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/daemon"
	"github.com/bridgehoist/bridgehoist/internal/enginemodel"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/internal/standin"
	"github.com/bridgehoist/bridgehoist/internal/waitfor"
	"github.com/bridgehoist/bridgehoist/platform"
	platformstandin "github.com/bridgehoist/bridgehoist/platform/standin"
)

const usage = "usage: bridgehoist-standin platform|engine|service [flags]"

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(settings.ExitUsage)
	}
	name := os.Args[1]
	os.Args = append(os.Args[:1], os.Args[2:]...)
	switch name {
	case "platform":
		store()
	case "engine":
		engine()
	case "service":
		service()
	default:
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(settings.ExitUsage)
	}
}

func store() {
	set := settings.New("bridgehoist-standin platform")
	listen := set.String("listen", "", "IP:port")
	table := set.String("table", "", "file of the table")
	fleet := set.String("fleet", "", "file of the fleet list")
	run(set, func() {
		set.NeedAddress("listen", *listen)
		set.NeedText("table", *table)
		set.NeedText("fleet", *fleet)
	}, func(ctx context.Context, logger *log.Logger) error {
		p := platformstandin.New()
		for name, file := range map[string]string{published.Fleet: *fleet, published.Table: *table} {
			content, err := os.ReadFile(file)
			if err != nil {
				return errors.Wrap(err, name)
			}
			p.Put(platform.OwnPrefix+name, content)
		}
		return serve(ctx, logger, *listen, p.Handler(), nil)
	})
}

func engine() {
	set := settings.New("bridgehoist-standin engine")
	model := enginemodel.DefaultConfig()
	cfg := standin.EngineConfig{}
	listen := set.String("listen", "", "IP:port")
	models := set.String("models", "", "models loaded at the start, separated by commas")
	set.Uint64Var(&cfg.Incarnation, "incarnation", 1, "incarnation of the engine")
	set.BoolVar(&cfg.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	set.DurationVar(&cfg.ReportLag, "report-lag", 500*time.Millisecond, "age of the load that is reported")
	set.DurationVar(&cfg.Linger, "linger", 10*time.Second, "how long a generation is kept without a reader")
	set.DurationVar(&cfg.LoadTime, "load-time", 2*time.Second, "time to load a model")
	set.IntVar(&model.CapacityTokens, "capacity-tokens", model.CapacityTokens, "KV memory in tokens")
	set.IntVar(&model.MaxRunning, "max-running", model.MaxRunning, "sequences of a batch")
	set.DurationVar(&model.StepBase, "step-base", model.StepBase, "duration of a step with an empty batch")
	run(set, func() {
		set.NeedAddress("listen", *listen)
		set.NeedInt("capacity-tokens", model.CapacityTokens, 1, 1<<30)
		set.NeedInt("max-running", model.MaxRunning, 1, 1<<20)
	}, func(ctx context.Context, logger *log.Logger) error {
		cfg.Model = model
		if *models != "" {
			cfg.Loaded = strings.Split(*models, ",")
		}
		e := standin.NewEngine(cfg)
		return serve(ctx, logger, *listen, e.Handler(), e.Run)
	})
}

func service() {
	set := settings.New("bridgehoist-standin service")
	listen := set.String("listen", "", "IP:port")
	latency := set.Duration("latency", 10*time.Millisecond, "duration of a call")
	run(set, func() { set.NeedAddress("listen", *listen) }, func(ctx context.Context, logger *log.Logger) error {
		return serve(ctx, logger, *listen, standin.NewService(*latency).Handler(), nil)
	})
}

// run runs a stand-in as a daemon.
func run(set *settings.Set, check func(), serve func(context.Context, *log.Logger) error) {
	daemon.Main(set, os.Stderr, &daemon.LogLines, check, func(ctx context.Context, p *daemon.Process) error {
		logger := p.Logger("standin", "")
		p.IgnoreHangups(logger)
		return serve(ctx, logger)
	})
}

// serve runs until the process is told to stop.
func serve(ctx context.Context, logger *log.Logger, listen string, h http.Handler, background func(context.Context)) error {
	l, err := waitfor.Listener(ctx, logger, listen)
	if err != nil {
		return nil
	}
	if background != nil {
		go background(ctx)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	<-ctx.Done()
	return s.Close()
}
