// Bridgehoist-experiment compares scheduling policies in virtual time.
//
// Exit codes: 0 good; 1 failed, such as findings in a scenario file; 2 wrong use.
package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/settings"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRoot(out, errOut).ParseAndRun(ctx, args)
	if errors.Is(err, context.Canceled) {
		err = errors.New("interrupted; nothing is written")
	}
	return settings.ExitCode(errOut, err)
}

// newFlags makes a flag set whose messages go to a writer.
func newFlags(name string, errOut io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	return fs
}

// parser reads the flags and their variables; what is wrong with them is wrong use.
type parser struct{ root *ffcli.Command }

// ParseAndRun does as its name says.
func (p parser) ParseAndRun(ctx context.Context, args []string) error {
	err := p.root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil {
		return settings.UsageError(err.Error())
	}
	return p.root.Run(ctx)
}

func newRoot(out, errOut io.Writer) parser {
	cfg := &config{}
	fs := newFlags("bridgehoist-experiment", errOut)
	cfg.register(fs)
	options := []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)}
	return parser{&ffcli.Command{
		Name:        "bridgehoist-experiment",
		ShortUsage:  "bridgehoist-experiment [flags] [SCENARIO.toml ...]\n  bridgehoist-experiment check SCENARIO.toml ...\n  bridgehoist-experiment compare [flags] BEFORE AFTER",
		ShortHelp:   "compare scheduling policies in virtual time",
		LongHelp:    "Runs scenario files, or built-in scenarios, with policies over seeds.\ndocs/EXPERIMENTS.md describes the files and the report.\nExit codes: 0 good, 1 failed, 2 wrong use.",
		FlagSet:     fs,
		Options:     options,
		Subcommands: []*ffcli.Command{checkCommand(out, errOut), compareCommand(out, errOut)},
		Exec: func(ctx context.Context, files []string) error {
			if cfg.list {
				writeList(out)
				return nil
			}
			return cfg.run(ctx, files, out, errOut)
		},
	}}
}
