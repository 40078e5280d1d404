package results

import (
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 36 * vg.Centimeter
	panelPitch = 9 * vg.Centimeter
)

// plotted are the measures that get a panel each.
var plotted = []string{"weighted", "urgent_stall_p99", "long_stall_p99", "preemptions"}

var palette = []color.Color{
	color.RGBA{R: 0x88, G: 0x88, B: 0x88, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x99, B: 0x33, A: 0xff},
	color.RGBA{R: 0x33, G: 0x77, B: 0xbb, A: 0xff},
	color.RGBA{R: 0x33, G: 0xaa, B: 0x66, A: 0xff},
	color.RGBA{R: 0xbb, G: 0x44, B: 0x66, A: 0xff},
	color.RGBA{R: 0x66, G: 0x44, B: 0xaa, A: 0xff},
}

// dashes let lines that lie on each other be seen.
var dashes = [][]vg.Length{nil, {vg.Points(6), vg.Points(2)}, {vg.Points(2), vg.Points(2)}}

// Plot draws the medians of some measures as bars, a panel each, into an SVG.
func Plot(path string, rows []Row) error {
	canvas := vgsvg.New(plotWidth, panelPitch*vg.Length(len(plotted)))
	tiles := draw.Tiles{Rows: len(plotted), Cols: 1, PadY: vg.Centimeter}
	for row, name := range plotted {
		p, err := panel(name, rows)
		if err != nil {
			return err
		}
		p.Draw(tiles.At(draw.New(canvas), 0, row))
	}
	return save(path, canvas)
}

func panel(name string, rows []Row) (*plot.Plot, error) {
	order, by := group(rows)
	var scenarios, policies []string
	for _, c := range order {
		scenarios = appendNew(scenarios, c.scenario)
		policies = appendNew(policies, c.policy)
	}
	p := plot.New()
	p.Title.Text = name + ", medians"
	p.Legend.Top = true
	p.NominalX(scenarios...)
	width := vg.Points(60 / float64(len(policies)))
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(medians(scenarios, policy, by, name), width)
		if err != nil {
			return nil, err
		}
		bars.Offset = width * vg.Length(float64(i)-float64(len(policies)-1)/2)
		bars.Color = palette[i%len(palette)]
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	return p, nil
}

func appendNew(list []string, s string) []string {
	for _, have := range list {
		if have == s {
			return list
		}
	}
	return append(list, s)
}

func medians(scenarios []string, policy string, by map[cell][]Row, name string) plotter.Values {
	var out plotter.Values
	m := measureNamed(name)
	for _, sc := range scenarios {
		v := 0.0
		if rows := by[cell{sc, policy}]; len(rows) > 0 {
			v = spreadOf(column(rows, m)).median
		}
		out = append(out, v)
	}
	return out
}

func save(path string, canvas *vgsvg.Canvas) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
