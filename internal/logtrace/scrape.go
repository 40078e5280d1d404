package logtrace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/pkg/errors"
)

// Scrape is what one entry's metrics said when they were read.
type Scrape struct{ families map[string]*dto.MetricFamily }

// prefix begins the names of our metrics.
const prefix = "bridgehoist_"

// ReadScrape reads metrics in the text format.
func ReadScrape(r io.Reader) (*Scrape, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	for name := range families {
		if strings.HasPrefix(name, prefix) {
			return &Scrape{families}, nil
		}
	}
	return nil, errors.New("metrics: none of an entry")
}

// sum adds the counters of a metric whose labels are as given.
func (s *Scrape) sum(name string, labels map[string]string) float64 {
	total := 0.0
	for _, m := range s.families[prefix+name].GetMetric() {
		if has(m, labels) {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
		}
	}
	return total
}

func has(m *dto.Metric, labels map[string]string) bool {
	for name, value := range labels {
		if label(m, name) != value {
			return false
		}
	}
	return true
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// by adds the counters of a metric by one of its labels, those at zero left out.
func (s *Scrape) by(name, by string) []string {
	sums := map[string]float64{}
	for _, m := range s.families[prefix+name].GetMetric() {
		sums[label(m, by)] += m.GetCounter().GetValue()
	}
	var out []string
	for _, value := range slices.Sorted(maps.Keys(sums)) {
		if sums[value] > 0 {
			out = append(out, fmt.Sprintf("%s %.0f", value, sums[value]))
		}
	}
	return out
}

// Alike tells how many requests ended as one did, since the entry started.
func (s *Scrape) Alike(outcome, code string) string {
	alike := s.sum("requests_total", map[string]string{"outcome": outcome, "code": code})
	return fmt.Sprintf("requests that ended so: %.0f of %.0f", alike, s.sum("requests_total", nil))
}

// Health tells what says most of an entry's state, since it started.
func (s *Scrape) Health() []string {
	out := []string{
		fmt.Sprintf("calls of the platform that failed: %.0f of %.0f", s.sum("platform_errors_total", nil), s.sum("platform_calls_total", nil)),
		fmt.Sprintf("exchanges with other entries that ended well: %.0f of %.0f", s.sum("peers_answered_total", nil), s.sum("peers_asked_total", nil)),
		"attempts that failed: " + listed(s.by("attempt_failures_total", "failure")),
		"moves of generations: " + listed(s.by("moves_total", "result")),
		"values offered, by verdict: " + listed(s.by("values_total", "verdict")),
	}
	if violated := s.by("invariant_violations_total", "invariant"); len(violated) > 0 {
		out = append(out, "INVARIANTS VIOLATED: "+listed(violated))
	}
	return out
}

func listed(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, ", ")
}
