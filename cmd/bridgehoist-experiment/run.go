package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/experiment"
	"github.com/bridgehoist/bridgehoist/internal/experiment/results"
	"github.com/bridgehoist/bridgehoist/internal/experiment/scenario"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

const maxSeeds = 10_000

// config holds the flags of a run.
type config struct {
	list       bool
	scenarios  string
	policies   string
	against    string
	first      uint64
	seeds      int
	faultCosts bool
	out        string
}

func (c *config) register(fs *flag.FlagSet) {
	fs.BoolVar(&c.list, "list", false, "print the built-in scenarios, the policies and the faults")
	fs.StringVar(&c.scenarios, "scenarios", "", "built-in scenarios, separated by commas; empty for all if no files are given")
	fs.StringVar(&c.policies, "policies", "", "policies, separated by commas, also such as "+scheduler.ForwardingVersion+"-without-near; empty for those of the scenario, or all versions")
	fs.StringVar(&c.against, "against", "", "policy that the others are compared with; empty for the first")
	fs.Uint64Var(&c.first, "first-seed", 1, "first seed")
	fs.IntVar(&c.seeds, "seeds", 10, "number of seeds, 1 to 10000")
	fs.BoolVar(&c.faultCosts, "fault-costs", true, "with -out: run once more without each fault, to tell what it cost")
	fs.StringVar(&c.out, "out", "", "folder for report.html and the CSV files; empty for none")
}

func (c *config) run(ctx context.Context, files []string, out, errOut io.Writer) error {
	plan, err := c.plan(files)
	if err != nil {
		return err
	}
	if c.out != "" {
		// Before the runs, so that a wrong name costs no time.
		if err := os.MkdirAll(c.out, 0o755); err != nil {
			return err
		}
	}
	bar := newProgress(errOut, plan.Count())
	set, err := plan.Run(ctx, bar.add)
	bar.finish()
	if err != nil {
		return err
	}
	c.print(out, set)
	if c.out != "" {
		if err := results.WriteFolder(c.out, set, about(plan), c.against); err != nil {
			return err
		}
		fmt.Fprintf(out, "\nreport: %s\n", filepath.Join(c.out, "report.html"))
	}
	return violations()
}

// print prints the figures that come first.
func (c *config) print(out io.Writer, set *results.Set) {
	rows := results.Rows(set.Runs)
	results.WriteText(out, rows)
	if pairs := results.Against(rows, c.against); len(pairs) > 0 {
		fmt.Fprintln(out)
		results.WritePairs(out, pairs, "weighted")
	}
	if costs := results.FaultCosts(set); len(costs) > 0 {
		fmt.Fprintln(out)
		results.WriteFaultCosts(out, costs)
	}
}

// plan chooses what to run.
func (c *config) plan(files []string) (*experiment.Plan, error) {
	if c.seeds < 1 || c.seeds > maxSeeds {
		return nil, settings.Usagef("-seeds (%s): %d is not within 1 to %d", settings.EnvName("seeds"), c.seeds, maxSeeds)
	}
	if c.first > math.MaxUint64-uint64(c.seeds) {
		return nil, settings.Usagef("-first-seed (%s): %d leaves no room for %d seeds", settings.EnvName("first-seed"), c.first, c.seeds)
	}
	scenarios, err := c.choose(files)
	if err != nil {
		return nil, err
	}
	plan := &experiment.Plan{FirstSeed: c.first, Seeds: uint64(c.seeds), FaultCosts: c.faultCosts && c.out != ""}
	for _, sc := range scenarios {
		one, err := experiment.NewCase(sc, split(c.policies))
		if err != nil {
			return nil, settings.UsageError(err.Error())
		}
		if c.against != "" && !one.Has(c.against) {
			return nil, settings.Usagef("-against (%s): %q isn't among the policies of scenario %s", settings.EnvName("against"), c.against, sc.Name)
		}
		plan.Cases = append(plan.Cases, one)
	}
	return plan, nil
}

// choose takes files and built-in scenarios by name; all built-in ones if nothing is named.
func (c *config) choose(files []string) ([]*scenario.Scenario, error) {
	if len(files) == 0 && c.scenarios == "" {
		return experiment.Builtin(), nil
	}
	var out []*scenario.Scenario
	for _, name := range split(c.scenarios) {
		i := slices.IndexFunc(experiment.Builtin(), func(sc *scenario.Scenario) bool { return sc.Name == name })
		if i < 0 {
			return nil, settings.Usagef("no built-in scenario is named %q; see -list", name)
		}
		out = append(out, experiment.Builtin()[i])
	}
	own, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	out = append(out, own...)
	seen := map[string]bool{}
	for _, sc := range out {
		if seen[sc.Name] {
			return nil, settings.Usagef("two scenarios are named %q", sc.Name)
		}
		seen[sc.Name] = true
	}
	return out, nil
}

// readFiles reads scenario files and reports everything wrong with any of them together.
func readFiles(names []string) ([]*scenario.Scenario, error) {
	var out []*scenario.Scenario
	var findings scenario.Findings
	for _, name := range names {
		data, err := readFile(name)
		if err != nil {
			return nil, err
		}
		sc, err := scenario.Parse(name, data)
		var found scenario.Findings
		if errors.As(err, &found) {
			findings = append(findings, found...)
		}
		out = append(out, sc)
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return out, nil
}

// readFile reads a file. What looks like a flag or a command is wrong use.
func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	switch {
	case err == nil:
		return data, nil
	case strings.HasPrefix(name, "-"):
		return nil, settings.Usagef("%s: flags stand before files", name)
	case errors.Is(err, os.ErrNotExist) && filepath.Ext(name) == "":
		return nil, settings.Usagef("%q is no command and no file; commands are check and compare", name)
	default:
		return nil, err
	}
}

// split splits a list at its commas.
func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func about(plan *experiment.Plan) map[string]string {
	out := map[string]string{}
	for _, c := range plan.Cases {
		out[c.Scenario.Name] = c.Scenario.About
	}
	return out
}

// violations tells of invariants that were violated in any run.
func violations() error {
	for _, name := range invariant.Names() {
		if n := invariant.Count(name); n > 0 {
			return errors.Errorf("invariant %s was violated %d times", name, n)
		}
	}
	return nil
}
