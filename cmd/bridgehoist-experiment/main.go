// Bridgehoist-experiment compares scheduling policies in virtual time.
package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/experiment"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

type config struct {
	scenarios string
	policies  string
	first     uint64
	seeds     int
	out       string
}

func main() {
	var cfg config
	set := settings.New("bridgehoist-experiment")
	set.StringVar(&cfg.scenarios, "scenarios", "", "names separated by commas; empty for all")
	set.StringVar(&cfg.policies, "policies", "", "names separated by commas, also such as "+scheduler.Forwarding+"-without-near; empty for all versions")
	set.Uint64Var(&cfg.first, "first-seed", 1, "first seed")
	set.IntVar(&cfg.seeds, "seeds", 10, "number of seeds")
	set.StringVar(&cfg.out, "out", "", "directory for runs.csv and plot.svg; empty for none")
	settings.Main(set, func() { set.NeedInt("seeds", cfg.seeds, 1, 10_000) }, func() error { return run(cfg) })
}

func run(cfg config) error {
	scenarios, err := choose(experiment.Scenarios(), cfg.scenarios, func(s experiment.Scenario) string { return s.Name })
	if err != nil {
		return err
	}
	policies := experiment.Policies()
	if cfg.policies != "" {
		// Ablations are compared only when they are named.
		policies = append(policies, experiment.Ablations()...)
	}
	policies, err = choose(policies, cfg.policies, func(p experiment.NamedPolicy) string { return p.Name })
	if err != nil {
		return err
	}
	runs := experiment.Compare(scenarios, policies, cfg.first, uint64(cfg.seeds))
	experiment.WriteText(os.Stdout, runs)
	if cfg.out == "" {
		return nil
	}
	return write(cfg.out, runs)
}

func choose[T any](all []T, names string, name func(T) string) ([]T, error) {
	if names == "" {
		return all, nil
	}
	var out []T
	for n := range strings.SplitSeq(names, ",") {
		i := slices.IndexFunc(all, func(x T) bool { return name(x) == n })
		if i < 0 {
			return nil, errors.Errorf("nothing is named %q", n)
		}
		out = append(out, all[i])
	}
	return out, nil
}

func write(dir string, runs []*experiment.Run) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "runs.csv"))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := experiment.WriteCSV(f, runs); err != nil {
		return err
	}
	return experiment.Plot(filepath.Join(dir, "plot.svg"), runs)
}
