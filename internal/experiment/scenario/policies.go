package scenario

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bridgehoist/bridgehoist/internal/experiment/policies"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// readMixes reads the policies that the file makes itself.
func readMixes(top *section) []Mix {
	var out []Mix
	taken := map[string]bool{}
	for _, s := range top.tables("policy") {
		m := readMix(s)
		if _, known := policies.Find(m.Name); known || taken[m.Name] && m.Name != "" {
			s.addf("name", "%q is taken", m.Name)
		}
		taken[m.Name] = true
		out = append(out, m)
	}
	return out
}

func readMix(s *section) Mix {
	m := Mix{Name: s.name("name"), Version: s.text("version")}
	if m.Version != "" && !slices.Contains(scheduler.Versions(), m.Version) {
		s.addf("version", "%q, want one of %s", m.Version, strings.Join(scheduler.Versions(), ", "))
	}
	if s.has("without") {
		for i, off := range s.texts("without", 0) {
			if off != "" && !slices.Contains(scheduler.Mechanisms(), scheduler.Mechanism(off)) {
				s.addf(fmt.Sprintf("without[%d]", i), "%q is no mechanism; see -list", off)
			}
			m.Without = append(m.Without, scheduler.Mechanism(off))
		}
	}
	s.done()
	return m
}

// readPolicies reads the names of the policies to compare.
func readPolicies(top *section, mixes []Mix) []string {
	if !top.has("policies") {
		return nil
	}
	out := top.texts("policies", 1)
	for i, name := range out {
		own := slices.ContainsFunc(mixes, func(m Mix) bool { return m.Name == name })
		if _, known := policies.Find(name); name != "" && !known && !own {
			top.addf(fmt.Sprintf("policies[%d]", i), "%q is no policy; see -list", name)
		}
	}
	return out
}
