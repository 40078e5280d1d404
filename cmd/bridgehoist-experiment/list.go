package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/bridgehoist/bridgehoist/internal/experiment"
	"github.com/bridgehoist/bridgehoist/internal/experiment/policies"
	"github.com/bridgehoist/bridgehoist/internal/experiment/scenario"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// writeList prints what can be named.
func writeList(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "built-in scenarios (-scenarios):")
	for _, sc := range experiment.Builtin() {
		fmt.Fprintf(w, "  %s\t%s\n", sc.Name, sc.About)
	}
	fmt.Fprintln(w, "\npolicies (-policies):")
	for _, p := range policies.Policies() {
		fmt.Fprintf(w, "  %s\t%s\n", p.Name, p.About)
	}
	fmt.Fprintln(w, "\npolicies with one mechanism off, run only if named:")
	for _, p := range policies.Ablations() {
		fmt.Fprintf(w, "  %s\t%s\n", p.Name, p.About)
	}
	fmt.Fprintln(w, "\nmechanisms (policy.without in a scenario file):")
	for _, m := range scheduler.Mechanisms() {
		fmt.Fprintf(w, "  %s\n", m)
	}
	fmt.Fprintln(w, "\nfaults (fault.kind in a scenario file):")
	for _, f := range scenario.FaultKinds() {
		fmt.Fprintf(w, "  %s\t%s\n", f.Kind, f.About)
	}
}
