package results

// Against compares every policy with one, in each scenario that has both, for all
// measures. An empty name stands for the first policy of each scenario.
func Against(rows []Row, policy string) []Pair {
	var out []Pair
	order, by := group(rows)
	first := firstPolicies(order)
	for _, c := range order {
		base := policy
		if base == "" {
			base = first[c.scenario]
		}
		if c.policy != base {
			out = append(out, paired(c.scenario, base, c.policy, by[cell{c.scenario, base}], by[c])...)
		}
	}
	return out
}

func firstPolicies(order []cell) map[string]string {
	first := map[string]string{}
	for _, c := range order {
		if first[c.scenario] == "" {
			first[c.scenario] = c.policy
		}
	}
	return first
}

// Change compares the runs of two experiments that have scenario, policy and seed in
// common. Both names of a pair are the policy.
func Change(before, after []Row) []Pair {
	_, old := group(before)
	order, by := group(after)
	var out []Pair
	for _, c := range order {
		out = append(out, paired(c.scenario, c.policy, c.policy, old[c], by[c])...)
	}
	return out
}

// WithoutPartner counts the rows that the other experiment hasn't.
func WithoutPartner(before, after []Row) int {
	type key struct {
		cell
		seed uint64
	}
	times := map[key]int{}
	for _, r := range before {
		times[key{cell{r.Scenario, r.Policy}, r.Seed}]++
	}
	for _, r := range after {
		times[key{cell{r.Scenario, r.Policy}, r.Seed}]--
	}
	n := 0
	for _, t := range times {
		if t != 0 {
			n++
		}
	}
	return n
}
