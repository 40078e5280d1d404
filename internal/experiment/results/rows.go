package results

// Row is a run as runs.csv holds it.
type Row struct {
	Scenario string
	Policy   string
	Seed     uint64
	// Values are in the order of the measures.
	Values []float64
}

// Rows gives the rows of runs.
func Rows(runs []*Run) []Row {
	out := make([]Row, 0, len(runs))
	for _, r := range runs {
		row := Row{Scenario: r.Scenario, Policy: r.Policy, Seed: r.Seed}
		for _, m := range measures {
			row.Values = append(row.Values, m.of(r))
		}
		out = append(out, row)
	}
	return out
}

// cell is a policy in a scenario.
type cell struct{ scenario, policy string }

// group sorts rows by scenario and policy, in the order of their first row.
func group(rows []Row) (order []cell, by map[cell][]Row) {
	by = map[cell][]Row{}
	for _, r := range rows {
		c := cell{r.Scenario, r.Policy}
		if by[c] == nil {
			order = append(order, c)
		}
		by[c] = append(by[c], r)
	}
	return order, by
}

// column gives the values of one measure.
func column(rows []Row, measure int) []float64 {
	out := make([]float64, len(rows))
	for i, r := range rows {
		out[i] = r.Values[measure]
	}
	return out
}

// matched picks the rows of the seeds that both have, in the order of the second.
func matched(first, second []Row) (a, b []Row) {
	bySeed := map[uint64]Row{}
	for _, r := range first {
		bySeed[r.Seed] = r
	}
	for _, r := range second {
		if with, ok := bySeed[r.Seed]; ok {
			a, b = append(a, with), append(b, r)
		}
	}
	return a, b
}

// paired compares all measures of rows of the same seeds.
func paired(scenario, first, second string, a, b []Row) []Pair {
	a, b = matched(a, b)
	if len(a) == 0 {
		return nil
	}
	var out []Pair
	for i, m := range measures {
		out = append(out, Pair{scenario, first, second, m, Paired(column(a, i), column(b, i))})
	}
	return out
}
