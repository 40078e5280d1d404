package results

import (
	"bytes"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/bridgehoist/bridgehoist/internal/load"
)

const (
	figureWidth  = 24 * vg.Centimeter
	figureHeight = 9 * vg.Centimeter
	// barSpace is the width of the bars of one group together.
	barSpace = 70 * vg.Length(1)
)

// waitClass is the kinds whose waits are told together.
type waitClass struct {
	name string
	of   func(*Run) load.Quantiles
}

var waitClasses = []waitClass{
	{"urgent", func(r *Run) load.Quantiles { return r.UrgentWait }},
	{"long", func(r *Run) load.Quantiles { return r.LongWait }},
}

// byPolicy holds the runs of one scenario.
type byPolicy struct {
	policies []string
	runs     map[string][]*Run
}

func ofScenario(runs []*Run, scenario string) byPolicy {
	out := byPolicy{runs: map[string][]*Run{}}
	for _, r := range runs {
		if r.Scenario != scenario {
			continue
		}
		out.policies = appendNew(out.policies, r.Policy)
		out.runs[r.Policy] = append(out.runs[r.Policy], r)
	}
	return out
}

// median gives the median of a figure over the seeds.
func median(runs []*Run, of func(*Run) float64) float64 {
	vs := make([]float64, len(runs))
	for i, r := range runs {
		vs[i] = of(r)
	}
	return spreadOf(vs).median
}

// worthPlot draws the share of the worth offered that was answered, by the window of the
// requests' arrival.
func worthPlot(b byPolicy) (*plot.Plot, error) {
	p := newFigure("worth by window", "arrival, s", "answered, % of the worth offered")
	for i, policy := range b.policies {
		line, err := plotter.NewLine(worthLine(b.runs[policy]))
		if err != nil {
			return nil, err
		}
		line.Color = palette[i%len(palette)]
		line.Dashes = dashes[i%len(dashes)]
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(policy, line)
	}
	return p, nil
}

func worthLine(runs []*Run) plotter.XYs {
	out := make(plotter.XYs, Windows)
	length := runs[0].WindowLength.Seconds()
	for i := range out {
		share := func(r *Run) float64 { return 100 * r.Worth[i] / max(r.Offered[i], 1) }
		out[i].X = (float64(i) + 0.5) * length
		out[i].Y = median(runs, share)
	}
	return out
}

// placingPlot draws how many requests each engine got.
func placingPlot(b byPolicy) (*plot.Plot, error) {
	p := newFigure("placing", "engine", "requests that reached it")
	engines := 0
	for _, runs := range b.runs {
		engines = len(runs[0].Placed)
	}
	var names []string
	for i := range engines {
		names = append(names, fmt.Sprint(i))
	}
	return p, addBars(p, b, names, func(policy string, engine int) float64 {
		return median(b.runs[policy], func(r *Run) float64 { return float64(r.Placed[engine]) })
	})
}

// waitsPlot draws the times to the first token.
func waitsPlot(b byPolicy) (*plot.Plot, error) {
	p := newFigure("waits", "", "time to the first token, s")
	groups := []string{"urgent, median", "urgent, p99", "long, median", "long, p99"}
	return p, addBars(p, b, groups, func(policy string, group int) float64 {
		class := waitClasses[group/2]
		return median(b.runs[policy], func(r *Run) float64 {
			q := class.of(r)
			return []float64{q.P50, q.P99}[group%2] / 1000
		})
	})
}

// faultsPlot draws the mean worth that each fault cost.
func faultsPlot(b byPolicy, costs []FaultCost) (*plot.Plot, error) {
	p := newFigure("what each fault cost", "", "worth lost, % of the worth offered")
	var faults []string
	shares := map[faultBar]float64{}
	for _, c := range costs {
		faults = appendNew(faults, c.Label())
		shares[faultBar{c.Label(), c.Policy}] = c.Share()
	}
	return p, addBars(p, b, faults, func(policy string, fault int) float64 { return shares[faultBar{faults[fault], policy}] })
}

func newFigure(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	return p
}

// addBars adds groups of bars, in each a bar of every policy.
func addBars(p *plot.Plot, b byPolicy, groups []string, of func(policy string, group int) float64) error {
	p.NominalX(groups...)
	width := barSpace / vg.Length(len(b.policies))
	for i, policy := range b.policies {
		var vs plotter.Values
		for g := range groups {
			vs = append(vs, of(policy, g))
		}
		bars, err := plotter.NewBarChart(vs, width)
		if err != nil {
			return err
		}
		bars.Offset = width * vg.Length(float64(i)-float64(len(b.policies)-1)/2)
		bars.Color = palette[i%len(palette)]
		bars.LineStyle.Width = vg.Points(0.25)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	return nil
}

// svg draws a figure, its legend beside it, as an SVG element.
func svg(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(figureWidth, figureHeight)
	legend := p.Legend
	p.Legend = plot.NewLegend()
	whole := draw.New(canvas)
	beside := legend.Rectangle(whole).Size().X + vg.Centimeter
	p.Draw(draw.Crop(whole, 0, -beside, 0, 0))
	legend.Draw(draw.Crop(whole, 0, 0, 0, -vg.Centimeter))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, err
	}
	// What stands before the element is not for HTML.
	return out.Bytes()[max(bytes.Index(out.Bytes(), []byte("<svg")), 0):], nil
}

// faultBar names a bar of what faults cost.
type faultBar struct{ label, policy string }
