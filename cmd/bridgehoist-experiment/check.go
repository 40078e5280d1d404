package main

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/bridgehoist/bridgehoist/internal/settings"
)

// checkCommand checks scenario files without running them.
func checkCommand(out, errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "bridgehoist-experiment check SCENARIO.toml ...",
		ShortHelp:  "check scenario files and print every finding",
		FlagSet:    newFlags("check", errOut),
		Exec: func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return settings.Usagef("usage: bridgehoist-experiment check SCENARIO.toml ...")
			}
			scenarios, err := readFiles(files)
			if err != nil {
				return err
			}
			for i, sc := range scenarios {
				fmt.Fprintf(out, "%s: good; scenario %s, %d kinds, %d faults\n", files[i], sc.Name, len(sc.Kinds), len(sc.Faults))
			}
			return nil
		},
	}
}
