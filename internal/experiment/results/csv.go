package results

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"
)

// Table is a CSV file.
type Table struct {
	Name string
	rows [][]string
}

// Tables gives the CSV files of an experiment, its policies compared with one.
func Tables(set *Set, against string) []Table {
	rows := Rows(set.Runs)
	return []Table{
		runsTable(rows),
		pairsTable(Against(rows, against)),
		windowsTable(set.Runs),
		placingTable(set.Runs),
		waitsTable(set.Runs),
		faultsTable(FaultCosts(set)),
	}
}

// Write writes the table.
func (t Table) Write(w io.Writer) error {
	return csv.NewWriter(w).WriteAll(t.rows)
}

// RunsFile is the name of the file that Compare reads.
const RunsFile = "runs.csv"

func runsHeader() []string {
	header := []string{"scenario", "policy", "seed"}
	for _, m := range measures {
		header = append(header, m.Name)
	}
	return header
}

func runsTable(rows []Row) Table {
	t := Table{Name: RunsFile, rows: [][]string{runsHeader()}}
	for _, r := range rows {
		line := []string{r.Scenario, r.Policy, seedText(r.Seed)}
		for _, v := range r.Values {
			line = append(line, decimal(v))
		}
		t.rows = append(t.rows, line)
	}
	return t
}

func pairsTable(pairs []Pair) Table {
	t := Table{Name: "pairs.csv", rows: [][]string{
		{"scenario", "against", "policy", "measure", "pairs", "mean", "low", "high", "verdict"},
	}}
	for _, p := range pairs {
		line := []string{p.Scenario, p.First, p.Second, p.Measure.Name}
		line = append(line, p.Difference.fields()...)
		t.rows = append(t.rows, append(line, string(p.Verdict())))
	}
	return t
}

func (d Difference) fields() []string {
	return []string{strconv.Itoa(d.Pairs), decimal(d.Mean), decimal(d.Low), decimal(d.High)}
}

func windowsTable(runs []*Run) Table {
	t := Table{Name: "windows.csv", rows: [][]string{{"scenario", "policy", "seed", "from_s", "offered", "worth"}}}
	for _, r := range runs {
		for i := range r.Offered {
			from := (time.Duration(i) * r.WindowLength).Seconds()
			t.rows = append(t.rows, []string{r.Scenario, r.Policy, seedText(r.Seed), decimal(from), decimal(r.Offered[i]), decimal(r.Worth[i])})
		}
	}
	return t
}

func placingTable(runs []*Run) Table {
	t := Table{Name: "placing.csv", rows: [][]string{{"scenario", "policy", "seed", "engine", "requests"}}}
	for _, r := range runs {
		for i, n := range r.Placed {
			t.rows = append(t.rows, []string{r.Scenario, r.Policy, seedText(r.Seed), strconv.Itoa(i), strconv.Itoa(n)})
		}
	}
	return t
}

func waitsTable(runs []*Run) Table {
	t := Table{Name: "waits.csv", rows: [][]string{{"scenario", "policy", "seed", "kinds", "p50_ms", "p95_ms", "p99_ms", "max_ms"}}}
	for _, r := range runs {
		for _, c := range waitClasses {
			q := c.of(r)
			t.rows = append(t.rows, []string{r.Scenario, r.Policy, seedText(r.Seed), c.name, decimal(q.P50), decimal(q.P95), decimal(q.P99), decimal(q.Max)})
		}
	}
	return t
}

func faultsTable(costs []FaultCost) Table {
	t := Table{Name: "faults.csv", rows: [][]string{
		{"scenario", "policy", "fault", "kind", "pairs", "mean", "low", "high", "offered", "verdict"},
	}}
	for _, c := range costs {
		line := []string{c.Scenario, c.Policy, strconv.Itoa(c.Fault), c.Kind}
		line = append(line, c.Cost.fields()...)
		t.rows = append(t.rows, append(line, decimal(c.Offered), string(c.Verdict())))
	}
	return t
}

func seedText(seed uint64) string { return strconv.FormatUint(seed, 10) }

func decimal(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

// FormatError is a line of runs.csv that can't be read.
type FormatError struct {
	File string
	Line int
	Text string
}

func (e FormatError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// ReadRuns reads runs.csv; file is its name for errors.
func ReadRuns(file string, r io.Reader) ([]Row, error) {
	in := csv.NewReader(r)
	header := runsHeader()
	in.FieldsPerRecord = len(header)
	var out []Row
	for line := 1; ; line++ {
		record, err := in.Read()
		if err == io.EOF && line > 1 {
			return out, nil
		}
		if err == io.EOF {
			return nil, FormatError{file, 1, "empty"}
		}
		if err != nil {
			return nil, FormatError{file, line, err.Error()}
		}
		if line == 1 {
			if !slices.Equal(record, header) {
				return nil, FormatError{file, 1, "not the header of a " + RunsFile + " of this version"}
			}
			continue
		}
		row, err := readRow(record)
		if err != nil {
			return nil, FormatError{file, line, err.Error()}
		}
		out = append(out, row)
	}
}

func readRow(record []string) (Row, error) {
	seed, err := strconv.ParseUint(record[2], 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("seed %q is no number", record[2])
	}
	row := Row{Scenario: record[0], Policy: record[1], Seed: seed}
	for i, field := range record[3:] {
		v, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return Row{}, fmt.Errorf("%s: %q is no number", measures[i].Name, field)
		}
		row.Values = append(row.Values, v)
	}
	return row, nil
}
