package results

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"

	"gonum.org/v1/plot"
)

//go:embed report.tmpl
var reportText string

var reportTemplate = template.Must(template.New("report").Parse(reportText))

// reported are the measures that the report's tables show.
var reported = []string{"weighted", "answered%", "urgent%", "urgent_stall_p99", "long_stall_p50", "long_stall_p99", "refused", "preemptions"}

// report is what the template shows.
type report struct {
	FirstSeed, LastSeed uint64
	Scenarios           []scenarioReport
}

type scenarioReport struct {
	Name, About string
	Columns     []string
	Medians     []medianRow
	Against     string
	Pairs       []Pair
	FaultCosts  []FaultCost
	Figures     []template.HTML
}

type medianRow struct {
	Policy string
	Cells  []string
}

// WriteReport writes the HTML report. about gives a line about each scenario by its name;
// against is the policy that the others are compared with, empty for each scenario's first.
func WriteReport(w io.Writer, set *Set, about map[string]string, against string) error {
	if len(set.Runs) == 0 {
		return fmt.Errorf("no runs to report")
	}
	rows := Rows(set.Runs)
	pairs, costs := Against(rows, against), FaultCosts(set)
	order, by := group(rows)
	out := report{FirstSeed: set.Runs[0].Seed, LastSeed: set.Runs[len(set.Runs)-1].Seed}
	for _, name := range scenarioNames(order) {
		sc := scenarioReport{Name: name, About: about[name], Columns: reported}
		sc.Medians = medianRows(name, order, by)
		sc.Pairs = reportedPairs(pairs, name)
		if len(sc.Pairs) > 0 {
			sc.Against = sc.Pairs[0].First
		}
		sc.FaultCosts = costsOf(costs, name)
		for _, f := range figures(ofScenario(set.Runs, name), sc.FaultCosts) {
			element, err := f.element()
			if err != nil {
				return err
			}
			sc.Figures = append(sc.Figures, element)
		}
		out.Scenarios = append(out.Scenarios, sc)
	}
	return reportTemplate.Execute(w, out)
}

func reportedPairs(pairs []Pair, scenario string) []Pair {
	return slices.DeleteFunc(slices.Clone(pairs), func(p Pair) bool {
		return p.Scenario != scenario || !slices.Contains(reported, p.Measure.Name)
	})
}

func costsOf(costs []FaultCost, scenario string) []FaultCost {
	return slices.DeleteFunc(slices.Clone(costs), func(c FaultCost) bool { return c.Scenario != scenario })
}

func scenarioNames(order []cell) []string {
	var out []string
	for _, c := range order {
		out = appendNew(out, c.scenario)
	}
	return out
}

func medianRows(scenario string, order []cell, by map[cell][]Row) []medianRow {
	var out []medianRow
	for _, c := range order {
		if c.scenario != scenario {
			continue
		}
		row := medianRow{Policy: c.policy}
		for _, name := range reported {
			s := spreadOf(column(by[c], measureNamed(name)))
			row.Cells = append(row.Cells, fmt.Sprintf("%.0f", s.median))
		}
		out = append(out, row)
	}
	return out
}

// figure is a plot of one scenario.
type figure struct {
	name string
	draw func() (*plot.Plot, error)
}

func figures(b byPolicy, costs []FaultCost) []figure {
	out := []figure{
		{"worth", func() (*plot.Plot, error) { return worthPlot(b) }},
		{"placing", func() (*plot.Plot, error) { return placingPlot(b) }},
		{"waits", func() (*plot.Plot, error) { return waitsPlot(b) }},
	}
	if len(costs) > 0 {
		out = append(out, figure{"faults", func() (*plot.Plot, error) { return faultsPlot(b, costs) }})
	}
	return out
}

// element draws a figure for HTML. The plot library escapes the names in it.
func (f figure) element() (template.HTML, error) {
	p, err := f.draw()
	if err != nil {
		return "", err
	}
	text, err := svg(p)
	return template.HTML(text), err
}
