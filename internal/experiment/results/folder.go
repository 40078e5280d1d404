package results

import (
	"io"
	"os"
	"path/filepath"
)

// WriteFolder writes all results into a folder: the CSV files, report.html, plot.svg and, in
// the folder figures, the report's plots. about and against are those of WriteReport.
func WriteFolder(dir string, set *Set, about map[string]string, against string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, t := range Tables(set, against) {
		if err := writeFile(filepath.Join(dir, t.Name), t.Write); err != nil {
			return err
		}
	}
	html := func(w io.Writer) error { return WriteReport(w, set, about, against) }
	if err := writeFile(filepath.Join(dir, "report.html"), html); err != nil {
		return err
	}
	if err := writeFigures(filepath.Join(dir, "figures"), set); err != nil {
		return err
	}
	return Plot(filepath.Join(dir, "plot.svg"), Rows(set.Runs))
}

// writeFigures writes each plot as a file of its own, named after scenario and figure.
func writeFigures(dir string, set *Set) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	order, _ := group(Rows(set.Runs))
	costs := FaultCosts(set)
	for _, scenario := range scenarioNames(order) {
		for _, f := range figures(ofScenario(set.Runs, scenario), costsOf(costs, scenario)) {
			element, err := f.element()
			if err != nil {
				return err
			}
			name := filepath.Join(dir, scenario+"-"+f.name+".svg")
			if err := os.WriteFile(name, []byte(element), 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}

// ReadFolder reads the runs of a folder.
func ReadFolder(dir string) ([]Row, error) {
	name := filepath.Join(dir, RunsFile)
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return ReadRuns(name, f)
}

func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
