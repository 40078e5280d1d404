package main

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/experiment/results"
	"github.com/bridgehoist/bridgehoist/internal/settings"
)

// compareCommand compares two folders of results.
func compareCommand(out, errOut io.Writer) *ffcli.Command {
	fs := newFlags("compare", errOut)
	all := fs.Bool("all", false, "print also what is level or not told apart")
	strict := fs.Bool("require-no-worse", false, "exit 1 if a measure is worse")
	return &ffcli.Command{
		Name:       "compare",
		ShortUsage: "bridgehoist-experiment compare [flags] BEFORE AFTER",
		ShortHelp:  "compare two folders of results by scenario, policy and seed",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)},
		Exec: func(_ context.Context, folders []string) error {
			if len(folders) != 2 {
				return settings.Usagef("usage: bridgehoist-experiment compare [flags] BEFORE AFTER")
			}
			pairs, err := compareFolders(out, folders[0], folders[1])
			if err != nil {
				return err
			}
			writeChange(out, pairs, *all)
			if worse := count(pairs, results.Worse); *strict && worse > 0 {
				return errors.Errorf("%d measures are worse", worse)
			}
			return nil
		},
	}
}

func compareFolders(out io.Writer, before, after string) ([]results.Pair, error) {
	old, err := results.ReadFolder(before)
	if err != nil {
		return nil, err
	}
	rows, err := results.ReadFolder(after)
	if err != nil {
		return nil, err
	}
	pairs := results.Change(old, rows)
	if len(pairs) == 0 {
		return nil, errors.Errorf("%s and %s have no scenario, policy and seed in common", before, after)
	}
	if n := results.WithoutPartner(old, rows); n > 0 {
		fmt.Fprintf(out, "%d runs are in one of the folders only and left out\n", n)
	}
	return pairs, nil
}

func writeChange(out io.Writer, pairs []results.Pair, all bool) {
	open, level := count(pairs, results.Open), count(pairs, results.Level)
	shown := pairs
	if !all {
		shown = slices.DeleteFunc(slices.Clone(pairs), func(p results.Pair) bool {
			return p.Verdict() == results.Open || p.Verdict() == results.Level
		})
	}
	if len(shown) > 0 {
		results.WritePairs(out, shown)
	}
	fmt.Fprintf(out, "%d comparisons: %d better, %d worse, %d not told apart, %d level\n",
		len(pairs), count(pairs, results.Better), count(pairs, results.Worse), open, level)
}

func count(pairs []results.Pair, v results.Verdict) int {
	n := 0
	for _, p := range pairs {
		if p.Verdict() == v {
			n++
		}
	}
	return n
}
