package results

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// spread holds the median, minimum and maximum over the seeds.
type spread struct{ median, low, high float64 }

func spreadOf(vs []float64) spread {
	slices.Sort(vs)
	return spread{vs[len(vs)/2], vs[0], vs[len(vs)-1]}
}

// WriteText prints medians with their spread of the measures that the report shows.
func WriteText(w io.Writer, rows []Row) {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer out.Flush()
	order, by := group(rows)
	fmt.Fprintln(out, "medians over the seeds (lowest to highest); stalls in ms")
	fmt.Fprintf(out, "scenario\tpolicy\t%s\n", strings.Join(reported, "\t"))
	for _, c := range order {
		fmt.Fprintf(out, "%s\t%s", c.scenario, c.policy)
		for _, name := range reported {
			s := spreadOf(column(by[c], measureNamed(name)))
			fmt.Fprintf(out, "\t%.0f (%.0f-%.0f)", s.median, s.low, s.high)
		}
		fmt.Fprintln(out)
	}
}

// WritePairs prints paired comparisons of the measures named, or of all.
func WritePairs(w io.Writer, pairs []Pair, names ...string) {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "scenario\tpolicy\tagainst\tmeasure\tpairs\tmean difference\t95% interval\t")
	for _, p := range pairs {
		if len(names) > 0 && !slices.Contains(names, p.Measure.Name) {
			continue
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%+.2f\t%s\t%s\n", p.Scenario, p.Second, p.First,
			p.Measure.Name, p.Difference.Pairs, p.Difference.Mean, p.Difference.Interval(), p.Verdict())
	}
}

// WriteFaultCosts prints what each fault cost.
func WriteFaultCosts(w io.Writer, costs []FaultCost) {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "scenario\tpolicy\tfault\tpairs\tworth lost\t95% interval\tof the worth offered\t")
	for _, c := range costs {
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%+.2f\t%s\t%.1f%%\t%s\n", c.Scenario, c.Policy, c.Label(),
			c.Cost.Pairs, c.Cost.Mean, c.Cost.Interval(), c.Share(), c.Verdict())
	}
}
